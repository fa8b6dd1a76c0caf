"""What a host knows of the load, speed and health of one upstream."""

import collections
import dataclasses
import math

from egretmill.fleet.upstreams import Upstream
from egretmill.placement.cold import ColdGate
from egretmill.placement.health import LONGEST_BACKOFF_S, Health
from egretmill.placement.observations import ObservationKind

__all__ = ('LoadReport', 'UpstreamLoad')

#: Objects that an upstream is taken to remember.
WARM_OBJECTS = 64
#: An object counts as remembered for this time, in seconds.
WARM_S = 60.0
#: Weight of one load report in the mean load of the other hosts.
REPORT_WEIGHT = 0.4
#: The reported load of the other hosts loses weight with this time constant.
REPORT_DECAY_S = 2.0
#: Weight of one sample in the slowness of an upstream.
SLOWNESS_WEIGHT = 0.2
#: Slowness returns to 1 with this time constant when no sample comes, so
#: that an upstream that has recovered gets requests again.
SLOWNESS_DECAY_S = 4.0
#: Time without new work after a rejection; doubles up to the longest.
FIRST_HOLD_S = 0.05
LONGEST_HOLD_S = 1.0
#: Requests in flight without any end for this time show a silent upstream.
STALL_S = 1.0
#: ... or for this multiple of the expected work, if that is longer.
STALL_FACTOR = 4.0
#: A request that runs once is the probe of an upstream that broke off or was
#: silent this much later than an idempotent one, in seconds: the longest
#: backoff, because its outcome would be unknown.
ONCE_PROBE_DELAY_S = LONGEST_BACKOFF_S


def _make_health() -> Health:
    return Health(once_delay_s=ONCE_PROBE_DELAY_S)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream tells in a response."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(eq=False, slots=True)
class UpstreamLoad:
    """State of one upstream as seen by this host.

    :param others: smoothed requests of the other hosts.
    :param slowness: observed latency as a multiple of the expected one.
    :param warm: objects that it has handled, with the time.
    :param suspected_beat: last report when it was suspected to be cold.
    :param unreached: the last failure ended before anything was sent.
    """

    record: Upstream
    in_flight: int = 0
    others: float = 0
    reported_at: float = 0
    slowness: float = 1
    slowness_at: float = 0
    hold_s: float = 0
    held_until: float = 0
    progress_at: float = 0
    suspected_beat: int = 0
    unreached: bool = False
    health: Health = dataclasses.field(default_factory=_make_health)
    cold: ColdGate = dataclasses.field(default_factory=ColdGate)
    warm: 'collections.OrderedDict[str, float]' = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def load(self, now: float) -> float:
        """Return the estimated requests of all hosts at the upstream."""
        age_s = now - self.reported_at
        return self.in_flight + self.others * math.exp(-age_s / REPORT_DECAY_S)

    def slowness_now(self, now: float) -> float:
        """Return the slowness, closer to 1 the older the last sample."""
        kept = math.exp((self.slowness_at - now) / SLOWNESS_DECAY_S)
        return 1 + (self.slowness - 1) * kept

    def is_warm(self, object_key: str, now: float) -> bool:
        """Tell whether it has handled an object lately."""
        handled_at = self.warm.get(object_key)
        return handled_at is not None and now - handled_at < WARM_S

    def usable(self, now: float, *, idempotent: bool) -> bool:
        """Tell whether it may get a request now.

        :param idempotent: the request may be the probe of an upstream that
            has failed.
        """
        if now < self.held_until or not self.cold.admits(now):
            return False
        # Nothing of a request is sent when the connection fails again.
        harmless = idempotent or self.unreached
        return self.health.admits(now, idempotent=harmless)

    def stalled(self, now: float, work_s: float) -> bool:
        """Tell whether requests are in flight but none ends."""
        if not self.in_flight:
            return False
        return now - self.progress_at > max(STALL_S, STALL_FACTOR * work_s)

    def begin(self, now: float, object_key: str = '') -> None:
        """Note that a request is sent.

        Later requests for its object find the upstream warm, because they
        run after it.
        """
        if object_key:
            self._warm(object_key, now)
        if not self.in_flight:
            self.progress_at = now
        self.in_flight += 1
        self.cold.spend(now)
        self.health.begin()

    def finish(
        self,
        kind: ObservationKind,
        now: float,
        began_at: float = math.inf,
    ) -> None:
        """Note the end of a request.

        :param began_at: when it was sent; responses to other requests since
            then show that the upstream is not silent.
        """
        self.in_flight = max(self.in_flight - 1, 0)
        match kind:
            case ObservationKind.OK:
                self.progress_at = now
                self.hold_s = 0
                self.health.succeed()
            case ObservationKind.SHED:
                self.progress_at = now
                self.health.succeed()
                self._hold(now)
            case ObservationKind.CANCELLED:
                self.health.cancel()
            case ObservationKind.TIMEOUT if self.progress_at > began_at:
                self.health.cancel()
            case _:
                self.unreached = kind is ObservationKind.REFUSED
                self.health.fail(now, certain=self.unreached)

    def handled(
        self,
        object_key: str,
        latency_s: float,
        expected_s: float,
        now: float,
    ) -> None:
        """Learn from a response."""
        sample = latency_s / max(expected_s, 0.001)
        current = self.slowness_now(now)
        self.slowness = current + SLOWNESS_WEIGHT * (sample - current)
        self.slowness_at = now
        self._warm(object_key, now)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Learn the load of the other hosts from a response."""
        total = report.running + report.waiting
        others = max(total - self.in_flight, 0)
        age_s = now - self.reported_at
        known = self.others * math.exp(-age_s / REPORT_DECAY_S)
        self.others = known + REPORT_WEIGHT * (others - known)
        self.reported_at = now

    def restart(self, record: Upstream) -> None:
        """Start again with a new incarnation; what runs still counts."""
        self.record = record
        self.others = 0
        self.slowness = 1
        self.held_until = 0
        self.suspected_beat = 0
        self.health = _make_health()
        self.warm.clear()

    def _warm(self, object_key: str, now: float) -> None:
        self.warm[object_key] = now
        self.warm.move_to_end(object_key)
        if len(self.warm) > WARM_OBJECTS:
            self.warm.popitem(last=False)

    def _hold(self, now: float) -> None:
        if now >= self.held_until:
            doubled_s = max(FIRST_HOLD_S, 2 * self.hold_s)
            self.hold_s = min(doubled_s, LONGEST_HOLD_S)
        self.held_until = now + self.hold_s
