"""Token bucket whose rate and capacity can be changed."""

import dataclasses

__all__ = ('EMPTY_SHARE', 'Share', 'TokenBucket')

#: Sums of floats may fall short of a whole token by less than this.
FLOAT_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A part of a total.

    :param amount: rate per second, or a number of slots.
    :param capacity: burst in tokens, 0 for concurrency totals.
    """

    amount: float = 0.0
    capacity: float = 0.0

    def minimum(self, other: 'Share') -> 'Share':
        """Return the smaller rate and the smaller capacity of two shares."""
        return Share(
            min(self.amount, other.amount),
            min(self.capacity, other.capacity),
        )


EMPTY_SHARE = Share()


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket that is refilled when it is advanced.

    :param updated_at: monotonic time of the last refill, in seconds.
    :param limit: rate and capacity of the bucket.
    """

    updated_at: float
    tokens: float = 0.0
    limit: Share = EMPTY_SHARE

    def advance(self, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        if now <= self.updated_at:
            return
        accrued = (now - self.updated_at) * self.limit.amount
        self.tokens = min(self.limit.capacity, self.tokens + accrued)
        self.updated_at = now

    def apply_limit(self, limit: Share) -> None:
        """Set the rate and capacity; tokens above the capacity are dropped."""
        self.limit = limit
        self.tokens = min(limit.capacity, self.tokens)

    def take(self, amount: float) -> bool:
        """Take tokens if there are enough."""
        if self.tokens + FLOAT_TOLERANCE < amount:
            return False
        self.tokens = max(0.0, self.tokens - amount)
        return True

    def reserve(self, amount: float, max_wait_s: float) -> float | None:
        """Take tokens, in advance if needed, and return the wait for them.

        The number of tokens may become negative, so that later calls wait
        for longer. If the wait would be longer than ``max_wait_s``, nothing
        is taken and ``None`` is returned.
        """
        missing_tokens = amount - self.tokens - FLOAT_TOLERANCE
        wait_s = 0.0
        if missing_tokens > 0:
            if not self.limit.amount:
                return None
            wait_s = missing_tokens / self.limit.amount
        if wait_s > max_wait_s:
            return None
        self.tokens -= amount
        return wait_s

    def put_back(self, amount: float) -> None:
        """Put back tokens that were taken and not used."""
        self.tokens = min(self.limit.capacity, self.tokens + amount)

    def wait_s(self, amount: float) -> float | None:
        """Return the time until a take may succeed.

        It is ``None`` if the current rate and capacity never allow it.
        """
        if amount > self.limit.capacity + FLOAT_TOLERANCE:
            return None
        missing_tokens = max(0.0, amount - self.tokens)
        if not missing_tokens:
            return 0.0
        if not self.limit.amount:
            return None
        return missing_tokens / self.limit.amount
