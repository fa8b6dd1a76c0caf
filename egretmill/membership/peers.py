"""Which entry hosts exist, answer, leave and were restarted.

Two sources are combined: the platform's host list says who should exist,
and the answers to own heartbeats say who is there. The list lags, so a
host that answers is kept when the list drops it, and a host that is
silent is not believed in because the list names it.
"""

import dataclasses
from collections.abc import Iterator

from egretmill.events import CATALOGUE, Event
from egretmill.membership.peer import PeerView, same_address
from egretmill.wire.messages import Heartbeat, HostRecord, PeerState

__all__ = ('PeerChange', 'Peers')

HEARTBEAT_S = 0.5
# The longest step of the clock that counts as waiting for an answer. A
# longer one means that this process was paused, and what peers did not
# answer while nobody read their answers says nothing about them.
LONGEST_STEP_S = 0.5
# The longest share slot lease. A host that the list has dropped is probed
# and remembered as a holder until no lease of it can be in force.
FORGET_AFTER_S = 4200.0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChange:
    """A change of a peer, to be logged as ``event``."""

    event: Event
    host: str
    incarnation: int
    reason: str


class Peers:
    """Aggregate of all entry hosts as seen from one host.

    Times are readings of the monotonic clock in seconds. The owner calls
    some method at least every 0.5 s; see ``LONGEST_STEP_S``.
    """

    def __init__(
        self,
        own_name: str,
        heartbeat_s: float = HEARTBEAT_S,
        forget_after_s: float = FORGET_AFTER_S,
    ) -> None:
        """Know only the own name.

        :param heartbeat_s: interval of the heartbeats to each peer.
        :param forget_after_s: at least the longest share slot lease.
        """
        self.own_name = own_name
        self.heartbeat_s = heartbeat_s
        self.forget_after_s = forget_after_s
        self.known: dict[str, PeerView] = {}
        self.awake_s = 0.0
        self.last_at: float | None = None

    def apply_host_list(
        self,
        hosts: tuple[HostRecord, ...],
        now: float,
    ) -> tuple[PeerChange, ...]:
        """Take over the platform's host list, which may be stale."""
        self.advance(now)
        listed = {record.name: record for record in hosts}
        for record in hosts:
            self.list_host(record)
        for name, known in self.known.items():
            if name not in listed:
                known.listed = None
        self.forget(now)
        return tuple(self.changes())

    def report_own(
        self,
        record: HostRecord,
        heartbeat: Heartbeat,
        now: float,
    ) -> None:
        """Enter this host itself, so that :meth:`states` names it."""
        self.advance(now)
        own = self.known.setdefault(self.own_name, PeerView())
        own.record = record
        own.heard_at = now
        if heartbeat.incarnation > own.incarnation:
            own.restart(heartbeat.incarnation)
        own.take_answer(heartbeat, now, self.awake_s)

    def heard(
        self,
        heartbeat: Heartbeat,
        sent_at: float | None,
        now: float,
        asked: str | None = None,
    ) -> tuple[PeerChange, ...]:
        """Take over a heartbeat.

        :param sent_at: when the own request was sent that this heartbeat
            answers; ``None`` for a heartbeat that came as a request, which
            does not show that the peer can be reached.
        :param asked: the host that was asked; another one that answers at
            its address does not count for it. What is said in the own name
            is ignored; see :meth:`report_own`.
        """
        self.advance(now)
        host = heartbeat.host
        if asked not in {None, host}:
            self.miss(asked)
            sent_at = None
        if host == self.own_name:
            return tuple(self.changes(asked or host))
        known = self.known.setdefault(host, PeerView())
        restarted: tuple[PeerChange, ...] = ()
        if heartbeat.incarnation > known.incarnation:
            restarted = restart(known, heartbeat)
        if heartbeat.incarnation == known.incarnation:
            known.heard_at = now
            if sent_at is None:
                known.take_request(heartbeat)
            else:
                known.take_answer(heartbeat, sent_at, self.awake_s)
        return (*restarted, *self.changes(host, asked or host))

    def missed(self, host: str, now: float) -> tuple[PeerChange, ...]:
        """Note that a heartbeat got no answer within its deadline."""
        self.advance(now)
        self.miss(host)
        return tuple(self.changes(host))

    def check(self, now: float) -> tuple[PeerChange, ...]:
        """Return the changes that are due to the time that passed."""
        self.advance(now)
        return tuple(self.changes())

    def states(self, now: float) -> tuple[PeerState, ...]:
        """Return all hosts with a known address, in order of names."""
        self.advance(now)
        return tuple(
            self.known[name].state(self.awake_s, now)
            for name in sorted(self.known)
            if self.known[name].record is not None
        )

    def to_heartbeat(self, now: float) -> list[str]:
        """Return the hosts whose heartbeat is due and schedule the next.

        The caller sends each to the address of :meth:`record` and reports
        the answer with :meth:`heard` or its lack with :meth:`missed`.
        """
        self.advance(now)
        due = [
            name
            for name, known in self.known.items()
            if known.record and known.due_at <= now and name != self.own_name
        ]
        for name in due:
            self.known[name].due_at = now + self.heartbeat_s
        return due

    def record(self, host: str) -> HostRecord | None:
        """Return where a host is to be asked now."""
        known = self.known.get(host)
        return known.record if known else None

    def is_live(self, host: str, incarnation: int, now: float) -> bool | None:
        """Tell whether one incarnation of a host still runs.

        ``False`` only when a higher incarnation was heard of: silence does
        not tell a dead process from one that is paused or cut off, and
        then the answer is ``None``.
        """
        self.advance(now)
        known = self.known.get(host)
        if known is None or known.incarnation < incarnation:
            return None
        if known.incarnation > incarnation:
            return False
        return True if known.is_reachable(self.awake_s) else None

    def advance(self, now: float) -> None:
        """Add the time since the last call to the awake time."""
        if self.last_at is None:
            self.last_at = now
        step = now - self.last_at
        if step > 0:
            self.awake_s += min(step, LONGEST_STEP_S)
            self.last_at = now

    def list_host(self, record: HostRecord) -> None:
        """Take over one entry of the host list.

        A host that answers keeps the address at which it answers. One
        whose newer incarnation was heard of does not count as answering.
        """
        known = self.known.setdefault(record.name, PeerView())
        listed = known.listed
        known.listed = record
        if known.record is None or same_address(known.record, record):
            known.record = record
        elif listed is None or not same_address(listed, record):
            if not known.is_reachable(self.awake_s):
                known.move(record)

    def miss(self, host: str) -> None:
        """Count a missed heartbeat; look elsewhere for a silent host."""
        known = self.known.get(host)
        if known is None or known.record is None:
            return
        known.missed += 1
        other = known.other_address()
        if other and not known.is_reachable(self.awake_s):
            known.move(other)

    def changes(self, *hosts: str) -> Iterator[PeerChange]:
        """Yield the hosts whose reachability changed since the last call.

        :param hosts: only these; a heartbeat must not cost a pass over a
            fleet of 870 hosts. All when empty.
        """
        for name in hosts or self.known:
            known = self.known.get(name)
            if known is None or name == self.own_name:
                continue
            reachable = known.is_reachable(self.awake_s)
            if reachable != known.up:
                known.up = reachable
                yield change_of(name, known)

    def forget(self, now: float) -> None:
        """Drop hosts that are neither listed nor heard of for a lease."""
        gone = [
            name
            for name, known in self.known.items()
            if known.listed is None
            and name != self.own_name
            and known.heard_at + self.forget_after_s < now
        ]
        for name in gone:
            self.known.pop(name)


def change_of(host: str, known: PeerView) -> PeerChange:
    """Return the change to what is known of a host now."""
    if known.up:
        event, reason = CATALOGUE.PEER_UP, 'answers'
    else:
        event, reason = CATALOGUE.PEER_DOWN, f'missed {known.missed}'
    return PeerChange(event, host, known.incarnation, reason)


def restart(known: PeerView, heartbeat: Heartbeat) -> tuple[PeerChange, ...]:
    """Move to a higher incarnation; the first one is no restart."""
    earlier = known.incarnation
    known.restart(heartbeat.incarnation)
    if not earlier:
        return ()
    change = PeerChange(
        CATALOGUE.PEER_RESTARTED,
        heartbeat.host,
        heartbeat.incarnation,
        f'was incarnation {earlier}',
    )
    return (change,)
