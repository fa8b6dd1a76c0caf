"""Groups conditional writes that arrive together into one transaction."""

import asyncio
import collections
import dataclasses
import enum
import functools

from result import Ok

from egretmill.errors import ErrorKind, Failure
from egretmill.store.ports import Put, TableService

__all__ = ('BatchLimits', 'BatchWriter', 'WriteOutcome')

# Event loop timers may fire this much early.
TIMER_TOLERANCE_S = 0.0001


class WriteOutcome(enum.Enum):
    """Outcome of one conditional write.

    ``UNCERTAIN``: the store did not answer, or not in time; the write may
    have taken effect and may still do so later.
    """

    DONE = 'done'
    CONFLICT = 'conflict'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
    """Bounds of a transaction.

    ``linger_s``: how long a claim waits for further writes to share its
    transaction; at low load it delays every claim by this much.
    ``record_linger_s``: the same for records; no caller waits for these, so
    most of them share the transaction of a later claim. ``in_flight``:
    maximum number of concurrent transactions; above it, writes are queued.
    """

    linger_s: float = 0.002
    record_linger_s: float = 0.02
    puts: int = 64
    size_bytes: int = 524288
    in_flight: int = 4


@dataclasses.dataclass(slots=True)
class PendingWrite:
    """A queued write whose outcome is not known yet."""

    put: Put
    outcome: asyncio.Future[WriteOutcome]
    due_at: float


class BatchWriter:
    """Batches conditional writes of single rows into transactions.

    The caller ensures that at most one write per key is pending, because a
    transaction must not contain a key twice.
    """

    def __init__(
        self,
        store: TableService,
        limits: BatchLimits | None = None,
    ) -> None:
        """Write to a store within limits."""
        self.store = store
        self.limits = limits or BatchLimits()
        self.queue: collections.deque[PendingWrite] = collections.deque()
        self.in_flight: set[asyncio.Task[None]] = set()
        self.transactions = 0
        self.closed = False

    async def write_claim(self, put: Put) -> WriteOutcome:
        """Write the row of a claim if its version is the expected one."""
        return await self.write(put, self.limits.linger_s)

    async def write_record(self, put: Put) -> WriteOutcome:
        """Write the row of a record, with the longer linger time."""
        return await self.write(put, self.limits.record_linger_s)

    async def write(self, put: Put, linger_s: float) -> WriteOutcome:
        """Queue a row; its batch is sent after ``linger_s`` at the earliest."""
        loop = asyncio.get_running_loop()
        pending = PendingWrite(
            put, loop.create_future(), loop.time() + linger_s
        )
        self.queue.append(pending)
        loop.call_at(pending.due_at, self.flush)
        return await pending.outcome

    def flush(self) -> None:
        """Send batches while a queued write is due, within ``in_flight``."""
        due_before = asyncio.get_running_loop().time() + TIMER_TOLERANCE_S
        while self.can_send() and self.has_due_write(due_before):
            batch = self.take_batch()
            task = asyncio.create_task(self.send(batch))
            self.in_flight.add(task)
            task.add_done_callback(
                functools.partial(self.on_sent, batch=batch),
            )

    def can_send(self) -> bool:
        """Return whether another transaction may be sent now."""
        return not self.closed and len(self.in_flight) < self.limits.in_flight

    def has_due_write(self, due_before: float) -> bool:
        """Return whether the linger time of a queued write has ended."""
        return any(item.due_at <= due_before for item in self.queue)

    def on_sent(
        self, task: asyncio.Task[None], batch: list[PendingWrite]
    ) -> None:
        """Clean up after a transaction and send the writes queued meanwhile."""
        self.in_flight.discard(task)
        if task.cancelled():
            resolve(batch, WriteOutcome.UNCERTAIN)
        self.flush()

    def take_batch(self) -> list[PendingWrite]:
        """Remove the next writes from the queue, within the limits."""
        batch = [self.queue.popleft()]
        size = len(batch[0].put.body)
        while self.queue and len(batch) < self.limits.puts:
            size += len(self.queue[0].put.body)
            if size > self.limits.size_bytes:
                break
            batch.append(self.queue.popleft())
        return batch

    async def send(self, batch: list[PendingWrite]) -> None:
        """Send a batch as one transaction and resolve its writes."""
        self.transactions += 1
        try:
            outcome = await self.store.put_rows([item.put for item in batch])
        except Exception:
            resolve(batch, WriteOutcome.UNCERTAIN)
            raise
        if isinstance(outcome, Ok):
            resolve(batch, WriteOutcome.DONE)
        elif outcome.err_value.kind is ErrorKind.VERSION_CONFLICT:
            self.resolve_conflict(batch, outcome.err_value)
        else:
            resolve(batch, WriteOutcome.UNCERTAIN)

    def resolve_conflict(
        self, batch: list[PendingWrite], conflict: Failure
    ) -> None:
        """Report the conflicting writes and queue the others again.

        When the conflict names no key of the batch, all its writes count as
        conflicts: each caller then reads its row.
        """
        keys = set(conflict.detail.split())
        named = [item for item in batch if item.put.key in keys]
        resolve(named or batch, WriteOutcome.CONFLICT)
        remaining = [item for item in batch if not item.outcome.done()]
        self.queue.extendleft(reversed(remaining))

    async def close(self) -> None:
        """Stop sending; pending writes become uncertain."""
        self.closed = True
        for task in tuple(self.in_flight):
            task.cancel()
        await asyncio.gather(*self.in_flight, return_exceptions=True)
        resolve(list(self.queue), WriteOutcome.UNCERTAIN)
        self.queue.clear()


def resolve(batch: list[PendingWrite], outcome: WriteOutcome) -> None:
    """Set the outcome of all writes of a batch that have none yet."""
    for item in batch:
        if not item.outcome.done():
            item.outcome.set_result(outcome)
