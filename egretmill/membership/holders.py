"""Who holds the share slots, and which version each holder may apply."""

import dataclasses
from collections.abc import Iterator, Mapping

from egretmill.wire.messages import Heartbeat

__all__ = ('Holder', 'Holders')

LEASE_S = 4200.0
# Holders measure their lease on their own clock; rates of two clocks
# differ by less than this.
CLOCK_RATE_MARGIN = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The last known holder of one share slot.

    ``until`` is the latest end of its lease on the own clock, and
    ``known_at`` the time for which the statement held.
    """

    host: str
    incarnation: int
    version: int
    known_at: float
    until: float


class Holders:
    """Share slots of the fleet by index, as far as they are known."""

    def __init__(self, own_name: str, lease_s: float = LEASE_S) -> None:
        """Know no holder.

        :param lease_s: duration of the leases of the document in force.
        """
        self.own_name = own_name
        self.lease_s = lease_s
        self.slots: dict[int, Holder] = {}
        self.free_at: dict[int, float] = {}

    def heard(self, heartbeat: Heartbeat, at: float) -> None:
        """Learn from a heartbeat which slot a host holds.

        :param at: a time at which the host's statement held; its lease may
            have been renewed just then.
        """
        index = heartbeat.slot_index
        if index is None:
            return
        holder = Holder(
            heartbeat.host,
            heartbeat.incarnation,
            heartbeat.version,
            at,
            self.lease_end(at),
        )
        before = self.slots.get(index)
        if before is not None and before.host == holder.host:
            holder = newest(before, holder)
        elif before is not None and before.known_at > at:
            return
        self.slots[index] = holder

    def rows_read(
        self,
        holders: Mapping[int, str | None],
        read_at: float,
    ) -> None:
        """Learn from the platform's rows who holds which slots.

        :param holders: slot index to host name, ``None`` for a free slot.
        :param read_at: when the read was sent. What was heard later than
            that stays.
        """
        for index, host in holders.items():
            before = self.slots.get(index)
            if before is None or before.known_at <= read_at:
                self.take_row(index, host, read_at)

    def take_row(self, index: int, host: str | None, read_at: float) -> None:
        """Take over one slot of the platform's rows."""
        before = self.slots.get(index)
        if host is None:
            self.slots.pop(index, None)
            self.free_at[index] = read_at
        elif before is None or before.host != host:
            until = self.lease_end(read_at)
            self.slots[index] = Holder(host, 0, 0, read_at, until)

    def lease_end(self, at: float) -> float:
        """Return the latest end of a lease renewed at a time."""
        return at + self.lease_s * (1 + CLOCK_RATE_MARGIN)

    def others(self, now: float) -> Iterator[Holder]:
        """Yield the holders other than this host whose lease may run."""
        for holder in self.slots.values():
            if holder.until > now and holder.host != self.own_name:
                yield holder

    def unseen(self, total: int) -> bool:
        """Tell whether some slot is neither held nor known to be free."""
        return any(
            index not in self.slots and index not in self.free_at
            for index in range(total)
        )


def newest(before: Holder, after: Holder) -> Holder:
    """Join two statements about the same slot of the same host.

    A late message of an earlier incarnation changes nothing. Within one
    incarnation the version never falls.
    """
    if after.incarnation < before.incarnation:
        return before
    if after.incarnation > before.incarnation:
        return after
    return dataclasses.replace(
        after,
        version=max(before.version, after.version),
        known_at=max(before.known_at, after.known_at),
        until=max(before.until, after.until),
    )
