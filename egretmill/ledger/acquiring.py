"""Writes claims until their outcome is certain, and releases orphans."""

import asyncio
import dataclasses
import uuid

from result import Err, Ok, Result

from egretmill import events
from egretmill.errors import Failure
from egretmill.ledger import claims
from egretmill.ledger.active_claims import (
    ActiveClaim,
    BackgroundTasks,
    ClaimRegistry,
    Phase,
    utc_day,
)
from egretmill.ledger.batch import BatchWriter, WriteOutcome
from egretmill.logs import log_event
from egretmill.store.ports import Put, Row, TableService
from egretmill.wire.messages import Claim, ClaimDecision

__all__ = ('GRANTED', 'IN_PROGRESS', 'UNAVAILABLE', 'Acquirer', 'RowReader')

# Each further round needs another writer of the key or a lost answer.
MAX_WRITE_ROUNDS = 16
# A failed read is retried once after this delay.
READ_RETRY_DELAY_S = 0.05
UNAVAILABLE = ClaimDecision('unavailable')
GRANTED = ClaimDecision('granted')
IN_PROGRESS = ClaimDecision('in_progress')


class RowReader:
    """Reads rows with bounded concurrency, so an outage causes few calls."""

    def __init__(self, store: TableService, concurrency: int) -> None:
        """Read from a store; ``concurrency`` bounds the calls in flight."""
        self.store = store
        self.concurrency = asyncio.Semaphore(concurrency)

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Read a row, with one retry."""
        outcome = await self.read_once(key)
        if isinstance(outcome, Ok):
            return outcome
        await asyncio.sleep(READ_RETRY_DELAY_S)
        return await self.read_once(key)

    async def read_once(self, key: str) -> Result[Row | None, Failure]:
        """Read a row without a retry."""
        async with self.concurrency:
            return await self.store.get_row(key)


class Acquirer:
    """Makes the claims of one host in the store."""

    def __init__(
        self,
        writer: BatchWriter,
        reader: RowReader,
        owner: claims.Owner,
        registry: ClaimRegistry,
        tasks: BackgroundTasks,
    ) -> None:
        """Write through a batch writer on behalf of an owner."""
        self.writer = writer
        self.reader = reader
        self.owner = owner
        self.registry = registry
        self.tasks = tasks
        self.is_releasing = False

    def start(self, key: str, message: Claim, now: float) -> ActiveClaim:
        """Start making a claim; its ``task`` returns the decision."""
        active = self.register(key, self.build_row(message, 'running'), now)
        active.task = self.tasks.spawn(self.make_claim(key, active, message))
        return active

    def build_row(self, message: Claim, state: claims.State) -> claims.ClaimRow:
        """Build the row that this owner writes for a claim."""
        return claims.ClaimRow(
            account=message.account,
            request_digest=message.request_digest,
            owner=self.owner.host,
            incarnation=self.owner.incarnation,
            attempt_id=message.attempt_id,
            state=state,
            day=utc_day(),
        )

    def register(
        self, key: str, row: claims.ClaimRow, now: float
    ) -> ActiveClaim:
        """Register a claim, which blocks other claims of the key here."""
        active = ActiveClaim(row, now)
        self.registry.by_key[key] = active
        return active

    async def make_claim(
        self,
        key: str,
        active: ActiveClaim,
        message: Claim,
    ) -> ClaimDecision:
        """Write the claim; keep it active if granted and not withdrawn."""
        try:
            decision = await self.acquire(key, active, message)
        except BaseException:
            self.registry.add_orphan(key, message.attempt_id)
            self.registry.remove(key, active)
            raise
        if decision == GRANTED and not active.withdrawn:
            active.phase = Phase.GRANTED
            return decision
        if decision == GRANTED:
            self.registry.add_orphan(key, message.attempt_id)
            decision = UNAVAILABLE
        self.registry.remove(key, active)
        if key in self.registry.orphans:
            self.start_releasing(key)
        return decision

    async def acquire(
        self,
        key: str,
        active: ActiveClaim,
        message: Claim,
    ) -> ClaimDecision:
        """Write the row if the key is free, in a bounded number of rounds.

        Returns ``granted``, a decision from the row of another attempt, or
        ``unavailable``. The latter makes the attempt an orphan if one of its
        writes may have taken effect.
        """
        decision = await self.acquire_once(key, active, message)
        rounds = 1
        while (
            decision is None
            and rounds < MAX_WRITE_ROUNDS
            and not active.withdrawn
        ):
            decision = await self.acquire_once(key, active, message)
            rounds += 1
        if decision is not None and decision != UNAVAILABLE:
            # The row has passed the version that writes of orphans expect.
            self.registry.orphans.pop(key, None)
            return decision
        if active.uncertain:
            self.registry.add_orphan(key, message.attempt_id)
        return UNAVAILABLE

    async def acquire_once(
        self,
        key: str,
        active: ActiveClaim,
        message: Claim,
    ) -> ClaimDecision | None:
        """Write the row and, on failure, read it; ``None`` means retry."""
        body = claims.encode_row(active.row)
        outcome = await self.writer.write_claim(Put(key, active.version, body))
        if outcome is WriteOutcome.DONE:
            active.version += 1
            return GRANTED
        active.uncertain = active.uncertain or outcome is WriteOutcome.UNCERTAIN
        read = await self.reader.read(key)
        if isinstance(read, Err):
            return UNAVAILABLE
        row_decision = self.decide_from_row(key, read.ok_value, message)
        active.version = row_decision.expected_version
        if row_decision.decision != GRANTED or has_body(read.ok_value, body):
            return row_decision.decision
        return None

    async def read_decision(self, key: str, message: Claim) -> ClaimDecision:
        """Return the decision from the stored row, without writing a claim."""
        read = await self.reader.read(key)
        if isinstance(read, Err):
            return IN_PROGRESS
        return self.decide_from_row(key, read.ok_value, message).decision

    def decide_from_row(
        self,
        key: str,
        stored: Row | None,
        message: Claim,
    ) -> claims.RowDecision:
        """Decide from a stored row and cache it if it is final."""
        orphans = self.registry.orphans.get(key, ())
        owner = dataclasses.replace(self.owner, orphans=orphans)
        row_decision = claims.decide(stored, message, owner)
        if row_decision.decision.status in {'repeat', 'not_stored'}:
            self.registry.answer_cache.put(
                key, claims.decode_row(stored.body).ok_value
            )
        return row_decision

    def start_releasing(self, key: str) -> None:
        """Start releasing orphans in the background, unless already running."""
        log_event(events.CATALOGUE.CLAIM_ORPHANED, key=key)
        if not self.is_releasing:
            self.is_releasing = True
            self.tasks.spawn(self.release_orphans())

    async def release_orphans(self) -> None:
        """Release all orphans, with exponential backoff."""
        limits = self.registry.limits
        retry_s = limits.retry_s
        while self.registry.orphans:
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, limits.max_retry_s)
            if await self.release_once():
                retry_s = limits.retry_s
        self.is_releasing = False

    async def release_once(self) -> bool:
        """Release one orphan and, if that succeeds, the others concurrently."""
        keys = [
            key
            for key in self.registry.orphans
            if key not in self.registry.by_key
        ]
        if not keys or not await self.release_orphan(keys[0]):
            return False
        await asyncio.gather(*(self.release_orphan(key) for key in keys[1:]))
        return True

    async def release_orphan(self, key: str) -> bool:
        """Write a ``released`` row over an orphan, or in its place.

        Without a row yet, a later write of the orphan then fails with a
        version conflict.
        """
        if key in self.registry.by_key or key not in self.registry.orphans:
            return False
        account = key.split('/')[1]
        message = Claim(account, '', '', uuid.uuid4().hex, 0)
        active = self.register(key, self.build_row(message, 'released'), 0)
        attempts = set(self.registry.orphans[key])
        await self.acquire(key, active, message)
        is_released = key not in self.registry.orphans
        if is_released:
            log_event(events.CATALOGUE.CLAIM_RELEASED, key=key)
        else:
            self.registry.orphans[key] = attempts
        self.registry.remove(key, active)
        return is_released


def has_body(stored: Row | None, body: str) -> bool:
    """Return whether a stored row has exactly this body."""
    return stored is not None and stored.body == body
