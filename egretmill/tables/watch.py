"""Follows a table of the store and proves how fresh its copy is."""

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
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
#: A shorter rest is not worth a wake-up, in seconds.
LEAST_REST_S = 0.1


class TableListener(Protocol):
    """Takes the rows of a table."""

    def replace(self, rows: tuple[StoredRow, ...]) -> None:
        """Take the whole table; rows that are missing are gone."""
        raise NotImplementedError

    def change(self, row: StoredRow) -> None:
        """Take a changed or removed row."""
        raise NotImplementedError

    def proved(self, sent_at: float) -> None:
        """Note that the copy was current at a boot time."""
        raise NotImplementedError


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPace:
    """How a table is followed.

    :param wait_s: longest wait of a call for a change.
    :param pause_s: time between the start of two calls.
    :param fresh_s: no call while the copy is proved to be younger, which
        peers can do as well.
    """

    wait_s: float
    pause_s: float = 0
    fresh_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchPaces:
    """Pace of a host that follows a table for the others, and of those."""

    on_duty: WatchPace
    off_duty: WatchPace

    @classmethod
    def always(cls, pace: WatchPace) -> 'WatchPaces':
        """Return the same pace for all hosts."""
        return cls(pace, pace)


def never() -> bool:
    """Follow the table for this host only."""
    return False


class TableWatch:
    """Keeps a copy of one table in step with the store.

    A call that was answered proves the state at a moment after the call was
    sent. The copy never goes back to an older version.

    :param proof: of the copy; peers can renew it as well.
    :param on_duty: tells whether this host follows the table for others.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        listener: TableListener,
        paces: WatchPace | WatchPaces,
        now: Callable[[], float] = boot_time,
        proof: Proof | None = None,
        on_duty: Callable[[], bool] = never,
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
        self.position: int | None = None
        self.highest = 0
        self.failures = 0
        self.returned_at = -1.0
        self.poked = asyncio.Event()
        self.rng = random.Random()  # noqa: S311

    @property
    def pace(self) -> WatchPace:
        """Return the pace for now."""
        return self.paces.on_duty if self.on_duty() else self.paces.off_duty

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            self.poked.clear()
            sent_at = self.now()
            if self.take(await self.fetch(), sent_at):
                await self.rest(sent_at + self.pace.pause_s - self.now())
                await self.rest_while_fresh()
            elif self.failures:
                doubled_s = FIRST_PAUSE_S * 2 ** min(self.failures - 1, 4)
                pause_s = min(doubled_s, LONGEST_PAUSE_S)
                # News of peers does not shorten the pause: a store that is
                # away or limits its calls would get more of them.
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1))

    def poke(self) -> None:
        """Look for changes now."""
        self.poked.set()

    async def rest(self, pause_s: float) -> None:
        """Wait for a time, or until somebody knows of a change."""
        if pause_s <= 0:
            return
        try:
            async with asyncio.timeout(pause_s):
                await self.poked.wait()
        except TimeoutError:
            return

    async def rest_while_fresh(self) -> None:
        """Wait while others prove that the copy is current."""
        if self.proof is None or not self.pace.fresh_s:
            return
        if self.poked.is_set():
            return
        left_s = self.pace.fresh_s - self.proof.age(self.now())
        while left_s > 0:
            await self.rest(left_s * self.rng.uniform(0.8, 1))
            if self.poked.is_set():
                return
            left_s = self.pace.fresh_s - self.proof.age(self.now())
            if left_s < LEAST_REST_S:
                return

    async def fetch(self) -> Result[Snapshot | Changes, StoreFailure]:
        """Make the next call.

        The first one after a failure does not wait for a change, because
        its answer is the first proof after an outage.
        """
        if self.position is None:
            return await self.store.read(self.table)
        wait_s = 0 if self.failures else self.pace.wait_s
        return await self.store.changes(self.table, self.position, wait_s)

    def take(
        self,
        answered: Result[Snapshot | Changes, StoreFailure],
        sent_at: float,
    ) -> bool:
        """Apply an answer; return whether it was usable."""
        if isinstance(answered, Err):
            self.fail(answered.err_value)
            return False
        version = answered.ok_value.version
        if version < self.highest:
            log_event(
                events.CATALOGUE.STALE_READ,
                table=self.table,
                version=version,
                known=self.highest,
            )
            self.failures += 1
            return False
        self.recover()
        match answered:
            case Ok(Snapshot(rows)):
                self.listener.replace(rows)
            case Ok(Changes(rows)):
                for row in rows:
                    self.listener.change(row)
        self.position = version
        self.highest = version
        self.listener.proved(sent_at)
        return True

    def fail(self, failure: StoreFailure) -> None:
        """Note a failed call."""
        if failure.problem is StoreProblem.HISTORY_GONE:
            log_event(events.CATALOGUE.HISTORY_GONE, table=self.table)
            self.position = None
            return
        if not self.failures:
            log_event(
                events.CATALOGUE.PLATFORM_LOST,
                table=self.table,
                problem=failure.problem.value,
                detail=failure.detail,
            )
        self.failures += 1

    def recover(self) -> None:
        """Note a call that was answered."""
        if not self.failures:
            return
        log_event(
            events.CATALOGUE.PLATFORM_BACK,
            table=self.table,
            failures=self.failures,
        )
        self.failures = 0
        self.returned_at = self.now()
