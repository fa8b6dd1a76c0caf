"""Estimates of recent demand that fade with time."""

import dataclasses
import math

__all__ = ('Fading',)


@dataclasses.dataclass(slots=True)
class Fading:
    """A sum whose entries fade exponentially.

    :param tau_s: after this time an entry counts 1/e of what it was.
    """

    tau_s: float
    level: float = 0.0
    at: float = -math.inf

    def add(self, amount: float, now: float) -> None:
        """Add an entry at ``now``."""
        self.level = max(0.0, self.sum(now) + amount)
        self.at = max(self.at, now)

    def sum(self, now: float) -> float:
        """Return the faded sum."""
        if now <= self.at:
            return self.level
        return self.level * math.exp((self.at - now) / self.tau_s)

    def rate(self, now: float) -> float:
        """Return the faded sum as a rate per second."""
        return self.sum(now) / self.tau_s
