"""Keeps a copy of a store's table and tracks the age of the copy."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from egretmill import events
from egretmill.fleet.freshness import Proof, boot_time
from egretmill.logs import log_event
from egretmill.tables.ports import (
    Changes,
    Snapshot,
    StoredRow,
    StoreFailure,
    StoreProblem,
    TableStore,
)

__all__ = ('TableListener', 'TableWatch', 'WatchPace', 'WatchPaces')

#: First and longest pause after a failed call, in seconds.
INITIAL_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
#: A shorter wait is not worth a wake-up, in seconds.
MIN_WAIT_S = 0.1


class TableListener(Protocol):
    """Receives the rows of a table."""

    def replace(self, rows: tuple[StoredRow, ...]) -> None:
        """Replace the whole table; rows that are missing were removed."""
        raise NotImplementedError

    def change(self, row: StoredRow) -> None:
        """Apply a changed or removed row."""
        raise NotImplementedError

    def proved(self, sent_at: float) -> None:
        """Record that the copy was current at ``sent_at``, a boot time."""
        raise NotImplementedError


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPace:
    """How often a table is polled.

    :param wait_s: long poll: longest wait of a call for a change.
    :param pause_s: shortest time between the starts of two calls.
    :param fresh_s: no call while the copy is proved to be younger than
        this; peers can provide the proof as well.
    """

    wait_s: float
    pause_s: float = 0
    fresh_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPaces:
    """How often hosts on and off duty poll a table.

    A host on duty polls the table on behalf of other hosts as well.
    """

    on_duty: WatchPace
    off_duty: WatchPace

    @classmethod
    def always(cls, pace: WatchPace) -> 'WatchPaces':
        """Return the same intervals for hosts on and off duty."""
        return cls(pace, pace)


def is_never_on_duty() -> bool:
    """Return False: this host follows the table for itself only."""
    return False


class TableWatch:
    """Keeps a copy of one table up to date with the store.

    The answer to a call proves that the copy was current at some time after
    the call was sent. The copy never goes back to an older version.

    :param proof: proof that the copy is current; peers can renew it as well.
    :param on_duty: returns whether this host follows the table for others.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        listener: TableListener,
        paces: WatchPace | WatchPaces,
        now: Callable[[], float] = boot_time,
        proof: Proof | None = None,
        on_duty: Callable[[], bool] = is_never_on_duty,
    ) -> None:
        self.proof = proof
        self.on_duty = on_duty
        self.store = store
        self.table = table
        self.listener = listener
        if isinstance(paces, WatchPace):
            paces = WatchPaces.always(paces)
        self.paces = paces
        self.now = now
        self.version: int | None = None
        self.highest = 0
        self.failures = 0
        self.returned_at = -1.0
        self.woken = asyncio.Event()
        self.rng = random.Random()  # noqa: S311

    @property
    def pace(self) -> WatchPace:
        """Return the intervals for the present duty of this host."""
        return self.paces.on_duty if self.on_duty() else self.paces.off_duty

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            self.woken.clear()
            sent_at = self.now()
            if self.apply_answer(await self.fetch(), sent_at):
                await self.wait_for_wake(
                    sent_at + self.pace.pause_s - self.now()
                )
                await self.wait_while_fresh()
            elif self.failures:
                backoff_s = INITIAL_RETRY_PAUSE_S * 2 ** min(
                    self.failures - 1, 4
                )
                pause_s = min(backoff_s, MAX_RETRY_PAUSE_S)
                # A hint from a peer does not shorten the backoff, because a
                # store that is down or limits its calls would get more calls.
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1))

    def poke(self) -> None:
        """Make the next call at once, after a hint of a change."""
        self.woken.set()

    async def wait_for_wake(self, pause_s: float) -> None:
        """Wait for a time; :meth:`poke` ends the wait early."""
        if pause_s <= 0:
            return
        try:
            async with asyncio.timeout(pause_s):
                await self.woken.wait()
        except TimeoutError:
            return

    async def wait_while_fresh(self) -> None:
        """Wait while peers prove that the copy is current."""
        if self.proof is None or not self.pace.fresh_s:
            return
        if self.woken.is_set():
            return
        remaining_s = self.pace.fresh_s - self.proof.age(self.now())
        while remaining_s > 0:
            await self.wait_for_wake(remaining_s * self.rng.uniform(0.8, 1))
            if self.woken.is_set():
                return
            remaining_s = self.pace.fresh_s - self.proof.age(self.now())
            if remaining_s < MIN_WAIT_S:
                return

    async def fetch(self) -> Result[Snapshot | Changes, StoreFailure]:
        """Read the whole table or the changes since the last answer.

        The first call after a failure does not wait for a change, because
        its answer is the first proof after an outage.
        """
        if self.version is None:
            return await self.store.read(self.table)
        wait_s = 0 if self.failures else self.pace.wait_s
        return await self.store.changes(self.table, self.version, wait_s)

    def apply_answer(
        self,
        answer: Result[Snapshot | Changes, StoreFailure],
        sent_at: float,
    ) -> bool:
        """Apply the answer to a call; return whether it was usable."""
        if isinstance(answer, Err):
            self.record_failure(answer.err_value)
            return False
        version = answer.ok_value.version
        if version < self.highest:
            log_event(
                events.CATALOGUE.STALE_READ,
                table=self.table,
                version=version,
                known=self.highest,
            )
            self.failures += 1
            return False
        self.record_recovery()
        match answer:
            case Ok(Snapshot(rows)):
                self.listener.replace(rows)
            case Ok(Changes(rows)):
                for row in rows:
                    self.listener.change(row)
        self.version = version
        self.highest = version
        self.listener.proved(sent_at)
        return True

    def record_failure(self, failure: StoreFailure) -> None:
        """Record a failed call."""
        if failure.problem is StoreProblem.HISTORY_GONE:
            log_event(events.CATALOGUE.HISTORY_GONE, table=self.table)
            self.version = None
            return
        if not self.failures:
            log_event(
                events.CATALOGUE.PLATFORM_LOST,
                table=self.table,
                problem=failure.problem.value,
                detail=failure.detail,
            )
        self.failures += 1

    def record_recovery(self) -> None:
        """Record an answer; log the end of an outage."""
        if not self.failures:
            return
        log_event(
            events.CATALOGUE.PLATFORM_BACK,
            table=self.table,
            failures=self.failures,
        )
        self.failures = 0
        self.returned_at = self.now()
