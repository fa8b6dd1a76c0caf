"""Claims one host's idempotency keys through the table service.

Contract with the entry program of the host:

- Each request has its own attempt id. It runs only after ``granted`` was
  received for that id, and at most once.
- If a claim call gets no answer, the request does not run; the entry sends
  ``RecordAnswer(state='released')`` for the attempt instead.
- The end of each granted claim is recorded, also when nothing was sent. A
  record that got ``platform_unavailable`` is sent again.
- Claims carry the incarnation of the entry program. The agent calls
  :meth:`ClaimService.handle_entry_exit` when it learns of a higher one.

**If the answer to the write of a claim is lost**, the row is read back and
its attempt id compared. If the read fails too, the decision is
``unavailable`` and the attempt becomes an *orphan*: its write may have taken
effect, or may still do so. A later claim of the key at this host replaces
the orphan's row. Otherwise a background task writes a ``released`` row at the
version that the orphan's write expected. Only one of the two writes can
succeed, so afterwards the orphan cannot own the key. Until then, other hosts
see ``in_progress``.
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
from egretmill.ledger.active_claims import (
    ActiveClaim,
    BackgroundTasks,
    ClaimLimits,
    ClaimRegistry,
    Phase,
)
from egretmill.ledger.batch import BatchLimits, BatchWriter
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
    """Decides the claims and records the answers of one host.

    :param owner: name of the host.
    :param incarnation: of the program that holds this object.
    :param is_live: whether an incarnation of another host still runs.
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
        self.registry = ClaimRegistry(self.limits)
        self.tasks = BackgroundTasks()
        self.writer = BatchWriter(store, batch)
        reader = RowReader(store, self.limits.concurrent_reads)
        self.acquirer = Acquirer(
            self.writer,
            reader,
            claims.Owner(owner, incarnation, is_live),
            self.registry,
            self.tasks,
        )
        self.recorder = Recorder(self.writer, reader, self.registry, self.tasks)
        self.released_attempts: collections.deque[str] = collections.deque(
            maxlen=self.limits.max_claims,
        )
        self.waiting_calls = 0
        self.entry_incarnation = 0

    async def claim(self, message: Claim) -> ClaimDecision:
        """Decide a claim within its ``timeout_s``.

        A repeat of a running claim waits up to that long for the answer. A
        key that :func:`~egretmill.ledger.claims.row_key` refuses, or whose
        attempt was released, is ``unavailable``.
        """
        deadline = self.clock() + message.timeout_s
        key = claims.row_key(message.account, message.idempotency_key)
        if isinstance(key, Err):
            return UNAVAILABLE
        self.expire_overdue()
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
        """Record how a claimed request ended; idempotent.

        ``platform_unavailable``: the record is not written yet. For a claim
        of this incarnation it stays in memory, answers repeats from there
        and is written when the platform is available again.
        ``version_conflict``: the attempt does not own the key.
        """
        key = claims.row_key(message.account, message.idempotency_key)
        if isinstance(key, Err):
            return key
        if message.state == 'released':
            self.released_attempts.append(message.attempt_id)
        return await self.recorder.record(key.ok_value, message, self.clock())

    def handle_entry_exit(self, next_incarnation: int = 0) -> None:
        """Withdraw the claims of an entry program that has ended.

        Granted claims become ``unknown``.

        :param next_incarnation: of the entry program that runs now. Claims
            of lower incarnations that still arrive are ``unavailable``, as
            no program would use their grant.
        """
        self.entry_incarnation = max(self.entry_incarnation, next_incarnation)
        for key, active in tuple(self.registry.by_key.items()):
            active.withdrawn = True
            if active.phase is Phase.GRANTED:
                self.mark_unknown(key, active)

    async def close(self) -> None:
        """Stop background work; records that are not written are lost."""
        await self.tasks.close()
        await self.writer.close()

    def is_withdrawn(self, message: Claim) -> bool:
        """Return whether the caller of a claim has ended or released it."""
        ended = 0 < message.incarnation < self.entry_incarnation
        return ended or message.attempt_id in self.released_attempts

    async def decide(
        self,
        key: str,
        message: Claim,
        deadline: float,
    ) -> ClaimDecision:
        """Decide again until the key is not in progress, or the deadline."""
        polls = 0
        while True:
            active = self.registry.by_key.get(key)
            if active is None:
                decision = await self.decide_inactive(
                    key,
                    message,
                    deadline,
                    polls > 0,
                )
                change = asyncio.sleep(self.limits.poll_delay_s(polls))
                polls += 1
            else:
                decision = await self.decide_active(active, message, deadline)
                change = active.changed.wait()
            if decision != IN_PROGRESS:
                change.close()
                return decision
            if not await self.wait_for_change(change, deadline):
                return decision

    async def decide_inactive(
        self,
        key: str,
        message: Claim,
        deadline: float,
        is_in_use_elsewhere: bool,
    ) -> ClaimDecision:
        """Decide a claim whose key has no active claim on this host.

        A key that is in use by another host is read first, so waiting for
        that host causes no writes.
        """
        if is_in_use_elsewhere:
            decision = await self.acquirer.read_decision(key, message)
            if decision != GRANTED:
                return decision
        if key in self.registry.by_key:
            return IN_PROGRESS
        return await self.start_claim(key, message, deadline)

    async def wait_for_change(
        self,
        change: Coroutine[Any, Any, Any],
        deadline: float,
    ) -> bool:
        """Wait for a change.

        Returns false at the deadline, or when too many calls wait already.
        """
        remaining_s = deadline - self.clock()
        if remaining_s <= 0 or self.waiting_calls >= self.limits.max_waiting:
            change.close()
            return False
        self.waiting_calls += 1
        try:
            async with asyncio.timeout(remaining_s):
                await change
        except TimeoutError:
            return False
        finally:
            self.waiting_calls -= 1
        return True

    async def decide_active(
        self,
        active: ActiveClaim,
        message: Claim,
        deadline: float,
    ) -> ClaimDecision:
        """Decide a claim whose key has an active claim on this host."""
        is_same_attempt = active.row.attempt_id == message.attempt_id
        if active.phase is Phase.WRITING:
            if is_same_attempt:
                return await self.await_decision(active, deadline)
            return IN_PROGRESS
        if active.phase is Phase.GRANTED and is_same_attempt:
            return GRANTED
        if active.row.state == 'released':
            return IN_PROGRESS
        if claims.is_mismatch(active.row, message):
            return ClaimDecision('mismatch')
        return active.row.repeat_decision()

    async def start_claim(
        self,
        key: str,
        message: Claim,
        deadline: float,
    ) -> ClaimDecision:
        """Claim a key from the cache or by a write, and await the decision."""
        cached = self.registry.answer_cache.get(key)
        if cached is not None:
            if claims.is_mismatch(cached, message):
                return ClaimDecision('mismatch')
            return cached.repeat_decision()
        # The entry may have ended or withdrawn the claim while it waited.
        if self.is_withdrawn(message) or not self.registry.can_admit(key):
            return UNAVAILABLE
        active = self.acquirer.start(key, message, self.clock())
        return await self.await_decision(active, deadline)

    async def await_decision(
        self,
        active: ActiveClaim,
        deadline: float,
    ) -> ClaimDecision:
        """Wait for the task of a claim; withdraw the claim at the deadline."""
        task = active.task
        remaining_s = max(deadline - self.clock(), 0)
        await asyncio.wait({task}, timeout=remaining_s)
        if not task.done():
            active.withdrawn = True
        if active.withdrawn or task.cancelled():
            return UNAVAILABLE
        return task.result()

    def expire_overdue(self) -> None:
        """Mark the oldest claim ``unknown`` if it was not recorded in time."""
        overdue = self.registry.find_overdue(self.clock())
        if overdue is not None:
            self.mark_unknown(*overdue)

    def mark_unknown(self, key: str, active: ActiveClaim) -> None:
        """Record ``unknown`` for a claim whose entry will not record it."""
        row = active.row
        message = RecordAnswer(row.account, '', row.attempt_id, 'unknown')
        self.recorder.accept(key, active, message)
