"""Runs the scenarios of callers and operators by replaying traces."""

import asyncio
import pathlib

from pytest_bdd import parsers, scenarios, then, when

from tests.entry.replay import TRACES, replay

FEATURES = pathlib.Path(__file__).with_name('features')

scenarios('entry/features')


@when(parsers.parse('the trace "{name}" is replayed'), target_fixture='failed')
def replayed(name):
    """Replay a trace file."""
    return asyncio.run(replay(name))


@then('everything ends as the trace says')
def nothing_failed(failed):
    """Guards against any outcome that the trace does not expect."""
    assert not failed


def test_every_trace_is_replayed():
    """Guards against a trace file that no scenario replays."""
    scenario_text = ''.join(
        path.read_text() for path in FEATURES.glob('*.feature')
    )
    traces = {path.stem for path in TRACES.glob('*.jsonl')}
    assert {
        name for name in traces if f'"{name}"' not in scenario_text
    } == set()
