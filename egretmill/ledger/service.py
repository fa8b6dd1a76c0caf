"""Claims of idempotency keys of one host, made through the table service.

Contract with the entry program of the host:

- Each request has an attempt id of its own. The request runs only after
  ``granted`` was received for it, and at most once.
- A claim call without an answer does not run; the entry sends
  ``RecordAnswer(state='released')`` for the attempt instead.
- A granted claim is recorded once it has ended, also when nothing was sent.
  A record that got ``platform_unavailable`` is sent again.
- Claims carry the incarnation of the entry program. The agent calls
  :meth:`ClaimService.entry_lost` when it hears of a higher one.

**A claim whose answer was lost** is settled by reading the row back for the
own attempt id. When that is impossible too, the decision is ``unavailable``
and the attempt becomes an *orphan*: its write may have taken effect, or may
still do so. A later claim of the key at this host replaces the orphan's
row. Without one, a background task writes a ``released`` row at the version
that the orphan's write expected; one of the two then fails, so afterwards
the orphan can neither hold the key nor appear later. Other hosts see
``in_progress`` until then.
"""

import asyncio
import collections
import time
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err, Result

from egretmill import events
from egretmill.errors import Failure
from egretmill.ledger import claims
from egretmill.ledger.acquiring import (
    GRANTED,
    IN_PROGRESS,
    UNAVAILABLE,
    Acquirer,
    RowReader,
)
from egretmill.ledger.batch import BatchLimits, BatchWriter
from egretmill.ledger.held import ClaimLimits, Held, HeldClaims, Phase, Tasks
from egretmill.ledger.recording import Recorder
from egretmill.logs import log_event
from egretmill.store.ports import TableService
from egretmill.wire.messages import (
    Acknowledged,
    Claim,
    ClaimDecision,
    RecordAnswer,
)

__all__ = ('ClaimLimits', 'ClaimService')


class ClaimService:
    """Decides claims and records answers of one host.

    :param owner: name of the host.
    :param incarnation: of the program that holds this object.
    :param is_live: tells whether an incarnation of another host is live.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        store: TableService,
        owner: str,
        incarnation: int,
        is_live: Callable[[str, int], bool],
        clock: Callable[[], float] = time.monotonic,
        limits: ClaimLimits | None = None,
        batch: BatchLimits | None = None,
    ) -> None:
        """Start without claims."""
        self.clock = clock
        self.limits = limits or ClaimLimits()
        self.held = HeldClaims(self.limits)
        self.tasks = Tasks()
        self.writer = BatchWriter(store, batch)
        reader = RowReader(store, self.limits.reads)
        self.acquirer = Acquirer(
            self.writer,
            reader,
            claims.Owner(owner, incarnation, is_live),
            self.held,
            self.tasks,
        )
        self.recorder = Recorder(self.writer, reader, self.held, self.tasks)
        self.released: collections.deque[str] = collections.deque(
            maxlen=self.limits.held,
        )
        self.waiting = 0
        self.entry_incarnation = 0

    async def claim(self, message: Claim) -> ClaimDecision:
        """Decide a claim within its ``timeout_s``.

        A repeat of a running claim waits that long for the answer. A key
        that :func:`~egretmill.ledger.claims.row_key` refuses, or whose
        attempt was released, is ``unavailable``.
        """
        deadline = self.clock() + message.timeout_s
        key = claims.row_key(message.account, message.idempotency_key)
        if isinstance(key, Err):
            return UNAVAILABLE
        self.give_up_overdue()
        decision = await self.decide(key.ok_value, message, deadline)
        log_event(
            events.CATALOGUE.CLAIM_DECIDED,
            key=key.ok_value,
            attempt=message.attempt_id,
            status=decision.status,
        )
        return decision

    async def record(
        self,
        message: RecordAnswer,
    ) -> Result[Acknowledged, Failure]:
        """Record how a claimed request ended; repeating it is harmless.

        ``platform_unavailable`` says that the record is not written yet:
        a claim made by this incarnation keeps it in memory, answers
        repeats from there and writes it as soon as the platform answers.
        ``version_conflict`` says that the attempt does not own the key.
        """
        key = claims.row_key(message.account, message.idempotency_key)
        if isinstance(key, Err):
            return key
        if message.state == 'released':
            self.released.append(message.attempt_id)
        return await self.recorder.record(key.ok_value, message, self.clock())

    def entry_lost(self, next_incarnation: int = 0) -> None:
        """Mark all granted claims ``unknown``: their entry has ended.

        :param next_incarnation: of the entry program that runs now. Claims
            of lower incarnations that still arrive are ``unavailable``;
            they would be granted to nobody.
        """
        self.entry_incarnation = max(self.entry_incarnation, next_incarnation)
        for key, held in tuple(self.held.by_key.items()):
            held.withdrawn = True
            if held.phase is Phase.GRANTED:
                self.give_up(key, held)

    async def close(self) -> None:
        """Stop background work; records that are not written are lost."""
        await self.tasks.close()
        await self.writer.close()

    def is_withdrawn(self, message: Claim) -> bool:
        """Tell whether nobody would use the grant of a claim."""
        ended = 0 < message.incarnation < self.entry_incarnation
        return ended or message.attempt_id in self.released

    async def decide(
        self,
        key: str,
        message: Claim,
        deadline: float,
    ) -> ClaimDecision:
        """Try until a decision other than ``in_progress`` or the deadline."""
        polls = 0
        while True:
            held = self.held.by_key.get(key)
            if held is None:
                decision = await self.decide_free(
                    key,
                    message,
                    deadline,
                    polls > 0,
                )
                change = asyncio.sleep(self.limits.poll_after(polls))
                polls += 1
            else:
                decision = await self.decide_held(held, message, deadline)
                change = held.changed.wait()
            if decision != IN_PROGRESS:
                change.close()
                return decision
            if not await self.wait(change, deadline):
                return decision

    async def decide_free(
        self,
        key: str,
        message: Claim,
        deadline: float,
        seen: bool,
    ) -> ClaimDecision:
        """Decide a claim whose key this host does not hold.

        A key that was ``seen`` in use elsewhere is read first, so waiting
        for another host costs the platform no writes.
        """
        if seen:
            decision = await self.acquirer.peek(key, message)
            if decision != GRANTED:
                return decision
        if key in self.held.by_key:
            return IN_PROGRESS
        return await self.attempt(key, message, deadline)

    async def wait(
        self,
        change: Coroutine[Any, Any, Any],
        deadline: float,
    ) -> bool:
        """Wait for a change; false when there is no time or no room."""
        left_s = deadline - self.clock()
        if left_s <= 0 or self.waiting >= self.limits.waiting:
            change.close()
            return False
        self.waiting += 1
        try:
            async with asyncio.timeout(left_s):
                await change
        except TimeoutError:
            return False
        finally:
            self.waiting -= 1
        return True

    async def decide_held(
        self,
        held: Held,
        message: Claim,
        deadline: float,
    ) -> ClaimDecision:
        """Decide a claim whose key this host holds in memory."""
        own = held.row.attempt_id == message.attempt_id
        if held.phase is Phase.WRITING:
            if own:
                return await self.await_decision(held, deadline)
            return IN_PROGRESS
        if held.phase is Phase.GRANTED and own:
            return GRANTED
        if held.row.state == 'released':
            return IN_PROGRESS
        if claims.differs(held.row, message):
            return ClaimDecision('mismatch')
        return held.row.decision()

    async def attempt(
        self,
        key: str,
        message: Claim,
        deadline: float,
    ) -> ClaimDecision:
        """Claim a key that this host does not hold."""
        kept = self.held.kept.get(key)
        if kept is not None:
            if claims.differs(kept, message):
                return ClaimDecision('mismatch')
            return kept.decision()
        # The entry may have ended or given up while the claim waited.
        if self.is_withdrawn(message) or not self.held.has_room(key):
            return UNAVAILABLE
        held = self.acquirer.start(key, message, self.clock())
        return await self.await_decision(held, deadline)

    async def await_decision(
        self,
        held: Held,
        deadline: float,
    ) -> ClaimDecision:
        """Wait for the claim's task; withdraw the claim at the deadline."""
        task = held.task
        left_s = max(deadline - self.clock(), 0)
        await asyncio.wait({task}, timeout=left_s)
        if not task.done():
            held.withdrawn = True
        if held.withdrawn or task.cancelled():
            return UNAVAILABLE
        return task.result()

    def give_up_overdue(self) -> None:
        """Give up the oldest claim if its entry never recorded it."""
        overdue = self.held.overdue(self.clock())
        if overdue is not None:
            self.give_up(*overdue)

    def give_up(self, key: str, held: Held) -> None:
        """Record ``unknown`` for a claim whose end nobody will report."""
        row = held.row
        message = RecordAnswer(row.account, '', row.attempt_id, 'unknown')
        self.recorder.keep(key, held, message)
