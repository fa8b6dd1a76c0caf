"""Following a table through every failure of the store."""

import pytest
import asyncio
import contextlib
import dataclasses

from result import Err, Ok

from egretmill.fleet.freshness import Proof
from egretmill.tables import (
    Changes,
    Snapshot,
    StoredRow,
    StoreFailure,
    StoreProblem,
    TableWatch,
    WatchPace,
    WatchPaces,
)

ROW = StoredRow('a', b'1', 5)


@dataclasses.dataclass
class Listener:
    """Keeps what the watch tells."""

    replaced: list = dataclasses.field(default_factory=list)
    changed: list = dataclasses.field(default_factory=list)
    proofs: list = dataclasses.field(default_factory=list)

    def replace(self, rows):
        """Keep a table."""
        self.replaced.append(rows)

    def change(self, row):
        """Keep a row."""
        self.changed.append(row)

    def proved(self, sent_at):
        """Keep a proof."""
        self.proofs.append(sent_at)


class Script:
    """A store that answers from a list; the time moves with each call."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.waits = []
        self.time = 0.0

    def now(self):
        """Return the time."""
        return self.time

    async def read(self, table):
        """Answer a read."""
        return self.next('read')

    async def changes(self, table, after, wait_s):
        """Answer a question for changes."""
        self.waits.append(wait_s)
        return self.next(f'after {after}')

    def next(self, call):
        """Take the next answer, which comes a second later."""
        self.calls.append(call)
        self.time += 1
        if not self.answers:
            raise asyncio.CancelledError
        return self.answers.pop(0)


async def follow(*answers):
    """Run a watch until the script ends."""
    store = Script(*answers)
    listener = Listener()
    watch = TableWatch(store, 't', listener, WatchPace(0), store.now)
    try:
        await watch.run()
    except asyncio.CancelledError:
        pass
    return store, listener, watch


def failure(problem):
    """Return a failed call."""
    return Err(StoreFailure(problem))


async def test_changes_follow_the_first_read():
    """Guards against changes that are missed between two calls."""
    store, listener, _ = await follow(
        Ok(Snapshot((ROW,), 7)),
        Ok(Changes((ROW,), 9)),
    )
    assert store.calls == ['read', 'after 7', 'after 9']
    assert (listener.replaced, listener.changed) == ([(ROW,)], [ROW])


async def test_proof_counts_from_when_the_call_was_sent():
    """Guards against knowledge that is taken for fresher than it is."""
    _, listener, _ = await follow(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    assert listener.proofs == [0.0, 1.0]


async def test_lost_history_leads_to_a_whole_read():
    """Guards against rows that are gone and never dropped."""
    store, listener, _ = await follow(
        Ok(Snapshot((ROW,), 7)),
        failure(StoreProblem.HISTORY_GONE),
        Ok(Snapshot((), 9)),
    )
    assert store.calls == ['read', 'after 7', 'read', 'after 9']
    assert listener.replaced == [(ROW,), ()]


async def test_failed_call_proves_nothing_and_is_repeated():
    """Guards against a proof from an answer that never came."""
    store, listener, watch = await follow(
        Ok(Snapshot((), 7)),
        failure(StoreProblem.UNANSWERED),
        failure(StoreProblem.LIMITED),
        Ok(Changes((), 8)),
    )
    assert store.calls == ['read', 'after 7', 'after 7', 'after 7', 'after 8']
    assert listener.proofs == [0.0, 3.0]
    assert watch.returned_at == pytest.approx(4.0)


async def test_first_call_after_a_failure_does_not_wait():
    """Guards against an outage that lasts longer for want of a change."""
    store = Script(
        Ok(Snapshot((), 1)),
        failure(StoreProblem.UNAVAILABLE),
        Ok(Changes((), 1)),
    )
    watch = TableWatch(store, 't', Listener(), WatchPace(9), store.now)
    with contextlib.suppress(asyncio.CancelledError):
        await watch.run()
    assert store.waits == [9, 0, 9]


async def test_older_state_changes_nothing():
    """Guards against a copy that goes back to an older version."""
    _, listener, watch = await follow(
        Ok(Snapshot((ROW,), 7)),
        failure(StoreProblem.HISTORY_GONE),
        Ok(Snapshot((), 6)),
    )
    assert listener.replaced == [(ROW,)]
    assert listener.proofs == [0.0]
    assert watch.highest == 7


async def test_poke_ends_the_pause():
    """Guards against news of a peer that waits for the next call."""
    store = Script(Ok(Snapshot((), 1)))
    watch = TableWatch(store, 't', Listener(), WatchPace(0, 30), store.now)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.01)
    assert store.calls == ['read']
    watch.poke()
    await asyncio.wait((task,), timeout=1)
    assert store.calls == ['read', 'after 1']


async def test_no_call_while_peers_prove_the_copy():
    """Guards against a store that every host asks all the time."""
    store = Script(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    proof = Proof()
    pace = WatchPace(0, fresh_s=30)
    watch = TableWatch(store, 't', Listener(), pace, store.now, proof)
    proof.confirm(1.0)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.02)
    assert store.calls == ['read']
    watch.poke()
    await asyncio.wait((task,), timeout=0.1)
    assert store.calls[:2] == ['read', 'after 1']
    task.cancel()


async def test_outdated_copy_is_read_again():
    """Guards against trusting peers that prove nothing any more."""
    store = Script(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    pace = WatchPace(0, fresh_s=3)
    watch = TableWatch(store, 't', Listener(), pace, store.now, Proof())
    task = asyncio.create_task(watch.run())
    await asyncio.wait((task,), timeout=1)
    assert store.calls == ['read', 'after 1', 'after 1']


async def test_host_on_duty_reads_although_peers_prove_the_copy():
    """Guards against hosts that all wait for one another."""
    store = Script(Ok(Snapshot((), 1)), Ok(Changes((), 1)))
    proof = Proof()
    proof.confirm(9.0)
    paces = WatchPaces(
        on_duty=WatchPace(0),
        off_duty=WatchPace(0, fresh_s=30),
    )
    watch = TableWatch(
        store,
        't',
        Listener(),
        paces,
        store.now,
        proof,
        on_duty=lambda: True,
    )
    task = asyncio.create_task(watch.run())
    await asyncio.wait((task,), timeout=1)
    assert store.calls[:2] == ['read', 'after 1']


async def test_news_does_not_shorten_the_pause_after_a_failure():
    """Guards against more calls to a store that is away."""
    store = Script(failure(StoreProblem.UNAVAILABLE), Ok(Snapshot((), 1)))
    watch = TableWatch(store, 't', Listener(), WatchPace(9), store.now)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.01)
    watch.poke()
    await asyncio.sleep(0.01)
    assert store.calls == ['read']
    task.cancel()


async def test_one_poke_leads_to_one_call():
    """Guards against a store that one host asks without a pause.

    krc-rota quiet-1: 30,247 calls in place of 611 after the first change.
    """
    answers = [Ok(Changes((), 1)) for _ in range(9)]
    store = Script(Ok(Snapshot((), 1)), *answers)
    proof = Proof()
    proof.confirm(20.0)
    pace = WatchPace(0, fresh_s=30)
    watch = TableWatch(store, 't', Listener(), pace, store.now, proof)
    task = asyncio.create_task(watch.run())
    await asyncio.sleep(0.01)
    watch.poke()
    await asyncio.sleep(0.05)
    assert store.calls == ['read', 'after 1']
    task.cancel()
