"""What a host reports of its connections, event loop and link."""

import asyncio
import time

from egretmill.host.event_loop import BootLoop
from egretmill.host.handler import EntryHandler
from egretmill.host.load_report import Load, LoadReport
from tests.host.fakes import SETTINGS, make_state

QUIET = Load(10, 10, 5, 0, 0.01, 1000, 1000)
BLOCKED_S = 0.3


def test_each_short_resource_is_reported():
    """Guards against an overload whose cause no log tells."""
    link_bytes = int(SETTINGS.capacity.link_mbps * 125_000)
    changes = (
        {'callers': SETTINGS.descriptors},
        {'accept_failures': 1},
        {'longest_iteration_s': BLOCKED_S},
        {'received_bytes': link_bytes},
        {'sent_bytes': link_bytes},
    )
    assert not QUIET.is_high(SETTINGS)
    for change in changes:
        values = {name: getattr(QUIET, name) for name in QUIET.__slots__}
        assert Load(**{**values, **change}).is_high(SETTINGS)


def test_blocked_event_loop_and_failed_accepts_are_counted():
    """Guards against a late event loop and a closed entry that look alike."""

    async def block():
        report = LoadReport(state, EntryHandler(state))
        report.handler.iterations = asyncio.get_running_loop().iterations
        state.record_accept_failures(1)
        time.sleep(BLOCKED_S)
        await asyncio.sleep(0)
        return report.take_load(), report.take_load()

    state = make_state()
    with asyncio.Runner(loop_factory=BootLoop) as runner:
        load, next_load = runner.run(block())
    assert load.accept_failures == 1
    assert load.longest_iteration_s >= BLOCKED_S
    assert next_load.accept_failures == 0
    assert next_load.longest_iteration_s < BLOCKED_S
    text = state.metrics.text()
    assert b'egretmill_accept_failures_total 1.0' in text
