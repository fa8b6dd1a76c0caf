"""Writes how claimed requests ended, with retries while the store is out."""

import asyncio

from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.ledger import claims
from egretmill.ledger.acquiring import RowReader, holds
from egretmill.ledger.batch import BatchWriter, Written
from egretmill.ledger.held import Held, HeldClaims, Phase, Tasks, utc_day
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
OPEN_STATES = frozenset(('running', 'unknown'))


class Recorder:
    """Records the claims of one host."""

    def __init__(
        self,
        writer: BatchWriter,
        reader: RowReader,
        held: HeldClaims,
        tasks: Tasks,
    ) -> None:
        """Write through a batch writer."""
        self.writer = writer
        self.reader = reader
        self.held = held
        self.tasks = tasks

    async def record(
        self,
        key: str,
        message: RecordAnswer,
        now: float,
    ) -> Result[Acknowledged, Failure]:
        """Record a claim that is held or was made by an earlier run."""
        held = self.held.by_key.get(key)
        if held is None:
            return await self.record_unheld(key, message, now)
        if held.row.attempt_id != message.attempt_id:
            return await self.after_other(held, key, message, now)
        if held.phase is Phase.WRITING:
            return withdraw(held, message)
        return await self.record_held(key, held, message)

    async def record_held(
        self,
        key: str,
        held: Held,
        message: RecordAnswer,
    ) -> Result[Acknowledged, Failure]:
        """Keep a record in memory and wait a bounded time for its write."""
        if not self.keep(key, held, message):
            return NOT_OWNER
        task = held.task
        limit_s = self.held.limits.acknowledge_s
        await asyncio.wait({task}, timeout=limit_s)
        written = task.done() and not task.cancelled()
        return ACKNOWLEDGED if written else NOT_WRITTEN

    def keep(self, key: str, held: Held, message: RecordAnswer) -> bool:
        """Keep a record in memory and write it in the background.

        False when another record that is final was kept before.
        """
        if held.row.state not in OPEN_STATES:
            return held.row.state == message.state
        row = held.row.finished(message, utc_day())
        self.held.replace_row(held, row)
        if held.phase is Phase.GRANTED:
            held.phase = Phase.RECORDING
            held.task = self.tasks.spawn(self.persist(key, held))
        return True

    async def persist(self, key: str, held: Held) -> None:
        """Write a record, with retries until the store shows it.

        Retries have no end while the program lives: without the record,
        repeats at other hosts would see ``in_progress``. They are bounded
        in rate by the backoff and in memory by the limits.
        """
        limits = self.held.limits
        retry_s = limits.retry_s
        while not await self.persist_once(key, held):
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, limits.retry_most_s)
        if held.row.state == 'done':
            self.held.kept.put(key, held.row)
        self.held.drop(key, held)

    async def persist_once(self, key: str, held: Held) -> bool:
        """Try to write a record; true when the store shows it."""
        row = held.row
        put = Put(key, held.version, claims.encode_row(row))
        written = await self.writer.write_record(put)
        if written is Written.DONE:
            held.version += 1
            return row is held.row
        if written is Written.UNCERTAIN:
            return False
        found = await self.reader.read(key)
        if isinstance(found, Err):
            return False
        current = found.ok_value
        held.version = current.version if current else 0
        if holds(current, put.body):
            return row is held.row
        return current is not None and not owned(current, row)

    async def after_other(
        self,
        held: Held,
        key: str,
        message: RecordAnswer,
        now: float,
    ) -> Result[Acknowledged, Failure]:
        """Record once the other attempt that holds the key is settled."""
        limit_s = self.held.limits.acknowledge_s
        try:
            async with asyncio.timeout(limit_s):
                await held.changed.wait()
        except TimeoutError:
            return NOT_WRITTEN
        if key in self.held.by_key:
            return NOT_WRITTEN
        return await self.record_unheld(key, message, now)

    async def record_unheld(
        self,
        key: str,
        message: RecordAnswer,
        now: float,
    ) -> Result[Acknowledged, Failure]:
        """Record a claim of an earlier run of this program."""
        if message.attempt_id in self.held.orphans.get(key, ()):
            return ACKNOWLEDGED if message.state == 'released' else NOT_OWNER
        found = await self.reader.read(key)
        if isinstance(found, Err):
            return NOT_WRITTEN
        row = row_of_attempt(found.ok_value, message.attempt_id)
        if row is None or row.state not in OPEN_STATES:
            return recorded_before(row, message)
        if key in self.held.by_key:
            return NOT_WRITTEN
        held = Held(row, now, Phase.GRANTED, found.ok_value.version)
        self.held.by_key[key] = held
        return await self.record_held(key, held, message)


def withdraw(
    held: Held,
    message: RecordAnswer,
) -> Result[Acknowledged, Failure]:
    """Withdraw a claim that is still being made."""
    if message.state != 'released':
        return NOT_OWNER
    held.withdrawn = True
    return ACKNOWLEDGED


def row_of_attempt(
    found: Row | None, attempt_id: str
) -> claims.ClaimRow | None:
    """Return the claim of a row if it belongs to an attempt."""
    if found is None:
        return None
    row = claims.decode_row(found.body).unwrap_or(None)
    if row is None or row.attempt_id != attempt_id:
        return None
    return row


def owned(found: Row, row: claims.ClaimRow) -> bool:
    """Tell whether a row belongs to the same attempt and is not final."""
    current = row_of_attempt(found, row.attempt_id)
    return current is not None and current.state in OPEN_STATES


def recorded_before(
    row: claims.ClaimRow | None,
    message: RecordAnswer,
) -> Result[Acknowledged, Failure]:
    """Acknowledge a record that is in force already.

    ``released`` is in force whenever the attempt does not own the key.
    """
    if row is None:
        return ACKNOWLEDGED if message.state == 'released' else NOT_OWNER
    return ACKNOWLEDGED if row.state == message.state else NOT_OWNER
