"""Batched writes share a transaction, but a conflict fails only its write."""

import asyncio

from result import Err

from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.batch import BatchLimits, BatchWriter, WriteOutcome
from egretmill.store import Put
from tests.fakes import FakeStore, FakeTable
from tests.virtual_time import run_virtual


def write_all(puts, prepare=None, limits=None):
    """Write puts concurrently; return outcomes, table and elapsed time."""
    table = FakeTable()

    async def run():
        store = FakeStore(table)
        if prepare:
            prepare(store)
        writer = BatchWriter(store, limits)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outcomes = await asyncio.gather(*map(writer.write_claim, puts))
        return outcomes, table, loop.time() - started_at

    return run_virtual(run())


def puts_of(count, body='x'):
    """Return inserts of different keys."""
    return [Put(f'k{number}', 0, body) for number in range(count)]


def test_writes_share_a_transaction():
    """Guards against one transaction per claim."""
    outcomes, table, elapsed_s = write_all(puts_of(20))
    assert set(outcomes) == {WriteOutcome.DONE}
    assert table.transactions == 1
    assert round(elapsed_s * 1000) == 4


def test_conflict_fails_only_the_conflicting_write():
    """Guards against a conflict that fails the other claims of its batch."""

    def occupy(store):
        store.table.apply([Put('k3', 0, 'other')])

    outcomes, table, _ = write_all(puts_of(5), occupy)
    assert outcomes[3] is WriteOutcome.CONFLICT
    assert outcomes.count(WriteOutcome.DONE) == 4
    assert table.transactions == 2


def test_conflict_without_a_known_key_fails_the_batch():
    """Guards against endless retries when the conflicting key is unknown."""

    async def refuse(puts):
        await asyncio.sleep(0)
        return Err(Failure(ErrorKind.VERSION_CONFLICT, 'elsewhere'))

    def prepare(store):
        store.put_rows = refuse

    outcomes, _, _ = write_all(puts_of(3), prepare)
    assert set(outcomes) == {WriteOutcome.CONFLICT}


def test_lost_answer_is_uncertain_for_the_whole_batch():
    """Guards against assuming success or failure when an answer is lost."""

    def lose(store):
        store.switches.lose_answers = 1

    outcomes, table, _ = write_all(puts_of(3), lose)
    assert set(outcomes) == {WriteOutcome.UNCERTAIN}
    assert len(table.rows) == 3


def test_exception_of_the_store_is_uncertain():
    """Guards against callers that wait forever after an exception."""

    async def fail(puts):
        raise ValueError(puts)

    def prepare(store):
        store.put_rows = fail

    outcomes, _, _ = write_all(puts_of(3), prepare)
    assert set(outcomes) == {WriteOutcome.UNCERTAIN}


def test_transactions_are_bounded_in_rows_and_bytes():
    """Guards against transactions that are too large for the platform."""
    limits = BatchLimits(puts=4, size_bytes=100)
    _, table, _ = write_all(puts_of(9), None, limits)
    assert table.transactions == 3
    _, table, _ = write_all(puts_of(4, 'x' * 60), None, limits)
    assert table.transactions == 4


def test_record_shares_the_transaction_of_the_next_claim():
    """Guards against a separate transaction for each record."""
    table = FakeTable()

    async def run():
        writer = BatchWriter(FakeStore(table))
        record = asyncio.create_task(writer.write_record(Put('a', 0, 'x')))
        await asyncio.sleep(0.005)
        claim = asyncio.create_task(writer.write_claim(Put('b', 0, 'x')))
        await asyncio.gather(record, claim)

    run_virtual(run())
    assert table.transactions == 1


def test_close_resolves_all_pending_writes():
    """Guards against a shutdown that leaves callers waiting."""

    async def run():
        store = FakeStore(FakeTable())
        store.switches.slow_s = 0.3
        writer = BatchWriter(store, BatchLimits(in_flight=1, puts=2))
        tasks = [
            asyncio.create_task(writer.write_claim(put)) for put in puts_of(4)
        ]
        await asyncio.sleep(0.1)
        await writer.close()
        return await asyncio.gather(*tasks)

    assert set(run_virtual(run())) == {WriteOutcome.UNCERTAIN}
