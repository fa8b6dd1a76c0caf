"""Failure detection: which entry hosts exist, answer, leave or restarted.

Two sources are combined: the platform's host list names the hosts that
should exist, and the answers to this host's heartbeats show which of them
are reachable. The list can be stale, so a host that answers is kept when the
list drops it, and a listed host that does not answer is not reachable.
"""

import dataclasses
from collections.abc import Iterator

from egretmill.events import CATALOGUE, Event
from egretmill.membership.peer import PeerView, has_same_agent_address
from egretmill.wire.messages import Heartbeat, HostRecord, PeerState

__all__ = ('PeerChange', 'Peers')

HEARTBEAT_S = 0.5
# The longest time between two calls that counts as waiting for answers. A
# longer gap means that this process was paused; answers that it did not read
# in that time say nothing about the peers.
MAX_CLOCK_STEP_S = 0.5
# The longest share slot lease. A host that the list has dropped is probed
# and kept as a possible holder until its lease must have ended.
FORGET_AFTER_S = 4200.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChange:
    """A change of a peer, to be logged as ``event``."""

    event: Event
    host: str
    incarnation: int
    reason: str


class Peers:
    """All entry hosts as known to one host.

    Times are readings of the monotonic clock in seconds. ``running_s`` is
    the time for which this process has run, without pauses. It is measured
    from call to call, so some method must be called at least every 0.5 s;
    see ``MAX_CLOCK_STEP_S``.
    """

    def __init__(
        self,
        own_name: str,
        heartbeat_s: float = HEARTBEAT_S,
        forget_after_s: float = FORGET_AFTER_S,
    ) -> None:
        """Start without any known host.

        :param heartbeat_s: interval of the heartbeats to each peer.
        :param forget_after_s: at least the longest share slot lease.
        """
        self.own_name = own_name
        self.heartbeat_s = heartbeat_s
        self.forget_after_s = forget_after_s
        self.views: dict[str, PeerView] = {}
        self.running_s = 0.0
        self.last_call_at: float | None = None

    def apply_host_list(
        self,
        hosts: tuple[HostRecord, ...],
        now: float,
    ) -> tuple[PeerChange, ...]:
        """Apply the platform's host list, which may be stale."""
        self.advance_clock(now)
        listed = {record.name: record for record in hosts}
        for record in hosts:
            self.apply_listed_host(record)
        for name, view in self.views.items():
            if name not in listed:
                view.listed_record = None
        self.drop_expired_hosts(now)
        return tuple(self.reachability_changes())

    def update_own_state(
        self,
        record: HostRecord,
        heartbeat: Heartbeat,
        now: float,
    ) -> None:
        """Update the state of this host, which :meth:`states` includes."""
        self.advance_clock(now)
        own_view = self.views.setdefault(self.own_name, PeerView())
        own_view.record = record
        own_view.last_heartbeat_at = now
        if heartbeat.incarnation > own_view.incarnation:
            own_view.start_incarnation(heartbeat.incarnation)
        own_view.apply_answer(heartbeat, now, self.running_s)

    def receive_heartbeat(
        self,
        heartbeat: Heartbeat,
        sent_at: float | None,
        now: float,
        requested_host: str | None = None,
    ) -> tuple[PeerChange, ...]:
        """Process a heartbeat.

        A heartbeat that carries the name of this host is ignored; see
        :meth:`update_own_state`.

        :param sent_at: when this host sent the request that the heartbeat
            answers; ``None`` for a heartbeat that came as a request, which
            does not show that the peer is reachable.
        :param requested_host: the host to which the request was sent. An
            answer of another host at its address counts as a miss.
        """
        self.advance_clock(now)
        host = heartbeat.host
        if requested_host not in {None, host}:
            self.count_missed_heartbeat(requested_host)
            sent_at = None
        if host == self.own_name:
            return tuple(self.reachability_changes(requested_host or host))
        view = self.views.setdefault(host, PeerView())
        restarted: tuple[PeerChange, ...] = ()
        if heartbeat.incarnation > view.incarnation:
            restarted = start_incarnation(view, heartbeat)
        if heartbeat.incarnation == view.incarnation:
            view.last_heartbeat_at = now
            if sent_at is None:
                view.apply_request(heartbeat)
            else:
                view.apply_answer(heartbeat, sent_at, self.running_s)
        return (
            *restarted,
            *self.reachability_changes(host, requested_host or host),
        )

    def record_missed_heartbeat(
        self, host: str, now: float
    ) -> tuple[PeerChange, ...]:
        """Record that a heartbeat got no answer within its deadline."""
        self.advance_clock(now)
        self.count_missed_heartbeat(host)
        return tuple(self.reachability_changes(host))

    def check_timeouts(self, now: float) -> tuple[PeerChange, ...]:
        """Return the changes that the passing of time has caused."""
        self.advance_clock(now)
        return tuple(self.reachability_changes())

    def states(self, now: float) -> tuple[PeerState, ...]:
        """Return all hosts with a known address, ordered by name."""
        self.advance_clock(now)
        return tuple(
            self.views[name].to_peer_state(self.running_s, now)
            for name in sorted(self.views)
            if self.views[name].record is not None
        )

    def schedule_heartbeats(self, now: float) -> list[str]:
        """Return the hosts whose heartbeat is due and schedule the next.

        The caller sends each heartbeat to the address of
        :meth:`host_record` and reports the answer to
        :meth:`receive_heartbeat` or a timeout to
        :meth:`record_missed_heartbeat`.
        """
        self.advance_clock(now)
        due = [
            name
            for name, view in self.views.items()
            if view.record
            and view.heartbeat_due_at <= now
            and name != self.own_name
        ]
        for name in due:
            self.views[name].heartbeat_due_at = now + self.heartbeat_s
        return due

    def host_record(self, host: str) -> HostRecord | None:
        """Return the record with the address to contact a host at."""
        view = self.views.get(host)
        return view.record if view else None

    def is_live(self, host: str, incarnation: int, now: float) -> bool | None:
        """Return whether one incarnation of a host still runs.

        ``False`` only if a higher incarnation is known. ``None`` means
        unknown: a missing answer does not distinguish a dead process from
        one that is paused or cut off from the network.
        """
        self.advance_clock(now)
        view = self.views.get(host)
        if view is None or view.incarnation < incarnation:
            return None
        if view.incarnation > incarnation:
            return False
        return True if view.is_reachable(self.running_s) else None

    def advance_clock(self, now: float) -> None:
        """Add the time since the last call to the running time."""
        if self.last_call_at is None:
            self.last_call_at = now
        step_s = now - self.last_call_at
        if step_s > 0:
            self.running_s += min(step_s, MAX_CLOCK_STEP_S)
            self.last_call_at = now

    def apply_listed_host(self, record: HostRecord) -> None:
        """Apply one entry of the host list.

        A reachable host keeps the address at which it answers. A host whose
        newer incarnation has not answered yet is not reachable.
        """
        view = self.views.setdefault(record.name, PeerView())
        listed = view.listed_record
        view.listed_record = record
        if view.record is None or has_same_agent_address(view.record, record):
            view.record = record
        elif listed is None or not has_same_agent_address(listed, record):
            if not view.is_reachable(self.running_s):
                view.change_address(record)

    def count_missed_heartbeat(self, host: str) -> None:
        """Count a missed heartbeat; try another address if unreachable."""
        view = self.views.get(host)
        if view is None or view.record is None:
            return
        view.missed_heartbeats += 1
        alternative = view.alternative_record()
        if alternative and not view.is_reachable(self.running_s):
            view.change_address(alternative)

    def reachability_changes(self, *hosts: str) -> Iterator[PeerChange]:
        """Yield the hosts whose reachability changed since the last call.

        :param hosts: the hosts to check, all when empty. A heartbeat checks
            only its sender, not a fleet of 870 hosts.
        """
        for name in hosts or self.views:
            view = self.views.get(name)
            if view is None or name == self.own_name:
                continue
            reachable = view.is_reachable(self.running_s)
            if reachable != view.was_reachable:
                view.was_reachable = reachable
                yield reachability_change(name, view)

    def drop_expired_hosts(self, now: float) -> None:
        """Drop unlisted hosts without a heartbeat for the longest lease."""
        expired = [
            name
            for name, view in self.views.items()
            if view.listed_record is None
            and name != self.own_name
            and view.last_heartbeat_at + self.forget_after_s < now
        ]
        for name in expired:
            self.views.pop(name)


def reachability_change(host: str, view: PeerView) -> PeerChange:
    """Return the change to the present reachability of a host."""
    if view.was_reachable:
        event, reason = CATALOGUE.PEER_UP, 'answers'
    else:
        event, reason = CATALOGUE.PEER_DOWN, f'missed {view.missed_heartbeats}'
    return PeerChange(event, host, view.incarnation, reason)


def start_incarnation(
    view: PeerView, heartbeat: Heartbeat
) -> tuple[PeerChange, ...]:
    """Switch to a higher incarnation; the first one is no restart."""
    earlier_incarnation = view.incarnation
    view.start_incarnation(heartbeat.incarnation)
    if not earlier_incarnation:
        return ()
    change = PeerChange(
        CATALOGUE.PEER_RESTARTED,
        heartbeat.host,
        heartbeat.incarnation,
        f'was incarnation {earlier_incarnation}',
    )
    return (change,)
