"""Records the outcome of claimed requests, with retries in an outage."""

import asyncio

from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.ledger import claims
from egretmill.ledger.acquiring import RowReader, has_body
from egretmill.ledger.active_claims import (
    ActiveClaim,
    BackgroundTasks,
    ClaimRegistry,
    Phase,
    utc_day,
)
from egretmill.ledger.batch import BatchWriter, WriteOutcome
from egretmill.store.ports import Put, Row
from egretmill.wire.messages import Acknowledged, RecordAnswer

__all__ = ('Recorder',)

ACKNOWLEDGED = Ok(Acknowledged())
NOT_OWNER = Err(
    Failure(ErrorKind.VERSION_CONFLICT, 'the attempt does not own the key'),
)
NOT_WRITTEN = Err(
    Failure(ErrorKind.PLATFORM_UNAVAILABLE, 'not written yet; send it again'),
)
NON_FINAL_STATES = frozenset(('running', 'unknown'))


class Recorder:
    """Records the outcomes of the claims of one host."""

    def __init__(
        self,
        writer: BatchWriter,
        reader: RowReader,
        registry: ClaimRegistry,
        tasks: BackgroundTasks,
    ) -> None:
        """Write through a batch writer."""
        self.writer = writer
        self.reader = reader
        self.registry = registry
        self.tasks = tasks

    async def record(
        self,
        key: str,
        message: RecordAnswer,
        now: float,
    ) -> Result[Acknowledged, Failure]:
        """Record an active claim, or one of an earlier run of this program."""
        active = self.registry.by_key.get(key)
        if active is None:
            return await self.record_from_store(key, message, now)
        if active.row.attempt_id != message.attempt_id:
            return await self.record_after_other_attempt(
                active, key, message, now
            )
        if active.phase is Phase.WRITING:
            return withdraw_claim(active, message)
        return await self.record_active(key, active, message)

    async def record_active(
        self,
        key: str,
        active: ActiveClaim,
        message: RecordAnswer,
    ) -> Result[Acknowledged, Failure]:
        """Accept a record and wait a bounded time for its write."""
        if not self.accept(key, active, message):
            return NOT_OWNER
        task = active.task
        timeout_s = self.registry.limits.acknowledge_timeout_s
        await asyncio.wait({task}, timeout=timeout_s)
        is_written = task.done() and not task.cancelled()
        return ACKNOWLEDGED if is_written else NOT_WRITTEN

    def accept(
        self, key: str, active: ActiveClaim, message: RecordAnswer
    ) -> bool:
        """Keep a record in memory and start writing it in the background.

        Returns false if a different final record was accepted before.
        """
        if active.row.state not in NON_FINAL_STATES:
            return active.row.state == message.state
        row = active.row.with_outcome(message, utc_day())
        self.registry.replace_row(active, row)
        if active.phase is Phase.GRANTED:
            active.phase = Phase.RECORDING
            active.task = self.tasks.spawn(self.persist(key, active))
        return True

    async def persist(self, key: str, active: ActiveClaim) -> None:
        """Write a record, with retries until it is stored.

        Retries go on as long as the program runs: without the record,
        repeats at other hosts would see ``in_progress``. Backoff bounds their
        rate, and the limits bound their memory.
        """
        limits = self.registry.limits
        retry_s = limits.retry_s
        while not await self.persist_once(key, active):
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, limits.max_retry_s)
        if active.row.state == 'done':
            self.registry.answer_cache.put(key, active.row)
        self.registry.remove(key, active)

    async def persist_once(self, key: str, active: ActiveClaim) -> bool:
        """Write a record once; return whether no further write is needed."""
        row = active.row
        put = Put(key, active.version, claims.encode_row(row))
        outcome = await self.writer.write_record(put)
        if outcome is WriteOutcome.DONE:
            active.version += 1
            return row is active.row
        if outcome is WriteOutcome.UNCERTAIN:
            return False
        read = await self.reader.read(key)
        if isinstance(read, Err):
            return False
        current = read.ok_value
        active.version = current.version if current else 0
        if has_body(current, put.body):
            return row is active.row
        return current is not None and not is_still_owned(current, row)

    async def record_after_other_attempt(
        self,
        active: ActiveClaim,
        key: str,
        message: RecordAnswer,
        now: float,
    ) -> Result[Acknowledged, Failure]:
        """Record after another active attempt of the key has ended."""
        timeout_s = self.registry.limits.acknowledge_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await active.changed.wait()
        except TimeoutError:
            return NOT_WRITTEN
        if key in self.registry.by_key:
            return NOT_WRITTEN
        return await self.record_from_store(key, message, now)

    async def record_from_store(
        self,
        key: str,
        message: RecordAnswer,
        now: float,
    ) -> Result[Acknowledged, Failure]:
        """Record a claim that is not active, from its stored row."""
        if message.attempt_id in self.registry.orphans.get(key, ()):
            return ACKNOWLEDGED if message.state == 'released' else NOT_OWNER
        read = await self.reader.read(key)
        if isinstance(read, Err):
            return NOT_WRITTEN
        row = row_of_attempt(read.ok_value, message.attempt_id)
        if row is None or row.state not in NON_FINAL_STATES:
            return reply_for_final_state(row, message)
        if key in self.registry.by_key:
            return NOT_WRITTEN
        active = ActiveClaim(row, now, Phase.GRANTED, read.ok_value.version)
        self.registry.by_key[key] = active
        return await self.record_active(key, active, message)


def withdraw_claim(
    active: ActiveClaim,
    message: RecordAnswer,
) -> Result[Acknowledged, Failure]:
    """Withdraw a claim whose row is still being written."""
    if message.state != 'released':
        return NOT_OWNER
    active.withdrawn = True
    return ACKNOWLEDGED


def row_of_attempt(
    stored: Row | None, attempt_id: str
) -> claims.ClaimRow | None:
    """Return the claim in a stored row if it belongs to an attempt."""
    if stored is None:
        return None
    row = claims.decode_row(stored.body).unwrap_or(None)
    if row is None or row.attempt_id != attempt_id:
        return None
    return row


def is_still_owned(stored: Row, row: claims.ClaimRow) -> bool:
    """Return whether a stored row is of the same attempt and not final."""
    current = row_of_attempt(stored, row.attempt_id)
    return current is not None and current.state in NON_FINAL_STATES


def reply_for_final_state(
    row: claims.ClaimRow | None,
    message: RecordAnswer,
) -> Result[Acknowledged, Failure]:
    """Acknowledge a record that agrees with the final stored state.

    ``released`` agrees whenever the attempt does not own the key.
    """
    if row is None:
        return ACKNOWLEDGED if message.state == 'released' else NOT_OWNER
    return ACKNOWLEDGED if row.state == message.state else NOT_OWNER
