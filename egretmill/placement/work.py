"""How long the requests of a route keep an upstream busy."""

import dataclasses

__all__ = ('WorkTimes',)

#: Weight of one sample in the mean.
SAMPLE_WEIGHT = 0.05
#: Assumed times before the first sample, as parts of the target latency.
#: Targets leave room for a warm upstream and none for a cold one.
COLD_PART = 1.4
WARM_PART = 0.5
#: ... and no more than this part of the longest time.
TIMEOUT_PART = 0.4


@dataclasses.dataclass(slots=True)
class WorkTimes:
    """Mean work of a route's requests in seconds.

    :param warm_s: at an upstream that has handled the object lately.
    :param cold_s: at any other upstream.
    """

    warm_s: float
    cold_s: float

    @classmethod
    def from_target(cls, target_s: float, timeout_s: float) -> 'WorkTimes':
        """Start from the target latency and the timeout of a route."""
        bounded_s = min(target_s, timeout_s * TIMEOUT_PART)
        return cls(bounded_s * WARM_PART, bounded_s * COLD_PART)

    def expected_s(self, *, warm: bool) -> float:
        """Return the mean work of the next request."""
        return self.warm_s if warm else self.cold_s

    def add(self, sample_s: float, *, warm: bool) -> None:
        """Take the latency of a request that found a free slot."""
        if warm:
            self.warm_s += SAMPLE_WEIGHT * (sample_s - self.warm_s)
        else:
            self.cold_s += SAMPLE_WEIGHT * (sample_s - self.cold_s)
