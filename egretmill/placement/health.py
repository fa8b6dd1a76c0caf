"""Outlier ejection, latency and slow start of one upstream."""

import dataclasses
import math

__all__ = ('Health', 'Latency', 'SlowStart')

#: Consecutive broken responses or timeouts after which an upstream is
#: ejected. A single one can be caused by the request itself.
EJECTION_FAILURES = 2
#: First and maximum backoff before a probe; doubles with each failed probe.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
#: Additional delay before a request that is not idempotent may be a probe,
#: because its outcome is unknown if the upstream still does not respond. It
#: may be one at all because some upstreams get no idempotent requests and
#: could not return otherwise.
UNSAFE_PROBE_DELAY_S = 30.0
#: Limit of the exponent that doubles the backoff.
MAX_BACKOFF_EXPONENT = 5
#: Time constant of the exponential decay of earlier samples.
LATENCY_DECAY_S = 5.0
#: Weight of one sample in the mean. Small, so that single slow requests of
#: the latency tail are averaged out.
SAMPLE_WEIGHT = 0.1
#: Initial part of the slots that a cold upstream gets.
INITIAL_LEVEL = 0.25
#: Time in which the level rises by 1, from none to all of the slots.
SLOW_START_S = 10.0
#: Factor on the level after a load-shedding response.
SHED_LEVEL_FACTOR = 0.5


@dataclasses.dataclass(slots=True)
class Health:
    """Ejects a failing upstream and readmits it after a successful probe.

    A probe is a regular request, sent alone after the backoff.

    :param probe_at: time from which a probe may be sent.
    :param unsafe_probe_delay_s: additional delay before a request that is
        not idempotent may be a probe.
    """

    failures: int = 0
    failed_probes: int = 0
    probe_at: float = 0
    is_ejected: bool = False
    is_probing: bool = False
    unsafe_probe_delay_s: float = UNSAFE_PROBE_DELAY_S

    def can_send(self, now: float, *, idempotent: bool = True) -> bool:
        """Return whether a new request may be sent."""
        if not self.is_ejected:
            return True
        delay_s = 0 if idempotent else self.unsafe_probe_delay_s
        return not self.is_probing and now >= self.probe_at + delay_s

    def begin(self) -> None:
        """Record a new request, the probe if the upstream is ejected."""
        self.is_probing = self.is_ejected

    def cancel_probe(self) -> None:
        """Allow another probe; a cancelled one has no result."""
        self.is_probing = False

    def record_success(self) -> bool:
        """Record a success; return whether it ended an ejection.

        The success of a request sent before the failure does not show that
        new connections work.
        """
        if self.is_ejected and not self.is_probing:
            return False
        recovered = self.is_ejected
        self.failures = 0
        self.failed_probes = 0
        self.is_ejected = False
        self.is_probing = False
        return recovered

    def record_failure(self, now: float, *, conclusive: bool) -> None:
        """Record a failure; a ``conclusive`` one ejects immediately."""
        if self.is_ejected and not self.is_probing:
            # The request was sent before the ejection.
            return
        self.failures += 1
        if self.is_probing:
            self.failed_probes = min(
                self.failed_probes + 1, MAX_BACKOFF_EXPONENT
            )
        if conclusive or self.is_probing or self.failures >= EJECTION_FAILURES:
            self.is_ejected = True
            backoff_s = FIRST_BACKOFF_S * 2**self.failed_probes
            self.probe_at = now + min(backoff_s, MAX_BACKOFF_S)
        self.is_probing = False


@dataclasses.dataclass(slots=True)
class Latency:
    """Decaying mean and peak of the latency, 0 when unknown."""

    mean_s: float = 0
    peak_s: float = 0
    updated_at: float = 0

    def mean_at(self, now: float) -> float:
        """Return the mean, decayed since the last sample.

        Without the decay, an upstream that was slow once would get no
        request that could show its recovery.
        """
        return self.mean_s * self._decay(now)

    def peak_at(self, now: float) -> float:
        """Return the peak, decayed since the last sample."""
        return self.peak_s * self._decay(now)

    def add(self, sample_s: float, now: float) -> None:
        """Add a sample; the peak rises immediately and decays slowly."""
        decay = self._decay(now)
        weight = 1 - (1 - SAMPLE_WEIGHT) * decay
        if not self.mean_s:
            weight = 1
        self.mean_s += weight * (sample_s - self.mean_s)
        decayed_peak_s = self.peak_s * decay + sample_s * (1 - decay)
        self.peak_s = max(sample_s, decayed_peak_s)
        self.updated_at = now

    def add_lower_bound(self, elapsed_s: float, now: float) -> None:
        """Add the elapsed time of an attempt that was cut short."""
        if elapsed_s > self.mean_s:
            self.add(elapsed_s, now)

    def _decay(self, now: float) -> float:
        return math.exp(-max(now - self.updated_at, 0) / LATENCY_DECAY_S)


@dataclasses.dataclass(slots=True)
class SlowStart:
    """Slow start: the usable part of the slots, which rises to 1."""

    level: float = 1
    started_at: float = 0

    def level_at(self, now: float) -> float:
        """Return the level, between 0 and 1."""
        if self.level >= 1:
            return 1
        gained = max(now - self.started_at, 0) / SLOW_START_S
        return min(1, self.level + gained)

    def restart(self, now: float) -> None:
        """Restart at the initial level of a cold upstream."""
        self.level = INITIAL_LEVEL
        self.started_at = now

    def reduce(self, now: float) -> None:
        """Lower the level after a load-shedding response."""
        self.level = max(INITIAL_LEVEL, self.level_at(now) * SHED_LEVEL_FACTOR)
        self.started_at = now
