"""Every fault at every step of a promotion and of a key withdrawal."""

import pytest

from bench import promotion_matrix

CASES = [
    (promotion_matrix.PROMOTION_STEPS, promotion_matrix.run_promotion),
    (promotion_matrix.WITHDRAWAL_STEPS, promotion_matrix.run_withdrawal),
]


@pytest.mark.parametrize(('steps', 'scenario'), CASES)
def test_every_cell_has_an_outcome(steps, scenario):
    """Guards against a fault after which a wrong outcome is reported."""
    cells = promotion_matrix.run_matrix(steps, scenario)
    assert len(cells) == len(steps) * len(promotion_matrix.FAULTS)
    empty = [cell for cell in cells if not cell.text]
    assert not empty
