"""Keeps a copy of a store's table and tracks the age of the copy."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from result import Err, Result

from egretmill import events
from egretmill.fleet.freshness import Freshness, boot_time
from egretmill.logs import log_event
from egretmill.tables.listener import (
    RowsByKey,
    TableListener,
    adopt_nothing,
    ignore_return,
    keep_stored_rows,
)
from egretmill.tables.polling import (
    PollTiming,
    PollTimings,
    is_never_designated_reader,
)
from egretmill.tables.ports import (
    Changes,
    Snapshot,
    StoredRow,
    StoreFailure,
    StoreProblem,
    TableStore,
)
from egretmill.tables.versions import era_of

__all__ = ('TableWatch',)

#: First and longest pause after a failed call, in seconds.
INITIAL_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
#: Pause after an answer that did not confirm the copy, in seconds.
UNCONFIRMED_PAUSE_S = 0.25
#: With a copy that is younger, failed calls were no outage in which entries
#: can have lapsed, in seconds: an interval of the reads and a few attempts.
MIN_OUTAGE_S = 1.5
#: Time after a return of the store from an older copy in which its writers
#: write again what was lost, in seconds: every host notices the return within
#: 4 s, by the longest time between two reads and the longest retry pause.
SETTLE_S = 5.0
#: A shorter wait is skipped to save the wake-up, in seconds.
MIN_WAIT_S = 0.1


class TableWatch:
    """Keeps a copy of one table up to date with the store.

    The answer to a call shows that the copy was current at some time after
    the call was sent. The copy never goes back to an older version, also when
    the store itself does.

    :param freshness: when the copy was last confirmed to be current, by the
        store or a peer.
    :param is_designated_reader: returns whether this host reads the table on
        behalf of the others.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        listener: TableListener,
        timings: PollTiming | PollTimings,
        now: Callable[[], float] = boot_time,
        freshness: Freshness | None = None,
        is_designated_reader: Callable[[], bool] = is_never_designated_reader,
    ) -> None:
        self.freshness = freshness
        self.is_designated_reader = is_designated_reader
        self.store = store
        self.table = table
        self.listener = listener
        if isinstance(timings, PollTiming):
            timings = PollTimings.for_all_hosts(timings)
        self.timings = timings
        self.now = now
        #: Whether the rows are kept as stored, for :meth:`snapshot`.
        self.keeps_rows = False
        self.rows: RowsByKey = {}
        #: Returns the rows in force, from those of the store and those kept.
        self.rows_in_force: Callable[[RowsByKey, RowsByKey], RowsByKey] = (
            keep_stored_rows
        )
        self.version: int | None = None
        self.highest_version = 0
        self.failures = 0
        #: Boot time at which the last answer was known to be current.
        self.answered_at = -math.inf
        #: When the last outage of the store ended.
        self.recovered_at = -1.0
        self.poll_requested = asyncio.Event()
        self.whole_read_requested = False
        #: Returns the rows of another copy that are newer by their content.
        self.adopt_rows: Callable[[Sequence[StoredRow]], RowsByKey] = (
            adopt_nothing
        )
        #: When to read the whole table, after a return of the store.
        self.settled_at = math.inf
        #: Called when the store has returned from an older copy.
        self.on_restored: Callable[[], None] = ignore_return
        self.rng = random.Random()  # noqa: S311

    @property
    def timing(self) -> PollTiming:
        """Return the intervals for the current role of this host."""
        return (
            self.timings.designated_reader
            if self.is_designated_reader()
            else self.timings.other_hosts
        )

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            self.poll_requested.clear()
            sent_at = self.now()
            if self.apply_answer(await self.fetch(), sent_at):
                await self.pause(sent_at + self.timing.interval_s - self.now())
                await self.wait_while_fresh()
            elif self.failures:
                backoff_s = INITIAL_RETRY_PAUSE_S * 2 ** min(
                    self.failures - 1, 4
                )
                pause_s = min(backoff_s, MAX_RETRY_PAUSE_S)
                # A hint from a peer does not shorten the backoff, because a
                # store that is down or limits its calls would get more calls.
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1))

    def poll_now(self) -> None:
        """Make the next call at once, after a hint of a change."""
        self.poll_requested.set()

    def read_whole_now(self) -> None:
        """Read the whole table with the next call, and make it at once."""
        self.whole_read_requested = True
        self.poll_now()

    async def pause(self, pause_s: float) -> None:
        """Wait for a time; :meth:`poll_now` ends the wait early."""
        if pause_s <= 0:
            return
        try:
            async with asyncio.timeout(pause_s):
                await self.poll_requested.wait()
        except TimeoutError:
            return

    async def wait_while_fresh(self) -> None:
        """Wait while peers confirm that the copy is current."""
        if self.freshness is None or not self.timing.max_age_s:
            return
        if self.poll_requested.is_set():
            return
        remaining_s = self.timing.max_age_s - self.freshness.age(self.now())
        if remaining_s <= 0:
            await self.pause(UNCONFIRMED_PAUSE_S)
        while remaining_s > 0:
            await self.pause(remaining_s * self.rng.uniform(0.8, 1))
            if self.poll_requested.is_set():
                return
            remaining_s = self.timing.max_age_s - self.freshness.age(self.now())
            if remaining_s < MIN_WAIT_S:
                return

    async def fetch(self) -> Result[Snapshot | Changes, StoreFailure]:
        """Read the whole table or the changes since the last answer.

        The first call after a failure does not wait for a change, because
        its answer is the first confirmation after an outage.
        """
        if self.now() >= self.settled_at:
            self.whole_read_requested = True
        if self.version is None or self.whole_read_requested:
            return await self.store.read(self.table)
        wait_s = 0 if self.failures else self.timing.wait_s
        return await self.store.changes(self.table, self.version, wait_s)

    def apply_answer(
        self,
        answer: Result[Snapshot | Changes, StoreFailure],
        sent_at: float,
    ) -> bool:
        """Apply the answer to a call; return whether it was usable."""
        if isinstance(answer, Err):
            self.record_failure(answer.err_value, sent_at)
            return False
        version = answer.ok_value.version
        if version < self.highest_version:
            log_event(
                events.CATALOGUE.STALE_READ,
                table=self.table,
                version=version,
                known=self.highest_version,
            )
            self.failures += 1
            return False
        self.record_recovery(sent_at)
        _log_rows(self, answer.ok_value, self.now() - sent_at)
        self.apply_rows(answer.ok_value)
        self.listener.confirm_current(sent_at)
        return True

    def apply_rows(self, answer: Snapshot | Changes) -> None:
        """Pass rows on to the listener and keep them."""
        match answer:
            case Snapshot():
                self.whole_read_requested = False
                self.apply_snapshot(answer)
            case Changes():
                self.listener.apply_changes(answer)
        if self.keeps_rows:
            self.keep(answer)
        self.version = answer.version
        self.highest_version = answer.version

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Pass a whole table on to the listener.

        Until the time after a return of the store is over, whole reads for
        other reasons do not end what is in force either.
        """
        now = self.now()
        is_restored = _is_restored(snapshot, self.highest_version)
        if is_restored:
            self.settled_at = now + SETTLE_S
            self.recovered_at = now
        if now < self.settled_at < math.inf:
            self.listener.restore_rows(snapshot)
        else:
            self.settled_at = math.inf
            self.listener.replace_rows(snapshot)
        if is_restored:
            self.on_restored()

    def keep(self, answer: Snapshot | Changes) -> None:
        """Keep the rows that are in force after an answer."""
        rows = {} if isinstance(answer, Snapshot) else dict(self.rows)
        for row in answer.rows:
            if row.removed:
                rows.pop(row.key, None)
            else:
                rows[row.key] = row
        self.rows = self.rows_in_force(rows, self.rows)

    def snapshot(self) -> Snapshot | None:
        """Return the copy, ``None`` while there is none."""
        if not self.keeps_rows or not self.highest_version:
            return None
        return Snapshot(tuple(self.rows.values()), self.highest_version)

    def apply_copy(
        self, snapshot: Snapshot, confirmed_at: float, source: str
    ) -> bool:
        """Replace the copy by that of another host if it is newer.

        After a return of the store from an older copy, another host may have
        rows that were in force before and are newer than those of the store.

        :param confirmed_at: boot time at which the other copy was current.
        :param source: name of the other host.
        """
        if snapshot.version <= self.highest_version:
            adopted = self.adopt_rows(snapshot.rows)
            self.rows.update(adopted)
            if adopted and self.freshness is not None:
                self.freshness.replace(confirmed_at, source)
            return bool(adopted)
        self.apply_rows(snapshot)
        self.listener.confirm_current(confirmed_at, source)
        return True

    def record_failure(self, failure: StoreFailure, sent_at: float) -> None:
        """Record a failed call."""
        if failure.problem is StoreProblem.HISTORY_GONE:
            log_event(events.CATALOGUE.HISTORY_GONE, table=self.table)
            self.version = None
            return
        self.failures += 1
        event = (
            events.CATALOGUE.PLATFORM_LOST
            if self.failures == 1
            else events.CATALOGUE.STORE_CALL_FAILED
        )
        log_event(
            event,
            table=self.table,
            problem=failure.problem.value,
            detail=failure.detail,
            failures=self.failures,
            sent_before_s=round(self.now() - sent_at, 3),
        )

    def record_recovery(self, sent_at: float) -> None:
        """Record an answer; log the end of an outage."""
        current_at = self.answered_at
        if self.freshness is not None:
            current_at = max(current_at, self.freshness.confirmed_at)
        self.answered_at = sent_at
        if not self.failures:
            return
        log_event(
            events.CATALOGUE.PLATFORM_BACK,
            table=self.table,
            failures=self.failures,
        )
        self.failures = 0
        if sent_at - current_at >= MIN_OUTAGE_S:
            self.recovered_at = self.now()


def _is_restored(snapshot: Snapshot, known_version: int) -> bool:
    """Return whether a table is from a later era than the copy of it."""
    return 0 < era_of(known_version) < era_of(snapshot.version)


def _log_rows(
    watch: TableWatch, answer: Snapshot | Changes, sent_before_s: float
) -> None:
    """Log an answer that holds rows, with the call that brought it."""
    if not answer.rows:
        return
    log_event(
        events.CATALOGUE.ROWS_READ,
        table=watch.table,
        call=type(answer).__name__.lower(),
        rows=len(answer.rows),
        after=watch.version,
        version=answer.version,
        sent_before_s=round(sent_before_s, 3),
    )
