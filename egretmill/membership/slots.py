"""Row ``shares/<failure domain>``: who holds which share slot.

A slot that is not in the row is free. The holder counts its lease from
before it sent the renewal. Another host takes the slot over only after it
saw the slot unchanged for the holder's lease plus a margin on its own
monotonic clock, counted from after it had read the row; the write itself
compares the version of the row, so a renewal that arrives first wins.
"""

import dataclasses
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from egretmill.document.model import Document
from egretmill.errors import ErrorKind, Failure

__all__ = (
    'Holder',
    'Observations',
    'Slot',
    'SlotLayout',
    'SlotRow',
    'decode_row',
    'encode_row',
    'layout_of',
    'plan',
    'row_key',
)

# Clocks of two hosts differ in rate by less than a thousandth; the fixed
# part covers the time between reading a clock and using what it said.
MARGIN_PART = 0.001
MARGIN_S = 1.0


class Slot(msgspec.Struct, frozen=True):
    """A held slot; ``index`` counts within the failure domain.

    ``renewal`` rises with each write of the holder. ``attempt_id`` names
    the last write. ``lease_s`` is the lease that the holder counts with,
    which may differ from that of the taker's document.
    """

    index: int
    holder: str = ''
    address: str = ''
    incarnation: int = 0
    renewal: int = 0
    lease_s: float = 0.0
    attempt_id: str = ''

    def takeover_wait_s(self) -> float:
        """Return how long the slot must be seen unchanged."""
        return self.lease_s * (1 + MARGIN_PART) + MARGIN_S


class SlotRow(msgspec.Struct, frozen=True):
    """Body of the row: the held slots, by index."""

    slots: tuple[Slot, ...] = ()

    def of(self, holder: 'Holder') -> Slot | None:
        """Return the slot that a holder has."""
        held = (slot for slot in self.slots if holder.holds(slot))
        return next(held, None)

    def at(self, index: int) -> Slot | None:
        """Return the slot with an index, ``None`` when it is free."""
        found = (slot for slot in self.slots if slot.index == index)
        return next(found, None)

    def with_slot(self, slot: Slot) -> 'SlotRow':
        """Return the row after a slot was taken or renewed."""
        others = [row for row in self.slots if row.index != slot.index]
        ordered = sorted([*others, slot], key=lambda row: row.index)
        return SlotRow(tuple(ordered))

    def without(self, gone: Iterable[Slot]) -> 'SlotRow':
        """Return the row after slots were given up."""
        removed = {slot.index for slot in gone}
        kept = [row for row in self.slots if row.index not in removed]
        return SlotRow(tuple(kept))

    def retired(self, host: str) -> 'SlotRow':
        """Return the row after an operator stated that a host is gone.

        The operator is responsible for the truth of this.
        """
        return self.without(row for row in self.slots if row.holder == host)


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A host that wants or has a slot."""

    name: str
    address: str
    incarnation: int

    def holds(self, slot: Slot) -> bool:
        """Tell whether this incarnation has a slot."""
        owner = (slot.holder, slot.address, slot.incarnation)
        return owner == (self.name, self.address, self.incarnation)

    def succeeds(self, slot: Slot) -> bool:
        """Tell whether a slot belongs to an earlier run at this address.

        The holder listens on its port before it looks at the row, so the
        earlier process is gone. Only a lower incarnation is an earlier one:
        two hosts that were given one address by mistake do not take the
        slot from each other for ever.
        """
        earlier = slot.incarnation < self.incarnation
        return earlier and slot.address == self.address


@dataclasses.dataclass(frozen=True, slots=True)
class SlotLayout:
    """Slots of one failure domain: global index of the first, and counts.

    :param count: slots of the failure domain.
    :param total: slots of the whole fleet.
    """

    domain: str
    first: int
    count: int
    total: int


class Observations:
    """Since when each slot of a row was seen unchanged.

    Times are those of the observer's monotonic clock, read after the
    answer with the row had arrived.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.seen: dict[int, tuple[Slot, float]] = {}

    def observe(self, row: SlotRow, now: float) -> None:
        """Note a row that was read; changed slots start anew."""
        before = self.seen
        self.seen = {}
        for slot in row.slots:
            known, since = before.get(slot.index, (None, now))
            self.seen[slot.index] = (slot, since if known == slot else now)

    def expired(self, slot: Slot, now: float) -> bool:
        """Tell whether the lease of a slot has surely ended."""
        known, since = self.seen.get(slot.index, (None, now))
        return known == slot and now - since >= slot.takeover_wait_s()


def plan(
    row: SlotRow,
    holder: Holder,
    layout: SlotLayout,
    seen: Observations,
    now: float,
) -> tuple[Slot | None, str]:
    """Choose the slot that a holder may write next.

    Returns the present slot (or a blank one for a free index) and the
    reason. ``None`` means that no slot is available yet.
    """
    own = row.of(holder)
    if own is not None and own.index < layout.count:
        return own, 'renew'
    usable = [slot for slot in row.slots if slot.index < layout.count]
    succeeded = [slot for slot in usable if holder.succeeds(slot)]
    free = [Slot(index) for index in range(layout.count) if not row.at(index)]
    expired = [slot for slot in usable if seen.expired(slot, now)]
    if succeeded:
        return succeeded[0], 'same_address'
    if free:
        return free[0], 'free'
    return (expired[0], 'expired') if expired else (None, 'waiting')


def layout_of(document: Document, domain: str) -> SlotLayout:
    """Return the slots of a failure domain, in the document's order."""
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
    except msgspec.DecodeError as error:
        return Err(Failure(ErrorKind.INTERNAL, str(error)))
