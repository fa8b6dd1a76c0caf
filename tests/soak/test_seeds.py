"""Short soak runs of a fixed seed and of seeds that once failed."""

import pathlib

import pytest

from soak.run import RunSize, run_seed

SEED_LIST = pathlib.Path(__file__).with_name('seeds.txt')


def read_seeds():
    """Return the seeds of the list, each at the start of its line."""
    lines = SEED_LIST.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


@pytest.mark.parametrize('seed', read_seeds())
def test_seed_violates_no_invariant(seed, tmp_path):
    """Guards against the failures that this seed once found."""
    outcome = run_seed(seed, RunSize(), tmp_path)
    assert outcome.violations == ()
    assert outcome.served > 0
