"""Groups conditional writes that arrive together into one transaction."""

import asyncio
import collections
import dataclasses
import enum

from result import Ok

from egretmill.errors import ErrorKind, Failure
from egretmill.store.ports import Put, TableService

__all__ = ('BatchLimits', 'BatchWriter', 'Written')


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

    ``linger_s``: how long the first write of a batch waits for others; a
    claim at low load is delayed by this much. ``in_flight``: transactions
    under way at the same time; while all are busy, writes collect.
    """

    linger_s: float = 0.002
    puts: int = 64
    size_bytes: int = 524288
    in_flight: int = 2


@dataclasses.dataclass(slots=True)
class Pending:
    """A write that waits for its outcome."""

    put: Put
    outcome: asyncio.Future[Written]


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
        self.senders: set[asyncio.Task[None]] = set()
        self.transactions = 0

    async def write(self, put: Put) -> Written:
        """Write one row if its version is the expected one."""
        loop = asyncio.get_running_loop()
        pending = Pending(put, loop.create_future())
        self.queue.append(pending)
        if len(self.senders) < self.limits.in_flight:
            self.start_sender()
        return await pending.outcome

    def start_sender(self) -> None:
        """Send batches until the queue is empty."""
        task = asyncio.create_task(self.send_all())
        self.senders.add(task)
        task.add_done_callback(self.senders.discard)

    async def send_all(self) -> None:
        """Wait for the first batch to fill, then send until none is left."""
        await asyncio.sleep(self.limits.linger_s)
        while self.queue:
            await self.send(self.next_batch())

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
        except BaseException:
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
        for task in tuple(self.senders):
            task.cancel()
        await asyncio.gather(*self.senders, return_exceptions=True)
        settle(list(self.queue), Written.UNCERTAIN)
        self.queue.clear()


def settle(batch: list[Pending], outcome: Written) -> None:
    """Tell the callers of a batch what became of their writes."""
    for item in batch:
        if not item.outcome.done():
            item.outcome.set_result(outcome)
