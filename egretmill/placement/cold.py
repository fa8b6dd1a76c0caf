"""Rate at which this host may send to an upstream that is cold."""

import dataclasses

from egretmill.shares.bucket import Share, TokenBucket

__all__ = ('ColdGate',)


@dataclasses.dataclass(slots=True)
class ColdGate:
    """A bucket for the part of a cold upstream's rate that a host owns.

    :param until: monotonic time at which the upstream is warmed up.
    """

    until: float = 0
    bucket: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(0),
    )

    def close(self, until: float, now: float) -> None:
        """Treat the upstream as cold; the bucket starts with one token."""
        if not self.is_cold(now):
            self.bucket = TokenBucket(now)
        self.until = max(self.until, until)

    def open(self) -> None:
        """Treat the upstream as warmed up."""
        self.until = 0

    def is_cold(self, now: float) -> bool:
        """Tell whether the rate of a cold upstream applies."""
        return now < self.until

    def own(self, rate_per_s: float) -> None:
        """Set the part of the rate that this host owns, 0 for none."""
        capacity = 1.0 if rate_per_s > 0 else 0.0
        self.bucket.change(Share(rate_per_s, capacity))

    def admits(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        if not self.is_cold(now):
            return True
        self.bucket.advance(now)
        return self.bucket.wait_s(1) == 0

    def spend(self, now: float) -> None:
        """Count a request that is sent."""
        if self.is_cold(now):
            self.bucket.advance(now)
            self.bucket.take(1)
