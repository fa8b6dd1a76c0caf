"""Matrix of membership under each fault at each step."""

import pathlib

from bench.membership_matrix import FAULTS, STEPS, matrix_text

EXPECTED = pathlib.Path(__file__).parent / 'matrix.md'


def test_matrix_is_complete_and_as_expected():
    """Guards against a fault that membership mishandles at some step.

    ``python -m bench.membership_matrix`` prints the table; a violated
    bound shows as FAILED in its cell.
    """
    text = matrix_text()
    rows = [line.split(' | ') for line in text.splitlines()[2:]]
    assert len(rows) == len(FAULTS)
    assert all(len(row) == len(STEPS) + 1 for row in rows)
    assert all(cell.strip('| ') for row in rows for cell in row)
    assert 'FAILED' not in text
    assert text == EXPECTED.read_text()
