"""Failure state, latency and ramp of one upstream."""

import dataclasses
import math

__all__ = ('Health', 'Latency', 'Ramp')

#: Consecutive broken answers or timeouts after which an upstream is left
#: out. One can be the fault of the request itself.
FAILURE_LIMIT = 2
#: First and longest time without probes; it doubles with each failed probe.
FIRST_BACKOFF_S = 0.5
LONGEST_BACKOFF_S = 8.0
#: A request that may not be repeated is a probe only this much later: its
#: outcome would be unknown if the upstream is still silent. It is one at all,
#: so that an upstream returns that gets no other requests.
UNSAFE_PROBE_DELAY_S = 30.0
#: Largest exponent of the doubling, so that the power stays small.
BACKOFF_STEPS = 5
#: Weight of earlier samples after this time is 1/e.
LATENCY_DECAY_S = 5.0
#: Share of one sample in the mean; the slow tail is averaged over requests.
SAMPLE_WEIGHT = 0.1
#: Level of a cold upstream as a part of its slots.
COLD_LEVEL = 0.25
#: Time in which a cold upstream reaches all its slots.
RAMP_S = 10.0
#: Factor for the level after a load-shedding answer.
SHED_FACTOR = 0.5


@dataclasses.dataclass(slots=True)
class Health:
    """Leaves a failing upstream out and lets single probes through.

    A probe is one real request at a time after the backoff.

    :param once_delay_s: a request that may not be repeated is a probe only
        this much later.
    """

    failures: int = 0
    failed_probes: int = 0
    retry_at: float = 0
    left_out: bool = False
    probing: bool = False
    once_delay_s: float = UNSAFE_PROBE_DELAY_S

    def admits(self, now: float, *, idempotent: bool = True) -> bool:
        """Tell whether a new request may be sent."""
        if not self.left_out:
            return True
        delay_s = 0 if idempotent else self.once_delay_s
        return not self.probing and now >= self.retry_at + delay_s

    def begin(self) -> None:
        """Note a new request; it is the probe of an upstream left out."""
        self.probing = self.left_out

    def cancel(self) -> None:
        """Allow another probe: a cancelled one has shown nothing."""
        self.probing = False

    def succeed(self) -> bool:
        """Note a success and tell whether the upstream has returned.

        A success of a request sent before the failure is no evidence that
        new connections work.
        """
        if self.left_out and not self.probing:
            return False
        returned = self.left_out
        self.failures = 0
        self.failed_probes = 0
        self.left_out = False
        self.probing = False
        return returned

    def fail(self, now: float, *, certain: bool) -> None:
        """Note a failure; a ``certain`` one leaves the upstream out."""
        if self.left_out and not self.probing:
            # Requests that were already running fail with their upstream.
            return
        self.failures += 1
        if self.probing:
            self.failed_probes = min(self.failed_probes + 1, BACKOFF_STEPS)
        if certain or self.probing or self.failures >= FAILURE_LIMIT:
            self.left_out = True
            backoff_s = FIRST_BACKOFF_S * 2**self.failed_probes
            self.retry_at = now + min(backoff_s, LONGEST_BACKOFF_S)
        self.probing = False


@dataclasses.dataclass(slots=True)
class Latency:
    """Mean and peak of the latency in seconds, 0 when unknown."""

    mean_s: float = 0
    peak_s: float = 0
    updated_at: float = 0

    def mean_at(self, now: float) -> float:
        """Return the mean, lower the longer no sample has come.

        Without this, an upstream that was slow once would get no request
        that could show that it has recovered.
        """
        return self.mean_s * self._kept(now)

    def peak_at(self, now: float) -> float:
        """Return the peak, lower the longer no sample has come."""
        return self.peak_s * self._kept(now)

    def add(self, sample_s: float, now: float) -> None:
        """Add a sample; the peak rises at once and falls slowly."""
        kept = self._kept(now)
        weight = 1 - (1 - SAMPLE_WEIGHT) * kept
        if not self.mean_s:
            weight = 1
        self.mean_s += weight * (sample_s - self.mean_s)
        kept_peak_s = self.peak_s * kept + sample_s * (1 - kept)
        self.peak_s = max(sample_s, kept_peak_s)
        self.updated_at = now

    def add_bound(self, bound_s: float, now: float) -> None:
        """Add the duration of an attempt that did not end by itself."""
        if bound_s > self.mean_s:
            self.add(bound_s, now)

    def _kept(self, now: float) -> float:
        return math.exp(-max(now - self.updated_at, 0) / LATENCY_DECAY_S)


@dataclasses.dataclass(slots=True)
class Ramp:
    """Part of the slots in use; it rises to 1 with time."""

    level: float = 1
    since: float = 0

    def level_at(self, now: float) -> float:
        """Return the level, between 0 and 1."""
        if self.level >= 1:
            return 1
        risen = max(now - self.since, 0) / RAMP_S
        return min(1, self.level + risen)

    def restart(self, now: float) -> None:
        """Start as a cold upstream."""
        self.level = COLD_LEVEL
        self.since = now

    def shed(self, now: float) -> None:
        """Lower the level after a load-shedding answer."""
        self.level = max(COLD_LEVEL, self.level_at(now) * SHED_FACTOR)
        self.since = now
