"""Short runs of the soak: a fixed seed and all that ever failed."""

import pathlib

import pytest

from soak.run import RunSize, run_seed

LIST = pathlib.Path(__file__).with_name('seeds.txt')


def seeds():
    """Return the seeds of the list."""
    lines = LIST.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


@pytest.mark.parametrize('seed', seeds())
def test_seed_keeps_all_promises(seed, tmp_path):
    """Guards against the faults that this seed has shown."""
    outcome = run_seed(seed, RunSize(), tmp_path)
    assert outcome.violations == ()
    assert outcome.served > 0
