"""Decisions on how many slots of a concurrency total to lend and borrow."""

import dataclasses
import math

from egretmill.quota.ownership import max_lendable_slots
from egretmill.quota.policy import NEGLIGIBLE, Policy

__all__ = ('SlotSnapshot',)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSnapshot:
    """State of a concurrency total on one host, and the decisions on it.

    :param free_owned: owned slots that are neither lent nor in use.
    :param available: slots that a request could take now, borrowed slots
        included.
    :param in_use: slots on which requests run.
    :param arrivals: recent demand, as a decaying number of slots.
    :param unmet: slots that refused requests are waiting for.
    """

    policy: Policy
    owned: float
    lent: float
    free_owned: float
    available: float
    in_use: float
    arrivals: float
    unmet: float

    def count_lendable(self, asked: float) -> float:
        """Return how many slots a new loan may have."""
        lendable = max_lendable_slots(self.owned) - self.lent
        kept = self._headroom() if self.arrivals > 1 else 0
        free = self.free_owned - kept - self.unmet
        return float(max(0, int(min(asked, lendable, free))))

    def can_extend(self) -> bool:
        """Return whether a loan may be extended."""
        if self.lent > max_lendable_slots(self.owned):
            return False
        return self.unmet < NEGLIGIBLE

    def count_missing(self) -> float:
        """Return how many slots to borrow; none if not positive."""
        if self.unmet < NEGLIGIBLE and self.arrivals < 1:
            return 0.0
        return math.ceil(self.unmet) + self._headroom() - self.available

    def _headroom(self) -> int:
        return math.ceil(self.in_use * self.policy.slot_headroom)
