"""Every fault of an upstream at every step of a request."""

import itertools

import pytest

from bench import routing_matrix

CELLS = tuple(itertools.product(routing_matrix.FAULTS, routing_matrix.STEPS))


@pytest.mark.parametrize(('fault', 'step'), CELLS)
def test_cell(fault, step):
    """Guards against requests to failed or draining upstreams.

    An upstream must also get requests again after its recovery.
    """
    cell = routing_matrix.run_cell(fault, step)
    assert str(cell), 'empty cell'
    assert not cell.problems


def test_required_faults_are_covered():
    """Guards against faults or steps removed from the matrix."""
    assert len(routing_matrix.FAULTS) >= 12
    assert len(routing_matrix.STEPS) == 5
