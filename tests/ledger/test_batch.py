"""Conditional writes share transactions without sharing conflicts."""

import asyncio

from result import Err

from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.batch import BatchLimits, BatchWriter, WriteOutcome
from egretmill.store import Put
from tests.fakes import FakeStore, FakeTable
from tests.virtual_time import run_virtual


def write_all(puts, prepare=None, limits=None):
    """Write puts at once; return the outcomes, the table and the time."""
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
    """Guards against one platform write per claim."""
    outcomes, table, elapsed_s = write_all(puts_of(20))
    assert set(outcomes) == {WriteOutcome.DONE}
    assert table.transactions == 1
    assert round(elapsed_s * 1000) == 4


def test_conflict_fails_only_its_own_write():
    """Guards against a repeat that makes other claims fail."""

    def occupy(store):
        store.table.apply([Put('k3', 0, 'other')])

    outcomes, table, _ = write_all(puts_of(5), occupy)
    assert outcomes[3] is WriteOutcome.CONFLICT
    assert outcomes.count(WriteOutcome.DONE) == 4
    assert table.transactions == 2


def test_conflict_that_names_no_key_fails_all():
    """Guards against a loop over a conflict that nobody can resolve."""

    async def refuse(puts):
        await asyncio.sleep(0)
        return Err(Failure(ErrorKind.VERSION_CONFLICT, 'elsewhere'))

    def prepare(store):
        store.put_rows = refuse

    outcomes, _, _ = write_all(puts_of(3), prepare)
    assert set(outcomes) == {WriteOutcome.CONFLICT}


def test_lost_answer_is_uncertain_for_the_whole_batch():
    """Guards against assuming either outcome."""

    def lose(store):
        store.switches.lose_answers = 1

    outcomes, table, _ = write_all(puts_of(3), lose)
    assert set(outcomes) == {WriteOutcome.UNCERTAIN}
    assert len(table.rows) == 3


def test_exception_of_the_store_is_uncertain():
    """Guards against callers that wait for ever after a fault."""

    async def fail(puts):
        raise ValueError(puts)

    def prepare(store):
        store.put_rows = fail

    outcomes, _, _ = write_all(puts_of(3), prepare)
    assert set(outcomes) == {WriteOutcome.UNCERTAIN}


def test_transactions_are_bounded_in_rows_and_bytes():
    """Guards against transactions that the platform refuses."""
    limits = BatchLimits(puts=4, size_bytes=100)
    _, table, _ = write_all(puts_of(9), None, limits)
    assert table.transactions == 3
    _, table, _ = write_all(puts_of(4, 'x' * 60), None, limits)
    assert table.transactions == 4


def test_record_leaves_with_the_next_claim():
    """Guards against a transaction of its own for each record."""
    table = FakeTable()

    async def run():
        writer = BatchWriter(FakeStore(table))
        record = asyncio.create_task(writer.write_record(Put('a', 0, 'x')))
        await asyncio.sleep(0.005)
        claim = asyncio.create_task(writer.write_claim(Put('b', 0, 'x')))
        await asyncio.gather(record, claim)

    run_virtual(run())
    assert table.transactions == 1


def test_close_settles_everything():
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
