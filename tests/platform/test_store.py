"""The store client, with a stand-in store that can fail."""

import asyncio
import contextlib

import pytest
from adapter import store as store_module
from adapter.store import PlatformStore
from result import Err
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.host.metrics import HostMetrics
from egretmill.host.event_loop import BootLoop
from egretmill.host.settings import Bounds, Endpoint
from egretmill.tables import (
    PollTiming,
    RowKey,
    StoreProblem,
    TableWatch,
    Write,
)
from egretmill.tables.versions import era_of
from soak.links import LinkFaults, TcpLink
from standins.tables import TableServer, make_application


def run_with_store(scenario):
    """Run a scenario with a client and a stand-in store."""

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


def problem_of(outcome):
    """Return the problem of a failed call."""
    assert isinstance(outcome, Err), outcome
    return outcome.err_value.problem


def test_table_is_read_page_by_page(monkeypatch):
    """Guards against losing the rows after the first page."""
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

    run_with_store(scenario)


def test_changes_are_in_order_and_include_removals():
    """Guards against missing the removal of a row."""

    async def scenario(store, server):
        first = server.put('t', 'a', b'1')
        server.remove('t', 'a')
        changes = (await store.changes('t', first - 1, 0)).ok_value
        assert [row.removed for row in changes.rows] == [False, True]
        assert changes.version == server.version

    run_with_store(scenario)


def test_call_waits_for_the_first_change():
    """Guards against calls that return at once instead of long-polling."""

    async def scenario(store, server):
        waiting = asyncio.create_task(store.changes('t', 0, 1.0))
        await asyncio.sleep(0.05)
        server.put('t', 'a', b'1')
        changes = (await waiting).ok_value
        assert [row.key for row in changes.rows] == ['a']

    run_with_store(scenario)


def test_transaction_checks_expected_versions():
    """Guards against overwriting what another host wrote meanwhile."""

    async def scenario(store, server):
        row = RowKey('t', 'a')
        version = (await store.transact((Write(row, b'1', 0),))).ok_value
        assert version == server.version_of('t', 'a')
        again = await store.transact((Write(row, b'2', 0),))
        assert problem_of(again) is StoreProblem.CONFLICT
        removed = await store.transact((Write(row, None, version),))
        assert not isinstance(removed, Err)
        assert server.version_of('t', 'a') == 0

    run_with_store(scenario)


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (503, StoreProblem.UNAVAILABLE),
        (429, StoreProblem.LIMITED),
        (410, StoreProblem.HISTORY_GONE),
        (403, StoreProblem.MALFORMED),
    ],
)
def test_status_is_mapped_to_a_problem(status, expected):
    """Guards against taking an error response for an empty table."""

    async def scenario(store, server):
        server.faults.status = status
        assert problem_of(await store.changes('t', 0, 0)) is expected

    run_with_store(scenario)


def test_lost_answer_to_a_write_is_reported_as_unanswered():
    """Guards against taking a write whose answer was lost for a failed one."""

    async def scenario(store, server):
        server.faults.lose_answers = 1
        write = Write(RowKey('t', 'a'), b'1', 0)
        outcome = await store.transact((write,))
        assert problem_of(outcome) is StoreProblem.UNANSWERED
        assert server.version_of('t', 'a') == 1

    run_with_store(scenario)


def test_call_to_an_unresponsive_store_times_out(monkeypatch):
    """Guards against a watch that is blocked by a connection without replies.

    The next call must use another connection.
    """
    monkeypatch.setattr(store_module, 'RESPONSE_TIMEOUT_S', 0.1)

    async def scenario(store, server):
        assert not isinstance(await store.read('t'), Err)
        server.faults.silent = True
        outcome = await store.read('t')
        assert problem_of(outcome) is StoreProblem.UNANSWERED
        server.faults.silent = False
        assert not isinstance(await store.read('t'), Err)

    run_with_store(scenario)


def test_refused_connection_is_reported_as_unavailable():
    """Guards against an exception when the connection is refused."""

    async def scenario(store, server):
        store.endpoint = Endpoint('127.0.0.1', 1)
        assert problem_of(await store.read('t')) is StoreProblem.UNAVAILABLE

    run_with_store(scenario)


def test_malformed_answer_is_a_failure():
    """Guards against taking a malformed answer for an empty table."""

    async def scenario(store, server):
        server.faults.malformed = True
        assert problem_of(await store.read('t')) is StoreProblem.MALFORMED

    run_with_store(scenario)


class LastVersionListener:
    """Keeps the content of the row that was read last."""

    def __init__(self):
        """Start without a row."""
        self.content = None

    def replace_rows(self, snapshot):
        """Keep the last row."""
        self.apply_changes(snapshot)

    def restore_rows(self, snapshot):
        """Take the table as any other."""
        self.replace_rows(snapshot)

    def apply_changes(self, changes):
        """Keep the last row."""
        for row in changes.rows:
            self.content = row.content

    def confirm_current(self, sent_at):
        """Ignore the age of the copy."""


@contextlib.asynccontextmanager
async def follow_over_link(store, server):
    """Follow a row over a link; yield the link, the watch and its listener."""
    server.put('op', 'config', b'old')
    link = TcpLink((store.endpoint.address, store.endpoint.port))
    await link.open()
    store.endpoint = Endpoint(*link.address)
    listener = LastVersionListener()
    watch = TableWatch(store, 'op', listener, PollTiming(0, interval_s=60))
    following = asyncio.create_task(watch.run())
    await wait_for_content(listener, b'old', 1)
    try:
        yield link, watch, listener
    finally:
        following.cancel()
        link.close()
        await link.wait_closed()


async def wait_for_content(listener, content, timeout_s):
    """Wait until a listener has the content of a row."""
    async with asyncio.timeout(timeout_s):
        while listener.content != content:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('idle_connections', [1, 2, 4])
def test_change_is_read_in_time_although_idle_connections_went_silent(
    idle_connections,
):
    """Guards against finding out about silent connections one at a time."""

    async def scenario(store, server):
        async with follow_over_link(store, server) as (link, watch, listener):
            await asyncio.gather(
                *(store.read('op') for _ in range(idle_connections)),
            )
            assert len(store.idle) == idle_connections
            link.silence_open_connections()
            server.put('op', 'config', b'new')
            watch.poll_now()
            await wait_for_content(listener, b'new', Bounds().apply_s)

    run_with_store(scenario)


@pytest.mark.parametrize(
    ('faults', 'content'),
    [
        (LinkFaults(delay_s=0.9), b'new'),
        (LinkFaults(bytes_per_s=220_000), b'new' * 100_000),
    ],
    ids=['each packet late', 'long answer'],
)
def test_change_is_read_over_a_busy_link_without_starting_again(
    faults, content
):
    """Guards against dropping an answer that is still on its way."""

    async def scenario(store, server):
        async with follow_over_link(store, server) as (link, watch, listener):
            link.faults = faults
            server.put('op', 'config', content)
            watch.poll_now()
            await wait_for_content(listener, content, Bounds().apply_s)

    run_with_store(scenario)


@pytest.mark.parametrize('era', ['x', '-1', '1.5', '9' * 30, ''])
def test_malformed_era_is_a_failed_call(era):
    """Guards against versions of an unknown era, and against a crash."""

    async def scenario(store, server):
        server.put('t', 'a', b'1')
        server.era = era or ' '
        assert problem_of(await store.read('t')) is StoreProblem.MALFORMED
        server.era = 4
        assert era_of((await store.read('t')).ok_value.version) == 4

    run_with_store(scenario)


def test_late_answer_of_an_earlier_era_is_not_used():
    """Guards against a copy that goes back to the time before a restore."""

    async def scenario(store, server):
        server.put('t', 'a', b'1')
        server.era = 5
        assert not isinstance(await store.read('t'), Err)
        server.era = 4
        assert problem_of(await store.read('t')) is StoreProblem.UNANSWERED

    run_with_store(scenario)


def test_table_is_not_put_together_from_two_eras(monkeypatch):
    """Guards against rows of the lost history beside those of the copy."""
    monkeypatch.setattr(store_module, 'PAGE_ROWS', 2)

    async def scenario(store, server):
        server.era = 1
        for number in range(4):
            server.put('t', f'k{number}', b'')
        get_page = store.get

        async def return_between_pages(request):
            answer = await get_page(request)
            server.era = 2
            return answer

        monkeypatch.setattr(store, 'get', return_between_pages)
        assert problem_of(await store.read('t')) is StoreProblem.HISTORY_GONE
        assert era_of((await store.read('t')).ok_value.version) == 2

    run_with_store(scenario)
