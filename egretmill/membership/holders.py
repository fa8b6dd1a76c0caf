"""Which hosts hold share slots, and which version each of them may apply."""

import dataclasses
from collections.abc import Iterator, Mapping

from egretmill.wire.messages import Heartbeat

__all__ = ('SlotHolder', 'SlotHolders')

LEASE_S = 4200.0
# Holders measure their lease by their own clock; the rates of two clocks
# differ by less than this fraction.
CLOCK_RATE_MARGIN = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class SlotHolder:
    """The last known holder of one share slot.

    ``lease_until`` is the latest end of its lease by this host's clock, and
    ``as_of`` the time at which it was known to hold the slot.
    """

    host: str
    incarnation: int
    version: int
    as_of: float
    lease_until: float


class SlotHolders:
    """Known holders of the fleet's share slots, by slot index."""

    def __init__(self, own_name: str, lease_s: float = LEASE_S) -> None:
        """Start without any known holder.

        :param lease_s: lease duration in the document in force.
        """
        self.own_name = own_name
        self.lease_s = lease_s
        self.slots: dict[int, SlotHolder] = {}
        self.free_as_of: dict[int, float] = {}

    def receive_heartbeat(self, heartbeat: Heartbeat, at: float) -> None:
        """Record the slot that a host reports in a heartbeat.

        :param at: a time at which the report was true; the lease may have
            been renewed just then.
        """
        index = heartbeat.slot_index
        if index is None:
            return
        holder = SlotHolder(
            heartbeat.host,
            heartbeat.incarnation,
            heartbeat.version,
            at,
            self.latest_lease_end(at),
        )
        previous = self.slots.get(index)
        if previous is not None and previous.host == holder.host:
            holder = merge_reports(previous, holder)
        elif previous is not None and previous.as_of > at:
            return
        self.slots[index] = holder

    def record_rows(
        self,
        holders: Mapping[int, str | None],
        read_at: float,
    ) -> None:
        """Record the holders that the platform's rows name.

        :param holders: slot index to host name, ``None`` for a free slot.
        :param read_at: when the read was sent. Newer information from
            heartbeats takes precedence.
        """
        for index, host in holders.items():
            previous = self.slots.get(index)
            if previous is None or previous.as_of <= read_at:
                self.apply_row(index, host, read_at)

    def apply_row(self, index: int, host: str | None, read_at: float) -> None:
        """Record one slot of the platform's rows."""
        previous = self.slots.get(index)
        if host is None:
            self.slots.pop(index, None)
            self.free_as_of[index] = read_at
        elif previous is None or previous.host != host:
            lease_until = self.latest_lease_end(read_at)
            self.slots[index] = SlotHolder(host, 0, 0, read_at, lease_until)

    def latest_lease_end(self, at: float) -> float:
        """Return the latest end of a lease renewed at ``at``."""
        return at + self.lease_s * (1 + CLOCK_RATE_MARGIN)

    def other_holders(self, now: float) -> Iterator[SlotHolder]:
        """Yield the other hosts whose lease may still be in force."""
        for holder in self.slots.values():
            if holder.lease_until > now and holder.host != self.own_name:
                yield holder

    def has_unknown_slot(self, total_slots: int) -> bool:
        """Return whether some slot is neither held nor known to be free."""
        return any(
            index not in self.slots and index not in self.free_as_of
            for index in range(total_slots)
        )


def merge_reports(previous: SlotHolder, reported: SlotHolder) -> SlotHolder:
    """Merge two reports about the same slot of the same host.

    A delayed message of an earlier incarnation changes nothing. Within one
    incarnation the version never falls.
    """
    if reported.incarnation < previous.incarnation:
        return previous
    if reported.incarnation > previous.incarnation:
        return reported
    return dataclasses.replace(
        reported,
        version=max(previous.version, reported.version),
        as_of=max(previous.as_of, reported.as_of),
        lease_until=max(previous.lease_until, reported.lease_until),
    )
