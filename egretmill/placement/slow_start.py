"""Slow start: the rate limit of an upstream that is still cold."""

import dataclasses

from egretmill.shares.bucket import Share, TokenBucket

__all__ = ('SlowStartLimit',)


@dataclasses.dataclass(slots=True)
class SlowStartLimit:
    """Token bucket for this host's share of a cold upstream's rate limit.

    :param cold_until: monotonic time at which the upstream is warmed up.
    """

    cold_until: float = 0
    bucket: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(0),
    )

    def mark_cold(self, until: float, now: float) -> None:
        """Mark the upstream as cold; the bucket starts with one token."""
        if not self.is_cold(now):
            self.bucket = TokenBucket(now)
        self.cold_until = max(self.cold_until, until)

    def mark_warm(self) -> None:
        """Mark the upstream as warmed up."""
        self.cold_until = 0

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold and the rate limit applies."""
        return now < self.cold_until

    def set_rate(self, rate_per_s: float) -> None:
        """Set this host's share of the rate, 0 to send no requests."""
        capacity = 1.0 if rate_per_s > 0 else 0.0
        self.bucket.apply_limit(Share(rate_per_s, capacity))

    def can_send(self, now: float) -> bool:
        """Return whether the rate limit allows a request now."""
        if not self.is_cold(now):
            return True
        self.bucket.advance(now)
        return self.bucket.wait_s(1) == 0

    def record_request(self, now: float) -> None:
        """Take a token for a request that is sent."""
        if self.is_cold(now):
            self.bucket.advance(now)
            self.bucket.take(1)
