"""Compares the fault matrix with its expected outcomes."""

import itertools
import pathlib

import pytest

from bench.ledger_matrix import FAULTS, STEPS, run_cell

EXPECTED = pathlib.Path(__file__).with_name('fault_matrix.txt')


def expected_cells():
    """Return the expected lines by step and fault."""
    lines = EXPECTED.read_text().splitlines()
    return {tuple(line.split(' | ')[:2]): line for line in lines}


@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', FAULTS)
def test_cell(step, fault):
    """Guards against a changed outcome or a second execution after a fault."""
    cell = run_cell(step, fault)
    assert str(cell) == expected_cells()[step, fault]
    assert cell.runs + (cell.later == 'granted') <= 1


def test_every_expected_cell_is_tested():
    """Guards against expected outcomes that nothing checks."""
    assert set(expected_cells()) == set(itertools.product(STEPS, FAULTS))
