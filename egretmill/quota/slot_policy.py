"""How many slots of a concurrency total to keep, lend and ask for."""

import dataclasses
import math

from egretmill.quota.ownership import lendable_slots
from egretmill.quota.policy import SLIGHT, Policy

__all__ = ('SlotView',)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotView:
    """What a decision about a concurrency total depends on.

    :param own_free: owned slots that are neither lent nor in use.
    :param available: slots that a request could take now, with loans.
    :param in_use: slots on which requests run.
    :param arrivals: recent demand.
    :param unmet: slots that refused requests wait for.
    """

    policy: Policy
    owned: float
    lent: float
    own_free: float
    available: float
    in_use: float
    arrivals: float
    unmet: float

    def spare(self, asked: float) -> float:
        """Return how many slots to lend anew."""
        lendable = lendable_slots(self.owned) - self.lent
        kept = self._ahead() if self.arrivals > 1 else 0
        free = self.own_free - kept - self.unmet
        return float(max(0, int(min(asked, lendable, free))))

    def may_extend(self) -> bool:
        """Tell whether a loan may go on."""
        if self.lent > lendable_slots(self.owned):
            return False
        return self.unmet < SLIGHT

    def missing(self) -> float:
        """Return how many slots to ask peers for."""
        if self.unmet < SLIGHT and self.arrivals < 1:
            return 0.0
        return math.ceil(self.unmet) + self._ahead() - self.available

    def _ahead(self) -> int:
        return math.ceil(self.in_use * self.policy.slots_ahead)
