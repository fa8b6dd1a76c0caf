"""The client of the store against a stand-in that fails."""

import asyncio

import pytest
from adapter import store as store_module
from adapter.store import PlatformStore
from result import Err
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.host.metrics import HostMetrics
from egretmill.host.program import BootLoop
from egretmill.host.settings import Endpoint
from egretmill.tables import RowKey, StoreProblem, Write
from standins.tables import TableServer, make_application


def run(scenario):
    """Run a scenario with a client and a stand-in."""

    async def serve():
        server = TableServer()
        listener, port = bind_unused_port()
        http = HTTPServer(make_application(server))
        http.add_socket(listener)
        store = PlatformStore(Endpoint('127.0.0.1', port), HostMetrics())
        try:
            await scenario(store, server)
        finally:
            http.stop()

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        runner.run(serve())


def problem(ended):
    """Return the problem of a failed call."""
    assert isinstance(ended, Err), ended
    return ended.err_value.problem


def test_rows_are_read_page_by_page(monkeypatch):
    """Guards against rows behind the first page."""
    monkeypatch.setattr(store_module, 'PAGE_ROWS', 3)

    async def scenario(store, server):
        for number in range(8):
            server.put('t', f'k{number}', b'%d' % number)
        server.put('other', 'x', b'')
        snapshot = (await store.read('t')).ok_value
        assert [row.content for row in snapshot.rows] == [
            b'%d' % number for number in range(8)
        ]
        assert snapshot.version == 9

    run(scenario)


def test_changes_come_in_order_with_removals():
    """Guards against rows that stay after they were removed."""

    async def scenario(store, server):
        first = server.put('t', 'a', b'1')
        server.remove('t', 'a')
        changes = (await store.changes('t', first - 1, 0)).ok_value
        assert [row.removed for row in changes.rows] == [False, True]
        assert changes.version == server.version

    run(scenario)


def test_call_waits_for_the_first_change():
    """Guards against polling where the store can tell."""

    async def scenario(store, server):
        waiting = asyncio.create_task(store.changes('t', 0, 1.0))
        await asyncio.sleep(0.05)
        server.put('t', 'a', b'1')
        changes = (await waiting).ok_value
        assert [row.key for row in changes.rows] == ['a']

    run(scenario)


def test_transaction_has_conditions():
    """Guards against a write over another host's."""

    async def scenario(store, server):
        row = RowKey('t', 'a')
        version = (await store.transact((Write(row, b'1', 0),))).ok_value
        assert version == server.version_of('t', 'a')
        again = await store.transact((Write(row, b'2', 0),))
        assert problem(again) is StoreProblem.CONFLICT
        removed = await store.transact((Write(row, None, version),))
        assert not isinstance(removed, Err)
        assert server.version_of('t', 'a') == 0

    run(scenario)


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (503, StoreProblem.UNAVAILABLE),
        (429, StoreProblem.LIMITED),
        (410, StoreProblem.HISTORY_GONE),
        (403, StoreProblem.MALFORMED),
    ],
)
def test_statuses_have_a_meaning(status, expected):
    """Guards against taking a refusal for an empty table."""

    async def scenario(store, server):
        server.faults.status = status
        assert problem(await store.changes('t', 0, 0)) is expected

    run(scenario)


def test_lost_answer_leaves_the_effect_open():
    """Guards against taking a lost answer for a write that failed."""

    async def scenario(store, server):
        server.faults.lose_answers = 1
        write = Write(RowKey('t', 'a'), b'1', 0)
        ended = await store.transact((write,))
        assert problem(ended) is StoreProblem.UNANSWERED
        assert server.version_of('t', 'a') == 1

    run(scenario)


def test_silent_store_costs_a_bounded_time(monkeypatch):
    """Guards against a watch that waits on a silent connection."""
    monkeypatch.setattr(store_module, 'ANSWER_LIMIT_S', 0.1)

    async def scenario(store, server):
        assert not isinstance(await store.read('t'), Err)
        server.faults.silent = True
        ended = await store.read('t')
        assert problem(ended) is StoreProblem.UNANSWERED
        server.faults.silent = False
        assert not isinstance(await store.read('t'), Err)

    run(scenario)


def test_store_that_is_away_is_said():
    """Guards against an exception out of a refused connection."""

    async def scenario(store, server):
        store.endpoint = Endpoint('127.0.0.1', 1)
        assert problem(await store.read('t')) is StoreProblem.UNAVAILABLE

    run(scenario)


def test_damaged_answer_is_a_failure():
    """Guards against an empty table out of a damaged answer."""

    async def scenario(store, server):
        server.faults.malformed = True
        assert problem(await store.read('t')) is StoreProblem.MALFORMED

    run(scenario)
