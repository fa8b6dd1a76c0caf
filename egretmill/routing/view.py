"""The view that this host has of one upstream."""

import dataclasses
import enum
import math

from egretmill.placement.health import Health, Latency, Ramp
from egretmill.placement.observations import (
    LoadReport,
    Observation,
    ObservationKind,
)
from egretmill.wire.messages import UpstreamRecord

__all__ = ('DrainSource', 'UpstreamView', 'Verdict')

#: Older load reports are not used (design page, section 9).
REPORT_MAX_AGE_S = 2.0
#: Weight of earlier reports after this time is 1/e.
REPORT_DECAY_S = 5.0
#: Reports must deny the drain for this time after a gap in the reports
#: before an upstream returns that announced its drain in an answer.
DRAIN_DENIAL_S = 5.0
#: Time without new work after a load-shedding answer; doubles to the limit.
FIRST_SHED_HOLD_S = 0.25
LONGEST_SHED_HOLD_S = 4.0
#: An upstream with requests in flight that finishes none for this time, or
#: for the factor times its mean latency, counts as stalled.
STALL_S = 1.0
STALL_FACTOR = 8.0
#: A shorter timeout says more about the caller's deadline than about the
#: upstream.
TIMEOUT_EVIDENCE_S = 0.5
TIMEOUT_EVIDENCE_FACTOR = 4.0


class DrainSource(enum.StrEnum):
    """Who said that an upstream leaves."""

    DOCUMENT = 'document'
    HOST_LIST = 'host list'
    ANSWER = 'own answer'
    REPORT = 'load report'


class Verdict(enum.StrEnum):
    """Why an upstream is or is not a candidate."""

    USABLE = 'usable'
    STALLED = 'stalled'
    DRAINING = 'draining'
    LEFT_OUT = 'left out after failures'
    PROBING = 'probe is running'
    SHEDDING = 'shedding load'
    FULL = 'own limit reached'
    EXCLUDED = 'already tried'


@dataclasses.dataclass(eq=False, slots=True)
class UpstreamView:
    """State of one upstream as seen by this host.

    :param connection_limit: connections that this host may hold.
    :param others: smoothed requests of the other hosts, from reports.
    """

    record: UpstreamRecord
    connection_limit: int
    in_flight: int = 0
    progress_at: float = 0
    shed_until: float = 0
    shed_hold_s: float = 0
    denied_since: float | None = None
    report: LoadReport | None = None
    others: float = 0
    drains: set[DrainSource] = dataclasses.field(default_factory=set)
    health: Health = dataclasses.field(default_factory=Health)
    latency: Latency = dataclasses.field(default_factory=Latency)
    ramp: Ramp = dataclasses.field(default_factory=Ramp)

    def verdict(
        self,
        now: float,
        *,
        ramped: bool = True,
        idempotent: bool = True,
    ) -> Verdict:
        """Tell whether the upstream may get a request and why not.

        :param ramped: keep to the ramp of a cold upstream.
        :param idempotent: the request may serve as a probe.
        """
        if self.drains:
            return Verdict.DRAINING
        if not self.health.admits(now, idempotent=idempotent):
            return self._left_out()
        if self.sheds(now):
            return Verdict.SHEDDING
        if self.in_flight >= self.limit(now, ramped=ramped):
            return Verdict.FULL
        return Verdict.STALLED if self.stalled(now) else Verdict.USABLE

    def limit(self, now: float, *, ramped: bool = True) -> int:
        """Return how many requests this host may have in flight."""
        level = self.ramp.level_at(now) if ramped else 1
        slots = max(1, int(self.record.slots * level))
        return min(slots, self.connection_limit)

    def weight(self, now: float, *, ramped: bool = True) -> float:
        """Return the slots that count as capacity now, 0 when unusable."""
        if self.drains or self.health.left_out:
            return 0
        level = self.ramp.level_at(now) if ramped else 1
        return self.record.slots * level

    def sheds(self, now: float) -> bool:
        """Tell whether a load-shedding answer still holds."""
        return now < self.shed_until

    def stalled(self, now: float) -> bool:
        """Tell whether requests are in flight but none finishes."""
        if not self.in_flight:
            return False
        allowed_s = max(STALL_S, STALL_FACTOR * self.latency.mean_s)
        return now - self.progress_at > allowed_s

    def load(self, now: float) -> float:
        """Return the estimated requests of all hosts at the upstream.

        These are the own ones, and the mean of what the reports show beyond
        them. The mean is smooth, because hosts that all follow the newest
        report send to the same upstream until the next one.
        """
        report = self.report
        if report is None or now - report.received_at > REPORT_MAX_AGE_S:
            return self.in_flight
        return self.in_flight + self.others

    def begin(self, now: float) -> None:
        """Note that a request is sent."""
        if not self.in_flight:
            self.progress_at = now
        self.in_flight += 1
        self.health.begin()

    def finish(self, observation: Observation, now: float) -> None:
        """Note the end of a request."""
        self.in_flight = max(self.in_flight - 1, 0)
        latency_s = observation.latency_s
        match observation.kind:
            case ObservationKind.OK:
                self._succeed(latency_s, now)
            case ObservationKind.SHED:
                self._shed(now)
            case ObservationKind.DRAINING:
                self.drains.add(DrainSource.ANSWER)
                self.denied_since = None
                self.health.cancel()
            case ObservationKind.CANCELLED:
                self.latency.add_bound(latency_s, now)
                self.health.cancel()
            case ObservationKind.TIMEOUT:
                self._time_out(latency_s, now)
            case _:
                certain = observation.kind == ObservationKind.REFUSED
                self.health.fail(now, certain=certain)

    def take_report(
        self,
        running: int,
        received_at: float,
        *,
        draining: bool,
    ) -> None:
        """Store a load report; an older one than the stored is dropped."""
        last = self.report
        if last is not None and received_at < last.received_at:
            return
        last_at = received_at if last is None else last.received_at
        gap = received_at - last_at > REPORT_MAX_AGE_S
        self.report = LoadReport(max(running, 0), draining, received_at)
        others = max(running - self.in_flight, 0)
        kept = math.exp((last_at - received_at) / REPORT_DECAY_S)
        self.others = kept * self.others + (1 - kept) * others
        if draining:
            self.drains.add(DrainSource.REPORT)
            self.denied_since = None
            return
        self._deny_drain(received_at, after_gap=gap)

    def reset(self, record: UpstreamRecord, now: float) -> None:
        """Start again as a returned upstream; requests in flight remain."""
        self.record = record
        self.report = None
        self.others = 0
        self.drains.clear()
        self.denied_since = None
        self.shed_until = 0
        self.health = Health()
        self.latency = Latency()
        self.ramp.restart(now)

    def _left_out(self) -> Verdict:
        if self.health.probing:
            return Verdict.PROBING
        return Verdict.LEFT_OUT

    def _succeed(self, latency_s: float, now: float) -> None:
        self.progress_at = now
        self.shed_hold_s = 0
        self.latency.add(latency_s, now)
        if self.health.succeed():
            self.latency = Latency()
            self.ramp.restart(now)

    def _shed(self, now: float) -> None:
        # A load-shedding answer comes from a process that works.
        self.progress_at = now
        if self.health.succeed():
            self.ramp.restart(now)
        doubled_s = max(FIRST_SHED_HOLD_S, 2 * self.shed_hold_s)
        if not self.sheds(now):
            self.shed_hold_s = min(doubled_s, LONGEST_SHED_HOLD_S)
            self.ramp.shed(now)
        self.shed_until = now + self.shed_hold_s

    def _time_out(self, latency_s: float, now: float) -> None:
        evidence_s = max(
            TIMEOUT_EVIDENCE_S,
            TIMEOUT_EVIDENCE_FACTOR * self.latency.mean_s,
        )
        # A timeout that counts as a failure stays out of the mean. It would
        # raise the bound until no timeout counts.
        if latency_s >= evidence_s:
            self.health.fail(now, certain=False)
            return
        self.latency.add_bound(latency_s, now)
        self.health.cancel()

    def _deny_drain(self, now: float, *, after_gap: bool) -> None:
        # A report alone does not end an announced drain, because it can be
        # late. A gap shows that the process may have been replaced.
        if DrainSource.REPORT in self.drains:
            self.drains.discard(DrainSource.REPORT)
            self.ramp.restart(now)
        if DrainSource.ANSWER not in self.drains:
            return
        if after_gap:
            self.denied_since = now
        since = self.denied_since
        if since is not None and now - since >= DRAIN_DENIAL_S:
            self.drains.discard(DrainSource.ANSWER)
            self.ramp.restart(now)
