"""Acquires and renews the lease of a host's share slot.

The lease is a row of the platform's table service. The agent acquires and
renews it; the entry program of the host uses the slot. An entry program
that restarts while its agent keeps running finds a slot that is already
held, but loans that its earlier run borrowed or lent may still be in use.
It therefore uses shares only after the longest loan duration has passed
since the later of its own start and
:attr:`~egretmill.wire.messages.ShareSlot.acquired_at`.

The agent must listen on its port before the first step: the bound port
proves that no earlier process at the same address still runs.

The monotonic clock keeps running while a process is stopped but not while
the whole machine is suspended. A suspended machine must not be resumed
with its old programs.
"""

import asyncio
import dataclasses
import enum
import random
import time
import uuid
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.membership import slots
from egretmill.store.ports import Row, TableService
from egretmill.wire.messages import ShareSlot

__all__ = ('SlotLeaseManager', 'SlotTiming', 'retire_host')

# A conflict with another holder of the failure domain, or a lost answer, is
# retried within the same step.
MAX_TRIES_PER_STEP = 3
# Writes of unknown outcome whose send time is kept; a slot that was acquired
# by an older write can be used only after its next renewal.
MAX_PENDING_WRITES = 64
MAX_BACKOFF_DOUBLINGS = 16
ABSENT_ROW = Row(0, slots.encode_row(slots.SlotRow()))


class TryOutcome(enum.Enum):
    """Outcome of one attempt to write the host's slot."""

    DONE = 'settled'
    RETRY = 'again'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTiming:
    """Durations in seconds.

    :param lease_s: how long a slot may be used after a renewal was sent.
    :param renew_s: time between renewals, capped at a tenth of the lease.
    :param wait_s: time between reads while no slot is free.
    :param retry_s: first pause after a failure.
    :param max_retry_s: upper bound of the pause after repeated failures.
    """

    lease_s: float = 4200.0
    renew_s: float = 60.0
    wait_s: float = 2.0
    retry_s: float = 0.5
    max_retry_s: float = 15.0

    def renewal_interval_s(self) -> float:
        """Return the time between renewals, in seconds."""
        return min(self.renew_s, self.lease_s / 10)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The held slot and the time until which it may be used."""

    slot: slots.Slot
    sent_at: float
    acquired_at: float
    ends_at: float

    @classmethod
    def from_write(
        cls, slot: slots.Slot, sent_at: float, acquired_at: float
    ) -> 'Lease':
        """Return the lease of a write, counted from before it was sent."""
        return cls(slot, sent_at, acquired_at, sent_at + slot.lease_s)

    def ending_by(self, ends_at: float) -> 'Lease':
        """Return the lease with an end no later than ``ends_at``."""
        return dataclasses.replace(self, ends_at=min(ends_at, self.ends_at))


@dataclasses.dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write of the row whose outcome is not known yet."""

    expected_version: int
    sent_at: float


class Schedule:
    """When the next step is due."""

    def __init__(self, rng: random.Random) -> None:
        """Make the first step due at once."""
        self.rng = rng
        self.next_at = float('-inf')
        self.failures = 0

    def is_due(self, now: float) -> bool:
        """Return whether a step is due."""
        return now >= self.next_at

    def schedule_next(self, next_at: float) -> None:
        """Schedule the next step after a success."""
        self.next_at = next_at
        self.failures = 0

    def back_off(self, now: float, timing: SlotTiming) -> None:
        """Schedule the next step after a failure: exponential backoff.

        The jitter keeps the hosts of a failure domain from retrying on the
        same row at the same time.
        """
        pause_s = min(timing.retry_s * 2**self.failures, timing.max_retry_s)
        self.failures = min(self.failures + 1, MAX_BACKOFF_DOUBLINGS)
        self.next_at = now + pause_s * self.rng.uniform(0.5, 1)


class SlotRowStore:
    """Reads and writes the row of one failure domain.

    ``reads`` and ``writes`` count the calls to the store.
    """

    def __init__(
        self,
        store: TableService,
        domain: str,
        clock: Callable[[], float],
    ) -> None:
        """Access the row ``shares/<failure domain>``."""
        self.store = store
        self.key = slots.row_key(domain)
        self.clock = clock
        self.reads = 0
        self.writes = 0
        self.observations = slots.SlotObservations()
        self.pending_writes: dict[str, PendingWrite] = {}

    async def read(self) -> Result[tuple[int, slots.SlotRow], Failure]:
        """Return the version of the row, 0 when absent, and the row."""
        self.reads += 1
        read_result = await self.store.get_row(self.key)
        if isinstance(read_result, Err):
            return read_result
        stored = read_result.ok_value or ABSENT_ROW
        decoded = slots.decode_row(stored.body)
        if isinstance(decoded, Ok):
            self.observations.observe(decoded.ok_value, self.clock())
        return decoded.map(lambda row: (stored.version, row))

    async def put(
        self,
        version: int,
        row: slots.SlotRow,
    ) -> Result[Row, Failure]:
        """Write the row by compare-and-set."""
        self.writes += 1
        body = slots.encode_row(row)
        return await self.store.put_row(self.key, version, body)

    def remember_write(
        self, attempt_id: str, pending_write: PendingWrite
    ) -> None:
        """Remember when a write was sent; drop the oldest if too many."""
        self.pending_writes[attempt_id] = pending_write
        while len(self.pending_writes) > MAX_PENDING_WRITES:
            self.pending_writes.pop(next(iter(self.pending_writes)))

    def pending_write(self, attempt_id: str) -> PendingWrite | None:
        """Return a remembered write, ``None`` if it is unknown."""
        return self.pending_writes.get(attempt_id)

    def prune_pending_writes(self, version: int) -> None:
        """Forget writes that can no longer change a row of this version."""
        self.pending_writes = {
            attempt_id: pending_write
            for attempt_id, pending_write in self.pending_writes.items()
            if pending_write.expected_version >= version
        }

    def has_pending_writes(self, version: int) -> bool:
        """Return whether an earlier write may still change the row."""
        self.prune_pending_writes(version)
        return bool(self.pending_writes)


class SlotLeaseManager:
    """Acquires, renews and releases the share slot of one host.

    ``timing`` may be replaced at any time. ``has_read_row`` is true once the
    row has been read since the start of the agent. Before that,
    :meth:`usable_slot` says nothing about a slot that the entry program
    still has from an earlier run of the agent, and the entry program may
    use that slot until its lease ends.

    :param clock: returns monotonic time in seconds; ``now`` is read from it.
    """

    def __init__(
        self,
        store: TableService,
        holder: slots.Holder,
        layout: slots.SlotLayout,
        timing: SlotTiming | None = None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Start without a slot."""
        self.row_store = SlotRowStore(store, layout.domain, clock)
        self.holder = holder
        self.layout = layout
        self.timing = timing or SlotTiming()
        self.clock = clock
        self.lease: Lease | None = None
        self.has_read_row = False
        self.released = False
        self.waiting = False
        self.schedule = Schedule(rng or random.Random())
        self.lock = asyncio.Lock()

    def usable_slot(self, now: float) -> ShareSlot | None:
        """Return the slot that may be used now, ``None`` without a lease."""
        lease = self.lease
        if lease is None or now >= lease.ends_at:
            return None
        return ShareSlot(
            index=self.layout.first + lease.slot.index,
            total=self.layout.total,
            lease_until_at=lease.ends_at,
            acquired_at=lease.acquired_at,
        )

    def apply_layout(self, layout: slots.SlotLayout) -> None:
        """Apply the slots of a new version of the document."""
        self.layout = layout
        if self.lease and self.lease.slot.index >= layout.count:
            self.drop_lease('the document has fewer slots')
            self.schedule.next_at = float('-inf')

    async def step(self, now: float) -> None:
        """Acquire or renew the slot if a step is due."""
        if self.released or not self.schedule.is_due(now) or self.lock.locked():
            return
        async with self.lock:
            self.drop_expired_lease()
            started_at = self.clock()
            tries_left = MAX_TRIES_PER_STEP
            outcome = TryOutcome.RETRY
            while tries_left and outcome is TryOutcome.RETRY:
                outcome = await self.try_acquire(started_at)
                tries_left -= 1
            if outcome is not TryOutcome.DONE:
                self.schedule.back_off(self.clock(), self.timing)

    async def release(self) -> Result[None, Failure]:
        """Stop using the slot and free it; later steps do nothing.

        The entry program must have stopped using the slot before.
        After a failure the slot becomes free when its lease has ended.
        """
        self.released = True
        self.lease = None
        async with self.lock:
            tries_left = MAX_TRIES_PER_STEP
            while tries_left and not await self.try_release():
                tries_left -= 1
        if tries_left:
            return Ok(None)
        detail = 'the share slot stays held until its lease ends'
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))

    async def try_release(self) -> bool:
        """Remove the slot from the row; return whether it is surely free."""
        read_result = await self.row_store.read()
        if isinstance(read_result, Err):
            return False
        version, row = read_result.ok_value
        own_slot = row.slot_of(self.holder)
        if own_slot is None and not self.row_store.has_pending_writes(version):
            return True
        remaining_row = row.without([own_slot] if own_slot else [])
        return isinstance(await self.row_store.put(version, remaining_row), Ok)

    async def try_acquire(self, started_at: float) -> TryOutcome:
        """Read the row, then acquire or renew the slot if necessary."""
        if self.released:
            return TryOutcome.DONE
        read_result = await self.row_store.read()
        if isinstance(read_result, Err):
            return TryOutcome.FAILED
        version, row = read_result.ok_value
        self.has_read_row = True
        self.reconcile(row)
        self.row_store.prune_pending_writes(version)
        if self.lease and self.lease.sent_at >= started_at:
            return self.finish_step(self.timing.renewal_interval_s())
        slot, reason = slots.choose_slot(
            row,
            self.holder,
            self.layout,
            self.row_store.observations,
            self.clock(),
        )
        if slot is None:
            self.log_waiting()
            return self.finish_step(self.timing.wait_s)
        return await self.write_slot(
            version, row, self.claimed_slot(slot), reason
        )

    async def write_slot(
        self,
        version: int,
        row: slots.SlotRow,
        slot: slots.Slot,
        reason: str,
    ) -> TryOutcome:
        """Write the host's slot; after a lost answer it must be read back."""
        own_slot = row.slot_of(self.holder)
        other_slots = row.without([own_slot] if own_slot else [])
        sent_at = self.clock()
        if self.lease is not None:
            # The new lease can be shorter, and other hosts read it from the
            # row even if the answer to this write is lost.
            self.lease = self.lease.ending_by(sent_at + slot.lease_s)
        self.row_store.remember_write(
            slot.attempt_id, PendingWrite(version, sent_at)
        )
        written = await self.row_store.put(version, other_slots.with_slot(slot))
        if isinstance(written, Err):
            return TryOutcome.RETRY
        self.adopt_slot(slot, sent_at, reason)
        return self.finish_step(self.timing.renewal_interval_s())

    def reconcile(self, row: slots.SlotRow) -> None:
        """Adopt or drop the slot according to the row."""
        own_slot = row.slot_of(self.holder)
        if own_slot is None:
            self.drop_lease('another host holds it or it was retired')
            return
        pending_write = self.row_store.pending_write(own_slot.attempt_id)
        if pending_write is not None:
            self.adopt_slot(own_slot, pending_write.sent_at, 'read_back')

    def claimed_slot(self, slot: slots.Slot) -> slots.Slot:
        """Return the slot as this host writes it next."""
        return msgspec.structs.replace(
            slot,
            holder=self.holder.name,
            address=self.holder.address,
            incarnation=self.holder.incarnation,
            renewal=slot.renewal + 1,
            lease_s=self.timing.lease_s,
            attempt_id=uuid.uuid4().hex,
        )

    def adopt_slot(self, slot: slots.Slot, sent_at: float, reason: str) -> None:
        """Start or renew the lease of a slot whose write took effect."""
        if self.released or slot.index >= self.layout.count:
            return
        now = self.clock()
        self.drop_expired_lease()
        lease = self.lease
        if lease is not None and lease.slot.index == slot.index:
            self.lease = Lease.from_write(slot, sent_at, lease.acquired_at)
            return
        self.lease = Lease.from_write(slot, sent_at, now)
        self.waiting = False
        log_event(
            events.CATALOGUE.SHARE_SLOT_ACQUIRED,
            index=self.layout.first + slot.index,
            reason=reason,
        )

    def drop_expired_lease(self) -> None:
        """Stop using the slot if its lease has ended."""
        if self.lease and self.clock() >= self.lease.ends_at:
            self.drop_lease('the lease has ended')

    def drop_lease(self, reason: str) -> None:
        """Stop using the slot."""
        if self.lease is None:
            return
        index = self.layout.first + self.lease.slot.index
        self.lease = None
        log_event(
            events.CATALOGUE.SHARE_SLOT_LOST,
            index=index,
            reason=reason,
        )

    def log_waiting(self) -> None:
        """Log once per wait that no slot is free."""
        if not self.waiting:
            self.waiting = True
            log_event(
                events.CATALOGUE.SHARE_SLOT_WAITING,
                failure_domain=self.layout.domain,
                slots=self.layout.count,
            )

    def finish_step(self, pause_s: float) -> TryOutcome:
        """Schedule the next step after a success."""
        self.schedule.schedule_next(self.clock() + pause_s)
        return TryOutcome.DONE


async def retire_host(
    store: TableService,
    domain: str,
    host: str,
) -> Result[int, Failure]:
    """Free all slots of a host and return their number.

    The operator who requests this asserts that the host has stopped for good.
    """
    row_store = SlotRowStore(store, domain, time.monotonic)
    tries_left = MAX_TRIES_PER_STEP
    freed_count: Result[int, Failure] = Err(Failure(ErrorKind.NOT_FOUND, host))
    while tries_left and isinstance(freed_count, Err):
        tries_left -= 1
        freed_count = await retire_once(row_store, host)
    return freed_count


async def retire_once(
    row_store: SlotRowStore,
    host: str,
) -> Result[int, Failure]:
    """Free the slots of a host in one compare-and-set of the row."""
    read_result = await row_store.read()
    if isinstance(read_result, Err):
        return read_result
    version, row = read_result.ok_value
    remaining_row = row.without_host(host)
    if remaining_row == row:
        return Ok(0)
    written = await row_store.put(version, remaining_row)
    return written.map(lambda _: len(row.slots) - len(remaining_row.slots))
