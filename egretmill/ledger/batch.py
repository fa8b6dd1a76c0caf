"""Groups conditional writes that arrive together into one transaction."""

import asyncio
import collections
import dataclasses
import enum
import functools

from result import Ok

from egretmill.errors import ErrorKind, Failure
from egretmill.store.ports import Put, TableService

__all__ = ('BatchLimits', 'BatchWriter', 'Written')

# A timer of the loop may fire this much before its time.
TIMER_SLACK_S = 0.0001


class Written(enum.Enum):
    """What became of one conditional write.

    ``UNCERTAIN``: the store did not answer, or not in time; the write may
    have taken effect and may still do so later.
    """

    DONE = 'done'
    CONFLICT = 'conflict'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(frozen=True, slots=True)
class BatchLimits:
    """Bounds of a transaction.

    ``linger_s``: how long a claim waits for other writes; at low load each
    claim is delayed by this much. ``record_linger_s``: the same for
    records, which nobody waits for, so most of them go with a later claim.
    ``in_flight``: transactions under way at the same time; while all are
    busy, writes collect.
    """

    linger_s: float = 0.002
    record_linger_s: float = 0.02
    puts: int = 64
    size_bytes: int = 524288
    in_flight: int = 4


@dataclasses.dataclass(slots=True)
class Pending:
    """A write that waits for its outcome."""

    put: Put
    outcome: asyncio.Future[Written]
    due_at: float


class BatchWriter:
    """Writes rows through few transactions.

    At most one write per key may be pending at a time; the caller ensures
    this, because a transaction must not hold a key twice.
    """

    def __init__(
        self,
        store: TableService,
        limits: BatchLimits | None = None,
    ) -> None:
        """Write to a store within limits."""
        self.store = store
        self.limits = limits or BatchLimits()
        self.queue: collections.deque[Pending] = collections.deque()
        self.sending: set[asyncio.Task[None]] = set()
        self.transactions = 0
        self.closed = False

    async def write_claim(self, put: Put) -> Written:
        """Write the row of a claim if its version is the expected one."""
        return await self.write(put, self.limits.linger_s)

    async def write_record(self, put: Put) -> Written:
        """Write a row that may wait for others a little longer."""
        return await self.write(put, self.limits.record_linger_s)

    async def write(self, put: Put, linger_s: float) -> Written:
        """Write one row within a batch that leaves after ``linger_s``."""
        loop = asyncio.get_running_loop()
        pending = Pending(put, loop.create_future(), loop.time() + linger_s)
        self.queue.append(pending)
        loop.call_at(pending.due_at, self.flush)
        return await pending.outcome

    def flush(self) -> None:
        """Send the queue as long as a write in it is due."""
        horizon = asyncio.get_running_loop().time() + TIMER_SLACK_S
        while self.may_send() and self.is_due(horizon):
            batch = self.next_batch()
            task = asyncio.create_task(self.send(batch))
            self.sending.add(task)
            task.add_done_callback(
                functools.partial(self.sent, batch=batch),
            )

    def may_send(self) -> bool:
        """Tell whether one more transaction may be under way."""
        return not self.closed and len(self.sending) < self.limits.in_flight

    def is_due(self, horizon: float) -> bool:
        """Tell whether a write has lingered long enough."""
        return any(item.due_at <= horizon for item in self.queue)

    def sent(self, task: asyncio.Task[None], batch: list[Pending]) -> None:
        """Send what collected while a transaction was under way."""
        self.sending.discard(task)
        if task.cancelled():
            settle(batch, Written.UNCERTAIN)
        self.flush()

    def next_batch(self) -> list[Pending]:
        """Take writes off the queue within the limits."""
        batch = [self.queue.popleft()]
        size = len(batch[0].put.body)
        while self.queue and len(batch) < self.limits.puts:
            size += len(self.queue[0].put.body)
            if size > self.limits.size_bytes:
                break
            batch.append(self.queue.popleft())
        return batch

    async def send(self, batch: list[Pending]) -> None:
        """Send one transaction; writes without a conflict are sent again."""
        self.transactions += 1
        try:
            answer = await self.store.put_rows([item.put for item in batch])
        except Exception:
            settle(batch, Written.UNCERTAIN)
            raise
        if isinstance(answer, Ok):
            settle(batch, Written.DONE)
        elif answer.err_value.kind is ErrorKind.VERSION_CONFLICT:
            self.split(batch, answer.err_value)
        else:
            settle(batch, Written.UNCERTAIN)

    def split(self, batch: list[Pending], conflict: Failure) -> None:
        """Settle the writes in conflict and queue the others again.

        A conflict that names no key of the batch settles all of it: each
        caller then reads its row.
        """
        keys = set(conflict.detail.split())
        named = [item for item in batch if item.put.key in keys]
        settle(named or batch, Written.CONFLICT)
        others = [item for item in batch if not item.outcome.done()]
        self.queue.extendleft(reversed(others))

    async def close(self) -> None:
        """Stop sending; pending writes become uncertain."""
        self.closed = True
        for task in tuple(self.sending):
            task.cancel()
        await asyncio.gather(*self.sending, return_exceptions=True)
        settle(list(self.queue), Written.UNCERTAIN)
        self.queue.clear()


def settle(batch: list[Pending], outcome: Written) -> None:
    """Tell the callers of a batch what became of their writes."""
    for item in batch:
        if not item.outcome.done():
            item.outcome.set_result(outcome)
