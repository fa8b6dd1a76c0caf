"""One entry host as seen from another one."""

import dataclasses
import math

from egretmill.wire.messages import Heartbeat, HostRecord, PeerState

__all__ = ('NEVER', 'PeerView', 'same_address')

NEVER = float('-inf')
SUSPECT_AFTER_MISSED = 3
SUSPECT_AFTER_S = 1.5


@dataclasses.dataclass(slots=True)
class PeerView:
    """What is known of one host.

    ``record`` is the address in use and ``listed`` the one of the list;
    they differ while a lagging list does not know of a replacement;
    ``alternate`` is the address used before. Facts come from the heartbeat
    whose request was sent last (``facts_at``). ``awake_at_answer`` is the
    awake time of the observer at the last answer. ``newer_heard`` says
    that the incarnation was announced by a request and has not answered.
    """

    record: HostRecord | None = None
    listed: HostRecord | None = None
    alternate: HostRecord | None = None
    incarnation: int = 0
    version: int = 0
    leaving: bool = False
    entry_ready: bool = False
    slot_index: int | None = None
    entry_incarnation: int = 0
    confirmed_at: float = NEVER
    facts_at: float = NEVER
    heard_at: float = NEVER
    awake_at_answer: float = NEVER
    missed: int = 0
    up: bool = False
    due_at: float = NEVER
    newer_heard: bool = False

    def restart(self, incarnation: int) -> None:
        """Forget the facts of an earlier incarnation."""
        self.incarnation = incarnation
        self.version = 0
        self.leaving = False
        self.entry_ready = False
        self.slot_index = None
        self.entry_incarnation = 0
        self.confirmed_at = NEVER
        self.facts_at = NEVER
        self.newer_heard = True
        self.due_at = NEVER

    def take_answer(
        self,
        heartbeat: Heartbeat,
        sent_at: float,
        awake_s: float,
    ) -> None:
        """Learn from the answer to a request that was sent at a time."""
        self.newer_heard = False
        self.missed = 0
        self.awake_at_answer = awake_s
        self.version = max(self.version, heartbeat.version)
        if sent_at < self.facts_at:
            return
        self.facts_at = sent_at
        self.leaving = heartbeat.leaving
        self.entry_ready = heartbeat.entry_ready
        self.slot_index = heartbeat.slot_index
        self.entry_incarnation = heartbeat.entry_incarnation
        self.confirmed_at = sent_at - heartbeat.confirmation_age_s

    def take_request(self, heartbeat: Heartbeat) -> None:
        """Learn from a heartbeat that came as a request.

        It may have waited for long, so only the version is taken, which
        never falls, and ``leaving``, which is the safe side until the next
        answer.
        """
        self.version = max(self.version, heartbeat.version)
        if heartbeat.leaving:
            self.leaving = True
        if self.newer_heard:
            self.slot_index = heartbeat.slot_index

    def move(self, record: HostRecord) -> None:
        """Use another address; nothing has answered there yet."""
        self.alternate = self.record
        self.record = record
        self.awake_at_answer = NEVER
        self.missed = 0
        self.due_at = NEVER

    def other_address(self) -> HostRecord | None:
        """Return another address at which a silent host may be.

        Either the list or the address used before can be out of date, so
        a silent host is looked for at both in turn.
        """
        for other in (self.listed, self.alternate):
            if other and not same_address(other, self.record):
                return other
        return None

    def is_reachable(self, awake_s: float) -> bool:
        """Tell whether the host answers heartbeats.

        :param awake_s: awake time of the observer.
        """
        if self.newer_heard or self.missed >= SUSPECT_AFTER_MISSED:
            return False
        return awake_s - self.awake_at_answer <= SUSPECT_AFTER_S

    def state(self, awake_s: float, now: float) -> PeerState:
        """Return what is known as a part of a message."""
        age_s = now - self.confirmed_at
        return PeerState(
            host=self.record,
            incarnation=self.incarnation,
            version=self.version,
            reachable=self.is_reachable(awake_s),
            leaving=self.leaving or self.record.state == 'leaving',
            entry_ready=self.entry_ready,
            slot_index=self.slot_index,
            entry_incarnation=self.entry_incarnation,
            confirmation_age_s=age_s if math.isfinite(age_s) else None,
        )


def same_address(first: HostRecord, second: HostRecord) -> bool:
    """Tell whether two entries of the list name the same agent."""
    return (first.address, first.agent_port) == (
        second.address,
        second.agent_port,
    )
