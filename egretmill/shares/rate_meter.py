"""Smoothed rate of events."""

import dataclasses
import math

__all__ = ('RateMeter',)


@dataclasses.dataclass(slots=True)
class RateMeter:
    """Events per second, with an exponential decay.

    :param time_constant_s: time constant of the decay.
    :param per_s: rate at ``updated_at``.
    """

    time_constant_s: float
    per_s: float = 0
    updated_at: float = 0

    def record(self, now: float) -> None:
        """Count an event."""
        self.per_s = self.rate_at(now) + 1 / self.time_constant_s
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the rate in events per second."""
        age_s = now - self.updated_at
        return self.per_s * math.exp(-age_s / self.time_constant_s)
