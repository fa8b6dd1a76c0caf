"""Estimates of recent demand that decay exponentially."""

import dataclasses
import math

__all__ = ('DecayingSum',)


@dataclasses.dataclass(slots=True)
class DecayingSum:
    """A sum whose entries decay exponentially.

    :param tau_s: time constant; an entry decays to 1/e in this time.
    :param value: the sum at the time ``updated_at``.
    """

    tau_s: float
    value: float = 0.0
    updated_at: float = -math.inf

    def add(self, amount: float, now: float) -> None:
        """Add an entry; the sum never becomes negative."""
        self.value = max(0.0, self.value_at(now) + amount)
        self.updated_at = max(self.updated_at, now)

    def value_at(self, now: float) -> float:
        """Return the decayed sum."""
        if now <= self.updated_at:
            return self.value
        return self.value * math.exp((self.updated_at - now) / self.tau_s)

    def rate_at(self, now: float) -> float:
        """Return the decayed sum as a rate per second."""
        return self.value_at(now) / self.tau_s
