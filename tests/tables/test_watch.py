"""Polling a table of the store through each kind of failure."""

import pytest
import asyncio
import contextlib
import dataclasses
import logging

from result import Err, Ok

from egretmill.fleet.freshness import Freshness
from egretmill.tables import (
    Changes,
    PollTiming,
    PollTimings,
    Snapshot,
    StoredRow,
    StoreFailure,
    StoreProblem,
    TableWatch,
)

ROW = StoredRow('a', b'1', 5)


@dataclasses.dataclass
class RecordingListener:
    """Records what the watch passes on."""

    snapshots: list = dataclasses.field(default_factory=list)
    changed_rows: list = dataclasses.field(default_factory=list)
    confirmation_times: list = dataclasses.field(default_factory=list)

    def replace_rows(self, snapshot):
        """Record a whole table."""
        self.snapshots.append(snapshot.rows)

    def restore_rows(self, snapshot):
        """Take the table as any other."""
        self.replace_rows(snapshot)

    def apply_changes(self, changes):
        """Record changed rows."""
        self.changed_rows.extend(changes.rows)

    def confirm_current(self, sent_at, source='store'):
        """Record the time of a confirmation."""
        self.confirmation_times.append(sent_at)


class ScriptedStore:
    """A store that answers from a list; each call takes one second."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.wait_times_s = []
        self.current_time = 0.0

    def now(self):
        """Return the time."""
        return self.current_time

    async def read(self, table):
        """Return the next answer."""
        return self.next_answer('read')

    async def changes(self, table, after, wait_s):
        """Record the longest wait and return the next answer."""
        self.wait_times_s.append(wait_s)
        return self.next_answer(f'after {after}')

    def next_answer(self, call):
        """Return the next answer, which comes a second later."""
        self.calls.append(call)
        self.current_time += 1
        if not self.answers:
            raise asyncio.CancelledError
        return self.answers.pop(0)


async def run_watch(*answers):
    """Run a watch until there are no answers left."""
    store = ScriptedStore(*answers)
    listener = RecordingListener()
    watch = TableWatch(store, 't', listener, PollTiming(0), store.now)
    try:
        await watch.run()
    except asyncio.CancelledError:
        pass
    return store, listener, watch


def failed_answer(problem):
    """Return the answer of a failed call."""
    return Err(StoreFailure(problem))


async def test_changes_follow_the_first_read():
    """Guards against changes that are lost between two calls."""
    store, listener, _ = await run_watch(
        Ok(Snapshot((ROW,), 7)),
        Ok(Changes((ROW,), 9)),
    )
    assert store.calls == ['read', 'after 7', 'after 9']
    assert (listener.snapshots, listener.changed_rows) == ([(ROW,)], [ROW])


async def test_confirmation_counts_from_when_the_call_was_sent():
    """Guards against a copy that counts as fresher than it is.

    The time in flight of a call must not be left out.
    """
    _, listener, _ = await run_watch(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    assert listener.confirmation_times == [0.0, 1.0]


async def test_lost_history_leads_to_a_full_read():
    """Guards against removed rows that stay in the copy.

    Their removal was among the changes that the store no longer keeps.
    """
    store, listener, _ = await run_watch(
        Ok(Snapshot((ROW,), 7)),
        failed_answer(StoreProblem.HISTORY_GONE),
        Ok(Snapshot((), 9)),
    )
    assert store.calls == ['read', 'after 7', 'read', 'after 9']
    assert listener.snapshots == [(ROW,), ()]


async def test_failed_call_confirms_nothing_and_is_repeated():
    """Guards against a confirmation from an answer that never came."""
    store, listener, watch = await run_watch(
        Ok(Snapshot((), 7)),
        failed_answer(StoreProblem.UNANSWERED),
        failed_answer(StoreProblem.LIMITED),
        Ok(Changes((), 8)),
    )
    assert store.calls == ['read', 'after 7', 'after 7', 'after 7', 'after 8']
    assert listener.confirmation_times == [0.0, 3.0]
    assert watch.recovered_at == pytest.approx(4.0)


async def test_first_call_after_a_failure_does_not_wait():
    """Guards against an outage that seems to last until the next change."""
    store = ScriptedStore(
        Ok(Snapshot((), 1)),
        failed_answer(StoreProblem.UNAVAILABLE),
        Ok(Changes((), 1)),
    )
    watch = TableWatch(
        store, 't', RecordingListener(), PollTiming(9), store.now
    )
    with contextlib.suppress(asyncio.CancelledError):
        await watch.run()
    assert store.wait_times_s == [9, 0, 9]


async def test_older_version_changes_nothing():
    """Guards against a copy that goes back to an older version."""
    _, listener, watch = await run_watch(
        Ok(Snapshot((ROW,), 7)),
        failed_answer(StoreProblem.HISTORY_GONE),
        Ok(Snapshot((), 6)),
    )
    assert listener.snapshots == [(ROW,)]
    assert listener.confirmation_times == [0.0]
    assert watch.highest_version == 7


async def test_poll_request_ends_the_pause():
    """Guards against a change that a peer announced but that is not read."""
    store = ScriptedStore(Ok(Snapshot((), 1)))
    watch = TableWatch(
        store, 't', RecordingListener(), PollTiming(0, 30), store.now
    )
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.01)
    assert store.calls == ['read']
    watch.poll_now()
    await asyncio.wait((task,), timeout=1)
    assert store.calls == ['read', 'after 1']


async def test_no_call_while_peers_confirm_the_copy():
    """Guards against every host polling the store all the time."""
    store = ScriptedStore(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    freshness = Freshness()
    timing = PollTiming(0, max_age_s=30)
    watch = TableWatch(
        store, 't', RecordingListener(), timing, store.now, freshness
    )
    freshness.confirm(1.0)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.02)
    assert store.calls == ['read']
    watch.poll_now()
    await asyncio.wait((task,), timeout=0.1)
    assert store.calls[:2] == ['read', 'after 1']
    task.cancel()


async def test_stale_copy_is_read_again():
    """Guards against waiting for peers that no longer confirm the copy."""
    store = ScriptedStore(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    timing = PollTiming(0, max_age_s=3)
    watch = TableWatch(
        store, 't', RecordingListener(), timing, store.now, Freshness()
    )
    task = asyncio.create_task(watch.run())
    await asyncio.wait((task,), timeout=1)
    assert store.calls == ['read', 'after 1', 'after 1']


async def test_designated_reader_polls_despite_confirmations_of_peers():
    """Guards against hosts that all wait for one another's confirmations."""
    store = ScriptedStore(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    freshness = Freshness()
    freshness.confirm(9.0)
    timings = PollTimings(
        designated_reader=PollTiming(0),
        other_hosts=PollTiming(0, max_age_s=30),
    )
    watch = TableWatch(
        store,
        't',
        RecordingListener(),
        timings,
        store.now,
        freshness,
        is_designated_reader=lambda: True,
    )
    task = asyncio.create_task(watch.run())
    await asyncio.wait((task,), timeout=1)
    assert store.calls[:2] == ['read', 'after 1']


async def test_poll_request_does_not_shorten_the_backoff():
    """Guards against more calls to a store that is down."""
    store = ScriptedStore(
        failed_answer(StoreProblem.UNAVAILABLE), Ok(Snapshot((), 1))
    )
    watch = TableWatch(
        store, 't', RecordingListener(), PollTiming(9), store.now
    )
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.01)
    watch.poll_now()
    await asyncio.sleep(0.01)
    assert store.calls == ['read']
    task.cancel()


async def test_one_poll_request_leads_to_one_call():
    """Guards against a host that polls the store without a pause.

    One request to poll made every further call follow at once (krc-rota
    quiet-1: 30,247 calls in place of 611 after the first change).
    """
    answers = [Ok(Changes((), 1)) for _ in range(9)]
    store = ScriptedStore(Ok(Snapshot((), 1)), *answers)
    freshness = Freshness()
    freshness.confirm(20.0)
    timing = PollTiming(0, max_age_s=30)
    watch = TableWatch(
        store, 't', RecordingListener(), timing, store.now, freshness
    )
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.01)
    watch.poll_now()
    await asyncio.sleep(0.05)
    assert store.calls == ['read', 'after 1']
    task.cancel()


async def test_log_shows_each_failed_call_and_what_brought_the_rows(caplog):
    """Guards against an outage of which only the first failure is logged."""
    caplog.set_level(logging.INFO, 'egretmill')
    await run_watch(
        Ok(Snapshot((), 7)),
        failed_answer(StoreProblem.UNANSWERED),
        failed_answer(StoreProblem.UNANSWERED),
        Ok(Changes((ROW,), 8)),
    )
    assert [
        (line.getMessage(), line.fields['sent_before_s'])
        for line in caplog.records
        if 'sent_before_s' in line.fields
    ] == [
        ('platform_lost', 1.0),
        ('store_call_failed', 1.0),
        ('rows_read', 1.0),
    ]


async def test_answers_that_confirm_nothing_do_not_cause_calls_without_end():
    """Guards against polling in a loop while a row cannot be decoded."""
    answers = [Ok(Snapshot((), 1)), *[Ok(Changes((), 1))] * 50]
    store = ScriptedStore(*answers)
    timing = PollTiming(0, max_age_s=2)
    watch = TableWatch(
        store, 't', RecordingListener(), timing, store.now, Freshness()
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.2):
            await watch.run()
    assert store.calls == ['read']


async def test_copy_of_another_host_is_followed_by_its_changes():
    """Guards against changes that are lost or come twice after a copy."""
    store = ScriptedStore(
        Ok(Snapshot((ROW,), 7)),
        Ok(Changes((StoredRow('b', b'2', 14),), 14)),
        Ok(Changes((StoredRow('a', b'', 15, removed=True),), 15)),
    )
    watch = TableWatch(store, 't', RecordingListener(), PollTiming(0))
    watch.keeps_rows = True
    watch.apply_answer(await watch.fetch(), 0)
    copy = Snapshot((ROW, StoredRow('c', b'3', 11)), 12)
    assert watch.apply_copy(copy, 0, 'h2')
    watch.apply_answer(await watch.fetch(), 0)
    watch.apply_answer(await watch.fetch(), 0)
    assert store.calls == ['read', 'after 12', 'after 14']
    assert {row.key for row in watch.snapshot().rows} == {'b', 'c'}


async def test_answer_from_before_a_copy_is_not_applied():
    """Guards against rows that go back to an older state after a copy."""
    store = ScriptedStore(Ok(Snapshot((), 7)), Ok(Changes((ROW,), 8)))
    listener = RecordingListener()
    watch = TableWatch(store, 't', listener, PollTiming(0))
    watch.apply_answer(await watch.fetch(), 0)
    answer = await watch.fetch()
    watch.apply_copy(Snapshot((), 12), 0, 'h2')
    assert not watch.apply_answer(answer, 0)
    assert (listener.changed_rows, watch.version) == ([], 12)


async def test_requested_whole_read_is_repeated_until_it_succeeds():
    """Guards against a difference that stays because one read failed."""
    store, listener, watch = await run_watch(
        Ok(Snapshot((ROW,), 7)), Ok(Changes((), 8))
    )
    watch.store = ScriptedStore(
        failed_answer(StoreProblem.UNAVAILABLE),
        Ok(Snapshot((), 9)),
        Ok(Changes((), 9)),
    )
    watch.read_whole_now()
    with contextlib.suppress(asyncio.CancelledError):
        await watch.run()
    assert watch.store.calls[:3] == ['read', 'read', 'after 9']
    assert listener.snapshots == [(ROW,), ()]
