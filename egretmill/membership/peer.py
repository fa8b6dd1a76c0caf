"""State of one entry host as another host knows it."""

import dataclasses
import math

from egretmill.wire.messages import Heartbeat, HostRecord, PeerState

__all__ = ('NEVER', 'PeerView', 'has_same_agent_address')

NEVER = float('-inf')
SUSPECT_AFTER_MISSED = 3
SUSPECT_AFTER_S = 1.5


@dataclasses.dataclass(slots=True)
class PeerView:
    """What is known of one host.

    ``record`` has the address in use and ``listed_record`` the one in the
    host list; they differ while a stale list does not show a replacement.
    ``previous_record`` has the address used before. The state comes from
    the answer whose request was sent last (``answer_sent_at``).
    ``running_s_at_answer`` is the running time of the observer at the last
    answer. ``is_incarnation_unverified`` means that the incarnation is known
    from a request only and has not answered yet. ``was_reachable`` is the
    reachability that was reported last.
    """

    record: HostRecord | None = None
    listed_record: HostRecord | None = None
    previous_record: HostRecord | None = None
    incarnation: int = 0
    version: int = 0
    leaving: bool = False
    entry_ready: bool = False
    slot_index: int | None = None
    entry_incarnation: int = 0
    confirmed_at: float = NEVER
    answer_sent_at: float = NEVER
    last_heartbeat_at: float = NEVER
    running_s_at_answer: float = NEVER
    missed_heartbeats: int = 0
    was_reachable: bool = False
    heartbeat_due_at: float = NEVER
    is_incarnation_unverified: bool = False

    def start_incarnation(self, incarnation: int) -> None:
        """Switch to a new incarnation; drop the state of the earlier one."""
        self.incarnation = incarnation
        self.version = 0
        self.leaving = False
        self.entry_ready = False
        self.slot_index = None
        self.entry_incarnation = 0
        self.confirmed_at = NEVER
        self.answer_sent_at = NEVER
        self.is_incarnation_unverified = True
        self.heartbeat_due_at = NEVER

    def apply_answer(
        self,
        heartbeat: Heartbeat,
        sent_at: float,
        running_s: float,
    ) -> None:
        """Update the state from the answer to a request."""
        self.is_incarnation_unverified = False
        self.missed_heartbeats = 0
        self.running_s_at_answer = running_s
        self.version = max(self.version, heartbeat.version)
        if sent_at < self.answer_sent_at:
            return
        self.answer_sent_at = sent_at
        self.leaving = heartbeat.leaving
        self.entry_ready = heartbeat.entry_ready
        self.slot_index = heartbeat.slot_index
        self.entry_incarnation = heartbeat.entry_incarnation
        self.confirmed_at = sent_at - heartbeat.confirmation_age_s

    def apply_request(self, heartbeat: Heartbeat) -> None:
        """Update the state from a heartbeat that came as a request.

        It may have been delayed for long, so it sets only the version, which
        never falls, and ``leaving``, because it is safe to treat the host as
        leaving until its next answer.
        """
        self.version = max(self.version, heartbeat.version)
        if heartbeat.leaving:
            self.leaving = True
        if self.is_incarnation_unverified:
            self.slot_index = heartbeat.slot_index

    def change_address(self, record: HostRecord) -> None:
        """Switch to another address, where the host has not answered yet."""
        self.previous_record = self.record
        self.record = record
        self.running_s_at_answer = NEVER
        self.missed_heartbeats = 0
        self.heartbeat_due_at = NEVER

    def alternative_record(self) -> HostRecord | None:
        """Return another address at which the host may be.

        Both the list and the previous address can be out of date, so an
        unreachable host is tried at both in turn.
        """
        for candidate in (self.listed_record, self.previous_record):
            if candidate and not has_same_agent_address(candidate, self.record):
                return candidate
        return None

    def is_reachable(self, running_s: float) -> bool:
        """Return whether the host answers heartbeats.

        :param running_s: running time of the observer, see ``Peers``.
        """
        if (
            self.is_incarnation_unverified
            or self.missed_heartbeats >= SUSPECT_AFTER_MISSED
        ):
            return False
        return running_s - self.running_s_at_answer <= SUSPECT_AFTER_S

    def to_peer_state(self, running_s: float, now: float) -> PeerState:
        """Return the state in its message form."""
        age_s = now - self.confirmed_at
        return PeerState(
            host=self.record,
            incarnation=self.incarnation,
            version=self.version,
            reachable=self.is_reachable(running_s),
            leaving=self.leaving or self.record.state == 'leaving',
            entry_ready=self.entry_ready,
            slot_index=self.slot_index,
            entry_incarnation=self.entry_incarnation,
            confirmation_age_s=age_s if math.isfinite(age_s) else None,
        )


def has_same_agent_address(first: HostRecord, second: HostRecord) -> bool:
    """Return whether two records have the same address of the agent."""
    return (first.address, first.agent_port) == (
        second.address,
        second.agent_port,
    )
