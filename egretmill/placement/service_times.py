"""Mean service times of a route at warm and cold upstreams."""

import dataclasses
import math

__all__ = ('ServiceTimes',)

#: Weight of one sample in the mean.
SAMPLE_WEIGHT = 0.05
#: Assumed times before the first sample, relative to the target latency:
#: a warm upstream usually meets the target, a cold one misses it.
COLD_TARGET_RATIO = 1.4
WARM_TARGET_RATIO = 0.5
#: Lower bound of the accepted wait for a slot, relative to the target latency.
MIN_WAIT_RATIO = 0.2
#: A request that seems to be too late for its deadline is sent nevertheless if
#: there has been no sample for this time, in seconds: nothing else corrects an
#: estimate by which all requests are refused.
PROBE_INTERVAL_S = 1.0
#: The target counts at most as this part of the route's timeout.
MAX_TIMEOUT_RATIO = 0.4


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Mean service times of a route's requests in seconds.

    :param warm_s: at an upstream that has recently handled the object.
    :param cold_s: at any other upstream.
    :param checked_at: time of the last sample, or of the last request that was
        sent to get one.
    """

    warm_s: float
    cold_s: float
    checked_at: float = -math.inf
    is_probing: bool = False

    @classmethod
    def from_target(cls, target_s: float, timeout_s: float) -> 'ServiceTimes':
        """Estimate the times from the target latency and the timeout."""
        reference_s = min(target_s, timeout_s * MAX_TIMEOUT_RATIO)
        return cls(
            reference_s * WARM_TARGET_RATIO, reference_s * COLD_TARGET_RATIO
        )

    def max_wait_s(self, target_s: float) -> float:
        """Return the longest wait for a slot with which the target is met."""
        return max(target_s * MIN_WAIT_RATIO, target_s - self.warm_s)

    def expected_s(self, *, warm: bool) -> float:
        """Return the mean service time."""
        return self.warm_s if warm else self.cold_s

    def start_probe(self, now: float) -> bool:
        """Return whether to send a request against the estimate."""
        if now - self.checked_at < PROBE_INTERVAL_S:
            return False
        self.checked_at = now
        self.is_probing = True
        return True

    def add(self, sample_s: float, now: float, *, warm: bool) -> None:
        """Add the latency of a request that did not wait for a slot.

        One that shows the estimate to be too high replaces it.
        """
        was_probing = self.is_probing
        self.is_probing = False
        self.checked_at = now
        if was_probing and sample_s < self.warm_s:
            self.warm_s = sample_s
            self.cold_s = sample_s
        elif warm:
            self.warm_s += SAMPLE_WEIGHT * (sample_s - self.warm_s)
        else:
            self.cold_s += SAMPLE_WEIGHT * (sample_s - self.cold_s)
