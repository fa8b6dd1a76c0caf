"""Keeps the share slot of a host through the table service.

The agent acquires and renews the slot; the entry program of the host uses
it. An entry program that restarts while its agent goes on finds a slot that
is held already, but loans that its earlier run took or gave may still be in
use. It therefore uses shares only one longest loan after the later of its
own start and :attr:`~egretmill.wire.messages.ShareSlot.acquired_at`.

The agent must listen on its port before the first step: the bound port is
the proof that an earlier process at the same address is gone.

The clock is the monotonic clock, which goes on while a process is stopped
but not while a whole machine is suspended. A suspended machine must not be
resumed with its old programs.
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

__all__ = ('SlotKeeper', 'SlotTiming', 'retire_host')

# A conflict with another holder of the domain, or a lost answer, is tried
# again within the same step.
TRIES_PER_STEP = 3
# Uncertain writes whose send time is remembered; a slot that was acquired
# by an older one is used after its next renewal only.
MOST_PENDING = 64
MOST_DOUBLINGS = 16
EMPTY = Row(0, slots.encode_row(slots.SlotRow()))


class Progress(enum.Enum):
    """What one try to write the own slot led to."""

    SETTLED = 'settled'
    AGAIN = 'again'
    FAILED = 'failed'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTiming:
    """Durations in seconds.

    :param lease_s: how long a slot may be used after a renewal was sent.
    :param renew_s: time between renewals; at most a tenth of the lease.
    :param wait_s: time between reads while no slot is free.
    """

    lease_s: float = 4200.0
    renew_s: float = 60.0
    wait_s: float = 2.0
    retry_s: float = 0.5
    retry_most_s: float = 15.0

    def renewal_s(self) -> float:
        """Return the time between renewals."""
        return min(self.renew_s, self.lease_s / 10)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The slot as held, and until when it may be used."""

    slot: slots.Slot
    sent_at: float
    acquired_at: float
    until_at: float

    @classmethod
    def of(cls, slot: slots.Slot, sent_at: float, since: float) -> 'Lease':
        """Count the lease from before its renewal was sent."""
        return cls(slot, sent_at, since, sent_at + slot.lease_s)

    def shortened(self, until_at: float) -> 'Lease':
        """Return the lease with an end that is not later."""
        return dataclasses.replace(self, until_at=min(until_at, self.until_at))


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A write whose outcome is not known."""

    expected_version: int
    sent_at: float


class Schedule:
    """When the next step is due."""

    def __init__(self, rng: random.Random) -> None:
        """Make the first step due at once."""
        self.rng = rng
        self.next_at = float('-inf')
        self.failures = 0

    def due(self, now: float) -> bool:
        """Tell whether a step is due."""
        return now >= self.next_at

    def after(self, next_at: float) -> None:
        """Plan the next step after a success."""
        self.next_at = next_at
        self.failures = 0

    def back_off(self, now: float, timing: SlotTiming) -> None:
        """Plan the next step after a failure, with jitter.

        The jitter keeps the hosts of a failure domain from trying the same
        row at the same moments.
        """
        pause_s = min(timing.retry_s * 2**self.failures, timing.retry_most_s)
        self.failures = min(self.failures + 1, MOST_DOUBLINGS)
        self.next_at = now + pause_s * self.rng.uniform(0.5, 1)


class RowAccess:
    """Reads and writes the row of one failure domain.

    ``reads`` and ``writes`` count the calls of the store.
    """

    def __init__(
        self,
        store: TableService,
        domain: str,
        clock: Callable[[], float],
    ) -> None:
        """Use the row ``shares/<failure domain>``."""
        self.store = store
        self.key = slots.row_key(domain)
        self.clock = clock
        self.reads = 0
        self.writes = 0
        self.seen = slots.Observations()
        self.pending: dict[str, Sent] = {}

    async def read(self) -> Result[tuple[int, slots.SlotRow], Failure]:
        """Read the row and its version, 0 when absent."""
        self.reads += 1
        found = await self.store.get_row(self.key)
        if isinstance(found, Err):
            return found
        present = found.ok_value or EMPTY
        decoded = slots.decode_row(present.body)
        if isinstance(decoded, Ok):
            self.seen.observe(decoded.ok_value, self.clock())
        return decoded.map(lambda row: (present.version, row))

    async def put(
        self,
        version: int,
        row: slots.SlotRow,
    ) -> Result[Row, Failure]:
        """Write the row by compare-and-set."""
        self.writes += 1
        body = slots.encode_row(row)
        return await self.store.put_row(self.key, version, body)

    def remember(self, attempt_id: str, sent: Sent) -> None:
        """Remember when a write was sent."""
        self.pending[attempt_id] = sent
        while len(self.pending) > MOST_PENDING:
            self.pending.pop(next(iter(self.pending)))

    def sent(self, attempt_id: str) -> Sent | None:
        """Return when a write was sent whose outcome was not known."""
        return self.pending.get(attempt_id)

    def prune(self, version: int) -> None:
        """Forget writes that can no longer change a row of a version."""
        self.pending = {
            attempt_id: sent
            for attempt_id, sent in self.pending.items()
            if sent.expected_version >= version
        }

    def may_still_change(self, version: int) -> bool:
        """Tell whether an earlier write may still change the row."""
        self.prune(version)
        return bool(self.pending)


class SlotKeeper:
    """Acquires, renews and releases the share slot of one host.

    ``timing`` may be replaced while the keeper runs. ``informed`` tells
    whether the keeper has read the row since it started: before that, the
    answer of :meth:`current` says nothing about a slot that an entry program
    still has from an earlier run of the agent, and the entry may use that
    slot until its lease ends.

    :param clock: monotonic time in seconds, the clock of ``now``.
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
        self.row = RowAccess(store, layout.domain, clock)
        self.holder = holder
        self.layout = layout
        self.timing = timing or SlotTiming()
        self.clock = clock
        self.lease: Lease | None = None
        self.informed = False
        self.released = False
        self.waiting = False
        self.schedule = Schedule(rng or random.Random())
        self.lock = asyncio.Lock()

    def current(self, now: float) -> ShareSlot | None:
        """Return the slot that may be used now."""
        lease = self.lease
        if lease is None or now >= lease.until_at:
            return None
        return ShareSlot(
            index=self.layout.first + lease.slot.index,
            total=self.layout.total,
            lease_until_at=lease.until_at,
            acquired_at=lease.acquired_at,
        )

    def use_layout(self, layout: slots.SlotLayout) -> None:
        """Follow a new version of the document."""
        self.layout = layout
        if self.lease and self.lease.slot.index >= layout.count:
            self.lose('the document has fewer slots')
            self.schedule.next_at = float('-inf')

    async def step(self, now: float) -> None:
        """Acquire or renew when it is due; otherwise do nothing."""
        if self.released or not self.schedule.due(now) or self.lock.locked():
            return
        async with self.lock:
            self.check_lease()
            started_at = self.clock()
            tries = TRIES_PER_STEP
            progress = Progress.AGAIN
            while tries and progress is Progress.AGAIN:
                progress = await self.try_once(started_at)
                tries -= 1
            if progress is not Progress.SETTLED:
                self.schedule.back_off(self.clock(), self.timing)

    async def release(self) -> Result[None, Failure]:
        """Stop using the slot, then free it; the keeper ends with this.

        The entry program must have stopped using the slot before.
        After a failure the slot becomes free when its lease has ended.
        """
        self.released = True
        self.lease = None
        async with self.lock:
            tries = TRIES_PER_STEP
            while tries and not await self.free_once():
                tries -= 1
        if tries:
            return Ok(None)
        detail = 'the share slot stays held until its lease ends'
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))

    async def free_once(self) -> bool:
        """Remove the own slot from the row; true when it surely is gone."""
        found = await self.row.read()
        if isinstance(found, Err):
            return False
        version, row = found.ok_value
        own = row.of(self.holder)
        if own is None and not self.row.may_still_change(version):
            return True
        left = row.without([own] if own else [])
        return isinstance(await self.row.put(version, left), Ok)

    async def try_once(self, started_at: float) -> Progress:
        """Read the row and write the own slot."""
        if self.released:
            return Progress.SETTLED
        found = await self.row.read()
        if isinstance(found, Err):
            return Progress.FAILED
        version, row = found.ok_value
        self.informed = True
        self.reconcile(row)
        self.row.prune(version)
        if self.lease and self.lease.sent_at >= started_at:
            return self.settled(self.timing.renewal_s())
        slot, reason = slots.plan(
            row,
            self.holder,
            self.layout,
            self.row.seen,
            self.clock(),
        )
        if slot is None:
            self.report_waiting()
            return self.settled(self.timing.wait_s)
        return await self.write(version, row, self.claimed(slot), reason)

    async def write(
        self,
        version: int,
        row: slots.SlotRow,
        slot: slots.Slot,
        reason: str,
    ) -> Progress:
        """Write the own slot; without an answer it must be read back."""
        own = row.of(self.holder)
        kept = row.without([own] if own else [])
        sent_at = self.clock()
        if self.lease is not None:
            # Others see the lease of the new row even if its answer is lost.
            self.lease = self.lease.shortened(sent_at + slot.lease_s)
        self.row.remember(slot.attempt_id, Sent(version, sent_at))
        written = await self.row.put(version, kept.with_slot(slot))
        if isinstance(written, Err):
            return Progress.AGAIN
        self.hold(slot, sent_at, reason)
        return self.settled(self.timing.renewal_s())

    def reconcile(self, row: slots.SlotRow) -> None:
        """Adopt or give up the slot as the row shows it."""
        own = row.of(self.holder)
        if own is None:
            self.lose('another host holds it or it was retired')
            return
        sent = self.row.sent(own.attempt_id)
        if sent is not None:
            self.hold(own, sent.sent_at, 'read_back')

    def claimed(self, slot: slots.Slot) -> slots.Slot:
        """Return a slot as this holder writes it next."""
        return msgspec.structs.replace(
            slot,
            holder=self.holder.name,
            address=self.holder.address,
            incarnation=self.holder.incarnation,
            renewal=slot.renewal + 1,
            lease_s=self.timing.lease_s,
            attempt_id=uuid.uuid4().hex,
        )

    def hold(self, slot: slots.Slot, sent_at: float, reason: str) -> None:
        """Use a slot whose write took effect."""
        if self.released or slot.index >= self.layout.count:
            return
        now = self.clock()
        self.check_lease()
        lease = self.lease
        if lease is not None and lease.slot.index == slot.index:
            self.lease = Lease.of(slot, sent_at, lease.acquired_at)
            return
        self.lease = Lease.of(slot, sent_at, now)
        self.waiting = False
        log_event(
            events.CATALOGUE.SHARE_SLOT_ACQUIRED,
            index=self.layout.first + slot.index,
            reason=reason,
        )

    def check_lease(self) -> None:
        """Give the slot up if its lease has ended."""
        if self.lease and self.clock() >= self.lease.until_at:
            self.lose('the lease has ended')

    def lose(self, reason: str) -> None:
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

    def report_waiting(self) -> None:
        """Report once that no slot is free."""
        if not self.waiting:
            self.waiting = True
            log_event(
                events.CATALOGUE.SHARE_SLOT_WAITING,
                failure_domain=self.layout.domain,
                slots=self.layout.count,
            )

    def settled(self, pause_s: float) -> Progress:
        """Set the time of the next step after success."""
        self.schedule.after(self.clock() + pause_s)
        return Progress.SETTLED


async def retire_host(
    store: TableService,
    domain: str,
    host: str,
) -> Result[int, Failure]:
    """Free the slots of a host and return their number.

    The operator who asks for this states that the host is gone.
    """
    row_access = RowAccess(store, domain, time.monotonic)
    tries = TRIES_PER_STEP
    freed: Result[int, Failure] = Err(Failure(ErrorKind.NOT_FOUND, host))
    while tries and isinstance(freed, Err):
        tries -= 1
        freed = await retire_once(row_access, host)
    return freed


async def retire_once(
    row_access: RowAccess,
    host: str,
) -> Result[int, Failure]:
    """Free the slots of a host unless the row changes meanwhile."""
    found = await row_access.read()
    if isinstance(found, Err):
        return found
    version, row = found.ok_value
    left = row.retired(host)
    if left == row:
        return Ok(0)
    written = await row_access.put(version, left)
    return written.map(lambda _: len(row.slots) - len(left.slots))
