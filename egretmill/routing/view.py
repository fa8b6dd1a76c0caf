"""State of one upstream as seen by this host."""

import dataclasses
import enum
import math

from egretmill.placement.health import Health, Latency, SlowStart
from egretmill.placement.observations import (
    LoadReport,
    Observation,
    ObservationKind,
)
from egretmill.wire.messages import UpstreamRecord

__all__ = ('DrainSource', 'UpstreamStatus', 'UpstreamView')

#: Maximum age of a load report that is used (design page, section 9).
REPORT_MAX_AGE_S = 2.0
#: Time constant of the exponential decay of earlier reports.
REPORT_DECAY_S = 5.0
#: An upstream that announced its drain in a response returns only after a gap
#: in its reports and reports without a drain for this time.
DRAIN_DENIAL_S = 5.0
#: Backoff after a load-shedding response; doubles up to the maximum.
FIRST_SHED_BACKOFF_S = 0.25
MAX_SHED_BACKOFF_S = 4.0
#: An upstream with requests in flight counts as stalled without a response
#: for this time, or for this multiple of its mean latency if that is longer.
MIN_STALL_S = 1.0
STALL_FACTOR = 8.0
#: A timeout counts as a failure only after this time, and this multiple of
#: the mean latency; a shorter one is due to the caller's short deadline.
MIN_FAILED_TIMEOUT_S = 0.5
FAILED_TIMEOUT_FACTOR = 4.0


class DrainSource(enum.StrEnum):
    """Source of the information that an upstream is draining."""

    DOCUMENT = 'document'
    HOST_LIST = 'host list'
    ANSWER = 'own answer'
    REPORT = 'load report'


class UpstreamStatus(enum.StrEnum):
    """Whether an upstream can take a request, or why not."""

    USABLE = 'usable'
    STALLED = 'stalled'
    DRAINING = 'draining'
    EJECTED = 'left out after failures'
    PROBING = 'probe is running'
    SHEDDING = 'shedding load'
    FULL = 'own limit reached'
    EXCLUDED = 'already tried'


@dataclasses.dataclass(eq=False, slots=True)
class UpstreamView:
    """State of one upstream as seen by this host.

    :param connection_limit: maximum number of connections of this host.
    :param last_response_at: time of the last response, or of the first
        request in flight if that is later.
    :param drain_denied_since: since when reports without a drain count
        against an announced drain; ``None`` before a gap in the reports.
    :param other_hosts_requests: smoothed number of requests that the other
        hosts have at the upstream, from reports.
    :param drains: sources that currently drain the upstream.
    """

    record: UpstreamRecord
    connection_limit: int
    in_flight: int = 0
    last_response_at: float = 0
    shed_backoff_until: float = 0
    shed_backoff_s: float = 0
    drain_denied_since: float | None = None
    report: LoadReport | None = None
    other_hosts_requests: float = 0
    drains: set[DrainSource] = dataclasses.field(default_factory=set)
    health: Health = dataclasses.field(default_factory=Health)
    latency: Latency = dataclasses.field(default_factory=Latency)
    slow_start: SlowStart = dataclasses.field(default_factory=SlowStart)

    def status(
        self,
        now: float,
        *,
        with_slow_start: bool = True,
        idempotent: bool = True,
    ) -> UpstreamStatus:
        """Return whether the upstream can take a request, or why not.

        :param with_slow_start: limit a cold upstream to its slow-start level.
        :param idempotent: the request may be a probe.
        """
        if self.drains:
            return UpstreamStatus.DRAINING
        if not self.health.can_send(now, idempotent=idempotent):
            return self._ejected_status()
        if self.is_shedding(now):
            return UpstreamStatus.SHEDDING
        if self.in_flight >= self.max_requests(
            now, with_slow_start=with_slow_start
        ):
            return UpstreamStatus.FULL
        return (
            UpstreamStatus.STALLED
            if self.is_stalled(now)
            else UpstreamStatus.USABLE
        )

    def max_requests(self, now: float, *, with_slow_start: bool = True) -> int:
        """Return this host's limit of requests in flight."""
        level = self.slow_start.level_at(now) if with_slow_start else 1
        slots = max(1, int(self.record.slots * level))
        return min(slots, self.connection_limit)

    def capacity(self, now: float, *, with_slow_start: bool = True) -> float:
        """Return the slots that are available now, 0 when unusable."""
        if self.drains or self.health.is_ejected:
            return 0
        level = self.slow_start.level_at(now) if with_slow_start else 1
        return self.record.slots * level

    def is_shedding(self, now: float) -> bool:
        """Return whether the backoff after load shedding lasts."""
        return now < self.shed_backoff_until

    def is_stalled(self, now: float) -> bool:
        """Return whether requests are in flight but none gets a response."""
        if not self.in_flight:
            return False
        stall_s = max(MIN_STALL_S, STALL_FACTOR * self.latency.mean_s)
        return now - self.last_response_at > stall_s

    def load(self, now: float) -> float:
        """Return the estimated requests of all hosts at the upstream.

        This is the number of requests of this host plus a moving average of
        those of the other hosts. Without averaging, all hosts would follow
        the newest report and send to the same upstream until the next one.
        """
        report = self.report
        if report is None or now - report.received_at > REPORT_MAX_AGE_S:
            return self.in_flight
        return self.in_flight + self.other_hosts_requests

    def begin(self, now: float) -> None:
        """Record that a request is sent."""
        if not self.in_flight:
            self.last_response_at = now
        self.in_flight += 1
        self.health.begin()

    def finish(self, observation: Observation, now: float) -> None:
        """Record the end of a request."""
        self.in_flight = max(self.in_flight - 1, 0)
        latency_s = observation.latency_s
        match observation.kind:
            case ObservationKind.OK:
                self._record_success(latency_s, now)
            case ObservationKind.SHED:
                self._back_off(now)
            case ObservationKind.DRAINING:
                self.drains.add(DrainSource.ANSWER)
                self.drain_denied_since = None
                self.health.cancel_probe()
            case ObservationKind.CANCELLED:
                self.latency.add_lower_bound(latency_s, now)
                self.health.cancel_probe()
            case ObservationKind.TIMEOUT:
                self._record_timeout(latency_s, now)
            case _:
                conclusive = observation.kind == ObservationKind.REFUSED
                self.health.record_failure(now, conclusive=conclusive)

    def record_report(
        self,
        running: int,
        received_at: float,
        *,
        draining: bool,
    ) -> None:
        """Record a load report; ignores one older than the last."""
        previous = self.report
        if previous is not None and received_at < previous.received_at:
            return
        previous_at = received_at if previous is None else previous.received_at
        after_gap = received_at - previous_at > REPORT_MAX_AGE_S
        self.report = LoadReport(max(running, 0), draining, received_at)
        others = max(running - self.in_flight, 0)
        decay = math.exp((previous_at - received_at) / REPORT_DECAY_S)
        self.other_hosts_requests = (
            decay * self.other_hosts_requests + (1 - decay) * others
        )
        if draining:
            self.drains.add(DrainSource.REPORT)
            self.drain_denied_since = None
            return
        self._record_drain_denial(received_at, after_gap=after_gap)

    def reset(self, record: UpstreamRecord, now: float) -> None:
        """Reset a returned upstream; requests in flight still count."""
        self.record = record
        self.report = None
        self.other_hosts_requests = 0
        self.drains.clear()
        self.drain_denied_since = None
        self.shed_backoff_until = 0
        self.health = Health()
        self.latency = Latency()
        self.slow_start.restart(now)

    def _ejected_status(self) -> UpstreamStatus:
        if self.health.is_probing:
            return UpstreamStatus.PROBING
        return UpstreamStatus.EJECTED

    def _record_success(self, latency_s: float, now: float) -> None:
        self.last_response_at = now
        self.shed_backoff_s = 0
        self.latency.add(latency_s, now)
        if self.health.record_success():
            self.latency = Latency()
            self.slow_start.restart(now)

    def _back_off(self, now: float) -> None:
        # A load-shedding response shows that the process is alive.
        self.last_response_at = now
        if self.health.record_success():
            self.slow_start.restart(now)
        doubled_s = max(FIRST_SHED_BACKOFF_S, 2 * self.shed_backoff_s)
        if not self.is_shedding(now):
            self.shed_backoff_s = min(doubled_s, MAX_SHED_BACKOFF_S)
            self.slow_start.reduce(now)
        self.shed_backoff_until = now + self.shed_backoff_s

    def _record_timeout(self, latency_s: float, now: float) -> None:
        min_failed_s = max(
            MIN_FAILED_TIMEOUT_S,
            FAILED_TIMEOUT_FACTOR * self.latency.mean_s,
        )
        # A timeout that counts as a failure isn't added to the mean: it would
        # raise the threshold until no timeout counts any longer.
        if latency_s >= min_failed_s:
            self.health.record_failure(now, conclusive=False)
            return
        self.latency.add_lower_bound(latency_s, now)
        self.health.cancel_probe()

    def _record_drain_denial(self, now: float, *, after_gap: bool) -> None:
        # A single report does not end an announced drain, because it may be
        # outdated. After a gap, the process may have been replaced.
        if DrainSource.REPORT in self.drains:
            self.drains.discard(DrainSource.REPORT)
            self.slow_start.restart(now)
        if DrainSource.ANSWER not in self.drains:
            return
        if after_gap:
            self.drain_denied_since = now
        since = self.drain_denied_since
        if since is not None and now - since >= DRAIN_DENIAL_S:
            self.drains.discard(DrainSource.ANSWER)
            self.slow_start.restart(now)
