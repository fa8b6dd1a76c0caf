"""Writes claims until their outcome is certain, and settles orphans."""

import asyncio
import dataclasses
import uuid

from result import Err, Ok, Result

from egretmill import events
from egretmill.errors import Failure
from egretmill.ledger import claims
from egretmill.ledger.batch import BatchWriter, Written
from egretmill.ledger.held import Held, HeldClaims, Phase, Tasks, utc_day
from egretmill.logs import log_event
from egretmill.store.ports import Put, Row, TableService
from egretmill.wire.messages import Claim, ClaimDecision

__all__ = ('GRANTED', 'IN_PROGRESS', 'UNAVAILABLE', 'Acquirer', 'RowReader')

# A round more needs another writer of the same key or a lost answer.
MAX_ROUNDS = 16
# A read that fails once in a short disturbance is tried again after this.
READ_PAUSE_S = 0.05
UNAVAILABLE = ClaimDecision('unavailable')
GRANTED = ClaimDecision('granted')
IN_PROGRESS = ClaimDecision('in_progress')


class RowReader:
    """Reads rows, a bounded number at once, so an outage costs few calls."""

    def __init__(self, store: TableService, at_once: int) -> None:
        """Read from a store."""
        self.store = store
        self.at_once = asyncio.Semaphore(at_once)

    async def read(self, key: str) -> Result[Row | None, Failure]:
        """Read a row, with a second attempt."""
        found = await self.read_once(key)
        if isinstance(found, Ok):
            return found
        await asyncio.sleep(READ_PAUSE_S)
        return await self.read_once(key)

    async def read_once(self, key: str) -> Result[Row | None, Failure]:
        """Read a row."""
        async with self.at_once:
            return await self.store.get_row(key)


class Acquirer:
    """Makes the claims of one host in the store."""

    def __init__(
        self,
        writer: BatchWriter,
        reader: RowReader,
        owner: claims.Owner,
        held: HeldClaims,
        tasks: Tasks,
    ) -> None:
        """Write through a batch writer on behalf of an owner."""
        self.writer = writer
        self.reader = reader
        self.owner = owner
        self.held = held
        self.tasks = tasks
        self.settling = False

    def start(self, key: str, message: Claim, now: float) -> Held:
        """Start to make a claim; its ``task`` returns the decision."""
        held = self.hold(key, self.row_of(message, 'running'), now)
        held.task = self.tasks.spawn(self.make_claim(key, held, message))
        return held

    def row_of(self, message: Claim, state: claims.State) -> claims.ClaimRow:
        """Return the row that this owner writes for a claim."""
        return claims.ClaimRow(
            account=message.account,
            request_digest=message.request_digest,
            owner=self.owner.host,
            incarnation=self.owner.incarnation,
            attempt_id=message.attempt_id,
            state=state,
            day=utc_day(),
        )

    def hold(self, key: str, row: claims.ClaimRow, now: float) -> Held:
        """Keep other claims of the key out until the row is settled."""
        held = Held(row, now)
        self.held.by_key[key] = held
        return held

    async def make_claim(
        self,
        key: str,
        held: Held,
        message: Claim,
    ) -> ClaimDecision:
        """Write the claim; keep it if granted and still wanted."""
        try:
            decision = await self.acquire(key, held, message)
        except BaseException:
            self.held.orphan(key, message.attempt_id)
            self.held.drop(key, held)
            raise
        if decision == GRANTED and not held.withdrawn:
            held.phase = Phase.GRANTED
            return decision
        if decision == GRANTED:
            self.held.orphan(key, message.attempt_id)
            decision = UNAVAILABLE
        self.held.drop(key, held)
        if key in self.held.orphans:
            self.start_settling(key)
        return decision

    async def acquire(
        self,
        key: str,
        held: Held,
        message: Claim,
    ) -> ClaimDecision:
        """Write the row where the key is free.

        Returns ``granted``, a decision from another owner's row, or
        ``unavailable``, which makes the attempt an orphan when one of its
        writes may have taken effect.
        """
        decision = await self.acquire_once(key, held, message)
        rounds = 1
        while decision is None and rounds < MAX_ROUNDS and not held.withdrawn:
            decision = await self.acquire_once(key, held, message)
            rounds += 1
        if decision is not None and decision != UNAVAILABLE:
            # The row is beyond the version that orphans expected.
            self.held.orphans.pop(key, None)
            return decision
        if held.uncertain:
            self.held.orphan(key, message.attempt_id)
        return UNAVAILABLE

    async def acquire_once(
        self,
        key: str,
        held: Held,
        message: Claim,
    ) -> ClaimDecision | None:
        """Write the row and read it back; ``None`` to try again."""
        body = claims.encode_row(held.row)
        written = await self.writer.write_claim(Put(key, held.version, body))
        if written is Written.DONE:
            held.version += 1
            return GRANTED
        held.uncertain = held.uncertain or written is Written.UNCERTAIN
        found = await self.reader.read(key)
        if isinstance(found, Err):
            return UNAVAILABLE
        verdict = self.verdict(key, found.ok_value, message)
        held.version = verdict.replaces
        if verdict.decision != GRANTED or holds(found.ok_value, body):
            return verdict.decision
        return None

    async def peek(self, key: str, message: Claim) -> ClaimDecision:
        """Read how a claim would be decided; ``granted`` is not written."""
        found = await self.reader.read(key)
        if isinstance(found, Err):
            return IN_PROGRESS
        return self.verdict(key, found.ok_value, message).decision

    def verdict(
        self,
        key: str,
        found: Row | None,
        message: Claim,
    ) -> claims.Verdict:
        """Decide from a row and keep the answer that it holds."""
        orphans = self.held.orphans.get(key, ())
        owner = dataclasses.replace(self.owner, orphans=orphans)
        verdict = claims.decide(found, message, owner)
        if verdict.decision.status in {'repeat', 'not_stored'}:
            self.held.kept.put(key, claims.decode_row(found.body).ok_value)
        return verdict

    def start_settling(self, key: str) -> None:
        """Settle orphans in the background until none is left."""
        log_event(events.CATALOGUE.CLAIM_ORPHANED, key=key)
        if not self.settling:
            self.settling = True
            self.tasks.spawn(self.settle_orphans())

    async def settle_orphans(self) -> None:
        """Release orphaned claims, with retries until none is left."""
        limits = self.held.limits
        retry_s = limits.retry_s
        while self.held.orphans:
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, limits.retry_most_s)
            if await self.settle_once():
                retry_s = limits.retry_s
        self.settling = False

    async def settle_once(self) -> bool:
        """Release one orphan and, if that succeeds, all others at once."""
        keys = [key for key in self.held.orphans if key not in self.held.by_key]
        if not keys or not await self.release(keys[0]):
            return False
        await asyncio.gather(*(self.release(key) for key in keys[1:]))
        return True

    async def release(self, key: str) -> bool:
        """Write ``released`` over an orphan or where it would appear."""
        if key in self.held.by_key or key not in self.held.orphans:
            return False
        account = key.split('/')[1]
        message = Claim(account, '', '', uuid.uuid4().hex, 0)
        held = self.hold(key, self.row_of(message, 'released'), 0)
        attempts = set(self.held.orphans[key])
        await self.acquire(key, held, message)
        settled = key not in self.held.orphans
        if settled:
            log_event(events.CATALOGUE.CLAIM_RELEASED, key=key)
        else:
            self.held.orphans[key] = attempts
        self.held.drop(key, held)
        return settled


def holds(found: Row | None, body: str) -> bool:
    """Tell whether a row holds exactly what was written."""
    return found is not None and found.body == body
