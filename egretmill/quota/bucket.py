"""Token bucket whose rate and capacity change at known times."""

import dataclasses

from egretmill.quota.division import NOTHING, Share

__all__ = ('TokenBucket',)

#: Sums of floats may miss a whole token by less than this.
ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens at a time, filled at the rate of the current level.

    :param at: monotonic time up to which tokens are counted, in seconds.
    """

    at: float
    tokens: float = 0.0
    level: Share = NOTHING

    def advance(self, now: float) -> None:
        """Add what has accrued since the last call."""
        if now <= self.at:
            return
        gained = (now - self.at) * self.level.amount
        self.tokens = min(self.level.capacity, self.tokens + gained)
        self.at = now

    def change(self, level: Share) -> None:
        """Use another level from now on; surplus tokens are dropped."""
        self.level = level
        self.tokens = min(level.capacity, self.tokens)

    def take(self, amount: float) -> bool:
        """Take tokens if there are enough."""
        if self.tokens + ROUNDING < amount:
            return False
        self.tokens = max(0.0, self.tokens - amount)
        return True

    def wait_s(self, amount: float) -> float | None:
        """Return when a take may succeed, ``None`` if never at this level."""
        if amount > self.level.capacity + ROUNDING:
            return None
        missing = max(0.0, amount - self.tokens)
        if not missing:
            return 0.0
        if not self.level.amount:
            return None
        return missing / self.level.amount
