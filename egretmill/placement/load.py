"""Load, relative latency and health of one upstream."""

import collections
import dataclasses
import math

from egretmill.fleet.upstreams import Upstream
from egretmill.placement.slow_start import SlowStartLimit
from egretmill.placement.health import MAX_BACKOFF_S, Health
from egretmill.placement.observations import ObservationKind
from egretmill.placement.pause import Pause
from egretmill.placement.stated_limit import StatedLimit

__all__ = ('LoadReport', 'UpstreamLoad')

#: Limit of the recently handled objects tracked per upstream.
MAX_WARM_OBJECTS = 64
#: Time for which an upstream counts as warm for an object it has handled.
WARM_TTL_S = 60.0
#: Weight of one load report in the mean load of the other hosts.
REPORT_WEIGHT = 0.4
#: Time constant of the decay of the load that was last reported.
REPORT_DECAY_S = 2.0
#: Weight of one sample in the latency ratio of an upstream.
LATENCY_RATIO_WEIGHT = 0.2
#: Without samples, the latency ratio returns to 1 with this time constant, so
#: that an upstream that has recovered gets requests again.
LATENCY_RATIO_DECAY_S = 4.0
#: Backoff after a load-shedding response; doubles up to the maximum.
FIRST_SHED_BACKOFF_S = 0.05
MAX_SHED_BACKOFF_S = 1.0
#: Time without a response after which an upstream with requests in flight
#: counts as stalled,
MIN_STALL_S = 1.0
#: or this multiple of the expected service time, if that is longer.
STALL_SERVICE_TIME_FACTOR = 4.0
#: Additional delay before a request that is not idempotent may probe an
#: upstream that broke a connection or timed out. Equals the maximum backoff,
#: because the outcome of a failed probe would be unknown.
UNSAFE_PROBE_DELAY_S = MAX_BACKOFF_S


def _make_health() -> Health:
    return Health(unsafe_probe_delay_s=UNSAFE_PROBE_DELAY_S)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reports in a response, for all hosts."""

    running: int
    waiting: int
    slots: int

    @property
    def is_full(self) -> bool:
        """Return whether no slot is free."""
        return self.running + self.waiting >= self.slots


@dataclasses.dataclass(eq=False, slots=True)
class UpstreamLoad:
    """State of one upstream as seen by this host.

    :param other_hosts_requests: smoothed number of requests that the other
        hosts have at the upstream.
    :param latency_ratio: smoothed ratio of observed to expected latency.
    :param backoff_until: no requests are sent before this time, because the
        upstream has shed load.
    :param last_response_at: time of the last response, or of the first
        request in flight if that is later.
    :param suspected_cold_at_report: sequence number of the upstream's last
        report when it was last suspected to be cold.
    :param connection_failed: whether the last failure occurred before
        anything was sent.
    :param stated_limit: limit that the upstream states for all hosts.
    :param pause: pause that the upstream asks of this host.
    :param warm_objects: time of the last request by object, oldest first.
    """

    record: Upstream
    in_flight: int = 0
    other_hosts_requests: float = 0
    reported_at: float = 0
    latency_ratio: float = 1
    latency_ratio_updated_at: float = 0
    shed_backoff_s: float = 0
    backoff_until: float = 0
    last_response_at: float = 0
    suspected_cold_at_report: int = 0
    connection_failed: bool = False
    health: Health = dataclasses.field(default_factory=_make_health)
    slow_start: SlowStartLimit = dataclasses.field(
        default_factory=SlowStartLimit
    )
    stated_limit: StatedLimit = dataclasses.field(default_factory=StatedLimit)
    pause: Pause = dataclasses.field(default_factory=Pause)
    warm_objects: 'collections.OrderedDict[str, float]' = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def estimated_requests(self, now: float) -> float:
        """Return the estimated requests of all hosts at the upstream."""
        age_s = now - self.reported_at
        return self.in_flight + self.other_hosts_requests * math.exp(
            -age_s / REPORT_DECAY_S
        )

    def latency_ratio_at(self, now: float) -> float:
        """Return the latency ratio, decayed since the last sample."""
        decay = math.exp(
            (self.latency_ratio_updated_at - now) / LATENCY_RATIO_DECAY_S
        )
        return 1 + (self.latency_ratio - 1) * decay

    def is_warm(self, object_key: str, now: float) -> bool:
        """Return whether it has recently handled an object."""
        handled_at = self.warm_objects.get(object_key)
        return handled_at is not None and now - handled_at < WARM_TTL_S

    def can_send(self, now: float, *, idempotent: bool) -> bool:
        """Return whether a request may be sent now.

        :param idempotent: the request may run twice, so it may probe a
            failed upstream as soon as the backoff ends.
        """
        if now < self.backoff_until or not self.slow_start.can_send(now):
            return False
        if not self.stated_limit.can_send(now) or not self.pause.can_send(now):
            return False
        # If the connection fails again, nothing of the request is sent.
        can_probe = idempotent or self.connection_failed
        return self.health.can_send(now, idempotent=can_probe)

    @property
    def is_limited(self) -> bool:
        """Return whether it states a limit for all hosts."""
        return self.stated_limit.rate_per_s is not None

    def is_stalled(self, now: float, service_s: float) -> bool:
        """Return whether requests are in flight but none gets a response."""
        if not self.in_flight:
            return False
        return now - self.last_response_at > max(
            MIN_STALL_S, STALL_SERVICE_TIME_FACTOR * service_s
        )

    def begin(self, now: float, object_key: str = '') -> None:
        """Record that a request is sent.

        The upstream counts as warm for the object from now on, because later
        requests run after this one.
        """
        if object_key:
            self._mark_warm(object_key, now)
        if not self.in_flight:
            self.last_response_at = now
        self.in_flight += 1
        self.slow_start.record_request(now)
        self.stated_limit.record_request(now)
        self.pause.record_request()
        self.health.begin()

    def finish(
        self,
        kind: ObservationKind,
        now: float,
        sent_at: float = math.inf,
        report: LoadReport | None = None,
    ) -> None:
        """Record the end of a request.

        An upstream that sheds load although it reports a free slot does not
        do so for lack of capacity, and a backoff would only move its objects
        to upstreams that are cold for them.

        :param report: load that the upstream reported in its response.
        :param sent_at: when the request was sent. A timeout is no failure
            if the upstream has responded to other requests since then.
        """
        self.in_flight = max(self.in_flight - 1, 0)
        is_answered = kind in {ObservationKind.OK, ObservationKind.SHED}
        self.pause.record_end(sent_at, is_answered=is_answered)
        match kind:
            case ObservationKind.OK:
                self.last_response_at = now
                self.shed_backoff_s = 0
                self.health.record_success()
            case ObservationKind.SHED:
                self.last_response_at = now
                self.health.record_success()
                if report is None or report.is_full:
                    self._back_off(now)
            case ObservationKind.CANCELLED:
                self.health.cancel_probe()
            case ObservationKind.TIMEOUT if self.last_response_at > sent_at:
                self.health.cancel_probe()
            case _:
                self.connection_failed = kind is ObservationKind.REFUSED
                self.health.record_failure(
                    now, conclusive=self.connection_failed
                )

    def record_response(
        self,
        object_key: str,
        latency_s: float,
        expected_s: float,
        now: float,
    ) -> None:
        """Update the latency ratio and the warm objects from a response."""
        sample = latency_s / max(expected_s, 0.001)
        current = self.latency_ratio_at(now)
        self.latency_ratio = current + LATENCY_RATIO_WEIGHT * (sample - current)
        self.latency_ratio_updated_at = now
        self._mark_warm(object_key, now)

    def record_report(self, report: LoadReport, now: float) -> None:
        """Update the load of the other hosts from a load report."""
        total = report.running + report.waiting
        others = max(total - self.in_flight, 0)
        age_s = now - self.reported_at
        previous = self.other_hosts_requests * math.exp(-age_s / REPORT_DECAY_S)
        self.other_hosts_requests = previous + REPORT_WEIGHT * (
            others - previous
        )
        self.reported_at = now

    def restart(self, record: Upstream) -> None:
        """Reset for a new incarnation; requests in flight still count."""
        self.record = record
        self.other_hosts_requests = 0
        self.latency_ratio = 1
        self.backoff_until = 0
        self.suspected_cold_at_report = 0
        self.health = _make_health()
        self.stated_limit = StatedLimit()
        self.pause = Pause()
        self.warm_objects.clear()

    def _mark_warm(self, object_key: str, now: float) -> None:
        self.warm_objects[object_key] = now
        self.warm_objects.move_to_end(object_key)
        if len(self.warm_objects) > MAX_WARM_OBJECTS:
            self.warm_objects.popitem(last=False)

    def _back_off(self, now: float) -> None:
        if now >= self.backoff_until:
            doubled_s = max(FIRST_SHED_BACKOFF_S, 2 * self.shed_backoff_s)
            self.shed_backoff_s = min(doubled_s, MAX_SHED_BACKOFF_S)
        self.backoff_until = now + self.shed_backoff_s
