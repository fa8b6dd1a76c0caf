"""Row ``shares/<failure domain>``: which host holds which share slot.

A slot that is not in the row is free. The holder counts its lease from
before it sent the renewal. Another host takes the slot over only after it
has seen the slot unchanged for the holder's lease plus a margin, measured
by its own monotonic clock from after it read the row. The takeover compares
the version of the row, so a renewal that arrives first wins.
"""

import dataclasses
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.document.model import Document
from egretmill.errors import ErrorKind, Failure

__all__ = (
    'Holder',
    'SlotObservations',
    'Slot',
    'SlotLayout',
    'SlotRow',
    'decode_row',
    'encode_row',
    'layout_for_domain',
    'choose_slot',
    'row_key',
)

# The clocks of two hosts differ in rate by less than a thousandth; the fixed
# margin covers the time between reading a clock and using its value.
CLOCK_RATE_MARGIN = 0.001
TAKEOVER_MARGIN_S = 1.0


class Slot(msgspec.Struct, frozen=True):
    """A held slot; ``index`` counts within the failure domain.

    ``renewal`` rises with each write of the holder. ``attempt_id``
    identifies the last write. ``lease_s`` is the lease duration that the
    holder uses, which may differ from that in another host's document.
    """

    index: int
    holder: str = ''
    address: str = ''
    incarnation: int = 0
    renewal: int = 0
    lease_s: float = 0.0
    attempt_id: str = ''

    def takeover_wait_s(self) -> float:
        """Return how long the slot must be unchanged before a takeover."""
        return self.lease_s * (1 + CLOCK_RATE_MARGIN) + TAKEOVER_MARGIN_S


class SlotRow(msgspec.Struct, frozen=True):
    """Body of the row: the held slots, by index."""

    slots: tuple[Slot, ...] = ()

    def slot_of(self, holder: 'Holder') -> Slot | None:
        """Return the slot that a host holds, ``None`` without one."""
        held = (slot for slot in self.slots if holder.holds(slot))
        return next(held, None)

    def slot_at(self, index: int) -> Slot | None:
        """Return the slot with an index, ``None`` when it is free."""
        found = (slot for slot in self.slots if slot.index == index)
        return next(found, None)

    def with_slot(self, slot: Slot) -> 'SlotRow':
        """Return the row with a slot added or replaced."""
        others = [row for row in self.slots if row.index != slot.index]
        ordered = sorted([*others, slot], key=lambda row: row.index)
        return SlotRow(tuple(ordered))

    def without(self, freed: Iterable[Slot]) -> 'SlotRow':
        """Return the row without some slots, which become free."""
        freed_indexes = {slot.index for slot in freed}
        kept = [row for row in self.slots if row.index not in freed_indexes]
        return SlotRow(tuple(kept))

    def without_host(self, host: str) -> 'SlotRow':
        """Return the row without the slots of a host.

        Only an operator requests this, who must know that the host has
        stopped for good.
        """
        return self.without(row for row in self.slots if row.holder == host)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A host that holds a slot or wants to hold one."""

    name: str
    address: str
    incarnation: int

    def holds(self, slot: Slot) -> bool:
        """Return whether this incarnation of the host holds a slot."""
        owner = (slot.holder, slot.address, slot.incarnation)
        return owner == (self.name, self.address, self.incarnation)

    def is_successor_of(self, slot: Slot) -> bool:
        """Return whether the slot belongs to an earlier run at this address.

        The host listens on its port before it reads the row, so the earlier
        process has ended. Only a lower incarnation counts as earlier, so
        that two hosts with the same address by mistake do not take the slot
        from each other for ever.
        """
        is_earlier = slot.incarnation < self.incarnation
        return is_earlier and slot.address == self.address


@dataclasses.dataclass(frozen=True, slots=True)
class SlotLayout:
    """Range of the share slots of one failure domain.

    :param first: fleet-wide index of the first slot.
    :param count: number of slots of the failure domain.
    :param total: number of slots of the whole fleet.
    """

    domain: str
    first: int
    count: int
    total: int


class SlotObservations:
    """Records since when each slot of a row has been unchanged.

    Times are read from the observer's monotonic clock after the answer with
    the row has arrived.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.last_changes: dict[int, tuple[Slot, float]] = {}

    def observe(self, row: SlotRow, now: float) -> None:
        """Record a row that was read; the wait for a changed slot restarts."""
        previous = self.last_changes
        self.last_changes = {}
        for slot in row.slots:
            seen_slot, since = previous.get(slot.index, (None, now))
            self.last_changes[slot.index] = (
                slot,
                since if seen_slot == slot else now,
            )

    def is_expired(self, slot: Slot, now: float) -> bool:
        """Return whether the lease of a slot has surely ended."""
        seen_slot, since = self.last_changes.get(slot.index, (None, now))
        return seen_slot == slot and now - since >= slot.takeover_wait_s()


def choose_slot(
    row: SlotRow,
    holder: Holder,
    layout: SlotLayout,
    observations: SlotObservations,
    now: float,
) -> tuple[Slot | None, str]:
    """Choose the slot that a host may write next.

    Returns the slot as it is now (a blank one for a free index) and the
    reason. ``None`` means that no slot is available yet.
    """
    own_slot = row.slot_of(holder)
    if own_slot is not None and own_slot.index < layout.count:
        return own_slot, 'renew'
    usable = [slot for slot in row.slots if slot.index < layout.count]
    succeeded = [slot for slot in usable if holder.is_successor_of(slot)]
    free = [
        Slot(index) for index in range(layout.count) if not row.slot_at(index)
    ]
    expired = [slot for slot in usable if observations.is_expired(slot, now)]
    if succeeded:
        return succeeded[0], 'same_address'
    if free:
        return free[0], 'free'
    return (expired[0], 'expired') if expired else (None, 'waiting')


def layout_for_domain(document: Document, domain: str) -> SlotLayout:
    """Return the slot range of a failure domain.

    Indexes count in the order of the failure domains in the document.
    """
    first = 0
    count = 0
    total = 0
    for row in document.failure_domains:
        if row.name == domain:
            first = total
            count = row.share_slots
        total += row.share_slots
    return SlotLayout(domain, first, count, total)


def row_key(domain: str) -> str:
    """Return the key of the row of a failure domain."""
    return f'shares/{domain}'


def encode_row(row: SlotRow) -> str:
    """Return the body of a row."""
    return msgspec.json.encode(row).decode()


def decode_row(body: str) -> Result[SlotRow, Failure]:
    """Decode the body of a row; a malformed one is ``internal``."""
    try:
        return Ok(msgspec.json.decode(body, type=SlotRow))
    except DECODE_ERRORS as error:
        return Err(Failure(ErrorKind.INTERNAL, str(error)))
