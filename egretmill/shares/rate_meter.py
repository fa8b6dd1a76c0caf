"""Smoothed rate of events."""

import dataclasses
import math

__all__ = ('RateMeter',)

#: Shortest time over which a rate is computed.
MIN_ELAPSED_S = 0.5


@dataclasses.dataclass(slots=True)
class RateMeter:
    """Events per second, with an exponential decay.

    :param time_constant_s: time constant of the decay.
    :param started_at: when counting started. The rate is then a mean over the
        time since, instead of rising slowly from 0.
    :param per_s: rate at ``updated_at``.
    """

    time_constant_s: float
    started_at: float = -math.inf
    per_s: float = 0
    updated_at: float = 0

    def record(self, now: float) -> None:
        """Count an event."""
        self.per_s = self._decayed(now) + 1 / self.time_constant_s
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the rate in events per second."""
        elapsed_s = max(now - self.started_at, MIN_ELAPSED_S)
        observed = 1 - math.exp(-elapsed_s / self.time_constant_s)
        return self._decayed(now) / observed

    def _decayed(self, now: float) -> float:
        age_s = now - self.updated_at
        return self.per_s * math.exp(-age_s / self.time_constant_s)
