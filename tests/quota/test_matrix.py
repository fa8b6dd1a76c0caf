"""Limits hold under each fault at each step of a share's lifecycle."""

import itertools

import pytest

from bench.quota_matrix import FAULTS, STEPS, run_cell

CELLS = list(itertools.product(STEPS, FAULTS))
#: Totals are raised by even seeds and lowered by odd ones.
SEEDS = (2, 3)


@pytest.mark.parametrize(('number', 'cell'), list(enumerate(CELLS)))
def test_limits_hold(number, cell):
    """Guards against exceeded limits, and cells in which nothing happens."""
    step, fault = cell
    # Neighbouring rows and columns differ in the seed.
    seed = SEEDS[(number + number // len(FAULTS)) % len(SEEDS)]
    found = run_cell(step, fault, seed)
    assert found.problems == ()
    assert found.text
    assert found.served_after > 0
