"""Token bucket whose rate and capacity change at known times."""

import dataclasses

__all__ = ('NOTHING', 'Share', 'TokenBucket')

#: Sums of floats may miss a whole token by less than this.
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A part of a total.

    :param amount: rate per second, or a number of slots.
    :param capacity: burst in tokens, 0 for concurrency totals.
    """

    amount: float = 0.0
    capacity: float = 0.0

    def lowest(self, other: 'Share') -> 'Share':
        """Return what both shares allow."""
        return Share(
            min(self.amount, other.amount),
            min(self.capacity, other.capacity),
        )


NOTHING = Share()


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

    def reserve(self, amount: float, limit_s: float) -> float | None:
        """Take tokens that accrue soon and return the wait for them.

        The bucket goes below zero meanwhile, so that later calls queue
        behind. Nothing is taken and ``None`` returned if the wait is longer
        than the limit.
        """
        missing = amount - self.tokens - ROUNDING
        wait_s = 0.0
        if missing > 0:
            if not self.level.amount:
                return None
            wait_s = missing / self.level.amount
        if wait_s > limit_s:
            return None
        self.tokens -= amount
        return wait_s

    def put_back(self, amount: float) -> None:
        """Return tokens that were taken and not used."""
        self.tokens = min(self.level.capacity, self.tokens + amount)

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
