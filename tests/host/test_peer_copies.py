"""Reading the configuration's table from a peer."""

import asyncio
import contextlib

import pytest

from egretmill.fleet.freshness import boot_time
from egretmill.host.heartbeats import HeartbeatService
from egretmill.host.listeners import serve_pages
from egretmill.host.pages import PageHandler
from egretmill.host.peer_copies import (
    ASK_AFTER_S,
    REQUEST_TIMEOUT_S,
    CopyClient,
    make_copy_pages,
)
from egretmill.http1 import CallerMemory, Intake
from egretmill.peers.copies import TableCopy, decode_copy, encode_copy
from egretmill.peers.table import Peer
from egretmill.tables import PollTiming, Snapshot, StoredRow, TableWatch
from tests.host.fakes import make_state
from tests.host.test_heartbeats import matching_heartbeat
from tests.tables.test_watch import RecordingListener, ScriptedStore

OLD = Snapshot((StoredRow('config', b'1', 3),), 5)
NEW = Snapshot((StoredRow('config', b'2', 8), StoredRow('other', b'', 4)), 9)
ADDRESS = '127.0.0.1'
#: Time for which a newer copy has been known before the test, in seconds.
LONG_LAG_S = ASK_AFTER_S + 0.1


def make_watch(snapshot):
    """Return a watch that keeps a snapshot, without a store."""
    watch = TableWatch(
        ScriptedStore(), 'op', RecordingListener(), PollTiming(0)
    )
    watch.keeps_rows = True
    watch.apply_rows(snapshot)
    return watch


def make_outdated_client(lag_s=LONG_LAG_S):
    """Return the client of a host that has known of a newer copy."""
    state = make_state()
    now = boot_time()
    state.view.configuration_freshness.confirmed_at = now - 3
    state.view.configuration_lag.behind_since = now - lag_s
    state.view.configuration_lag.newer_at = now - 1
    return CopyClient(state, make_watch(OLD))


@contextlib.asynccontextmanager
async def serve_copy(snapshot, age_s=0.2):
    """Serve a copy as another host does; yield the host."""
    state = make_state()
    state.view.configuration_freshness.confirmed_at = boot_time() - age_s
    pages = make_copy_pages(state, make_watch(snapshot))
    handler = PageHandler(state, pages, CallerMemory(), Intake())
    server = await serve_pages(handler)
    port = server.sockets[0].getsockname()[1]
    try:
        yield Peer('h2', (ADDRESS, port))
    finally:
        server.close()


async def ask(client, peer):
    """Let a client ask a peer, and wait for the end of the request."""
    client.ask_if_behind(peer)
    if client.task is not None:
        await client.task


async def test_host_without_the_store_gets_a_newer_copy_from_a_peer():
    """Guards against a host that stays outdated although its peers are not."""
    client = make_outdated_client()
    async with serve_copy(NEW) as peer:
        await ask(client, peer)
    assert client.watch.listener.snapshots[-1] == NEW.rows
    assert client.watch.version == NEW.version
    assert client.watch.snapshot() == NEW


async def test_copy_of_a_peer_is_as_old_as_the_peer_says():
    """Guards against keys that count as fresher than the store says."""
    client = make_outdated_client()
    asked_at = boot_time()
    async with serve_copy(NEW, age_s=1.5) as peer:
        await ask(client, peer)
    confirmed_at = client.watch.listener.confirmation_times[-1]
    assert confirmed_at == pytest.approx(asked_at - 1.5, abs=0.1)


async def test_copy_that_is_not_newer_confirms_nothing():
    """Guards against the age of one copy beside the rows of another."""
    client = make_outdated_client()
    async with serve_copy(OLD) as peer:
        await ask(client, peer)
    assert client.watch.listener.confirmation_times == []


@pytest.mark.parametrize('snapshot', [OLD, Snapshot((), 4)])
async def test_copy_that_is_not_newer_is_not_used(snapshot):
    """Guards against a configuration that comes back older."""
    client = make_outdated_client()
    async with serve_copy(snapshot) as peer:
        await ask(client, peer)
    assert client.watch.listener.snapshots == [OLD.rows]
    assert client.watch.snapshot() == OLD


async def test_peer_is_not_asked_while_the_own_read_is_under_way():
    """Guards against a request for each change, from every host."""
    client = make_outdated_client(ASK_AFTER_S / 2)
    client.ask_if_behind(Peer('h2', (ADDRESS, 1)))
    assert client.task is None


async def test_peers_are_asked_one_at_a_time():
    """Guards against a busy link that carries the same copy many times."""
    client = make_outdated_client()
    async with serve_copy(NEW) as peer:
        client.ask_if_behind(peer)
        task = client.task
        client.ask_if_behind(Peer('h3', (ADDRESS, 1)))
        assert client.task is task
        await task


async def read_all(reader, writer):
    """Read a connection to its end without an answer."""
    await reader.read()
    writer.close()


async def test_peer_that_does_not_answer_is_given_up():
    """Guards against a host that waits for one silent peer for ever."""
    client = make_outdated_client()
    server = await asyncio.start_server(read_all, ADDRESS, 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(REQUEST_TIMEOUT_S + 1):
            await ask(client, Peer('h2', (ADDRESS, port)))
    assert client.watch.snapshot() == OLD


async def test_host_without_a_copy_passes_nothing_on():
    """Guards against an empty table that replaces a configuration."""
    client = make_outdated_client()
    async with serve_copy(NEW, age_s=float('inf')) as peer:
        await ask(client, peer)
    assert client.watch.snapshot() == OLD


async def test_heartbeat_with_a_newer_configuration_names_the_peer_to_ask():
    """Guards against a host that asks a peer whose copy is as old."""
    asked = []
    service = HeartbeatService(make_state(), lambda _: None)
    service.on_newer_configuration = asked.append
    freshness = service.state.view.configuration_freshness
    freshness.confirmed_at = boot_time() - 2
    for age_s, names in ((3.0, []), (0.2, ['h2'])):
        heartbeat = matching_heartbeat(
            service, knowledge=7, knowledge_age=age_s
        )
        service.handle_heartbeat(heartbeat, (ADDRESS, 1))
        assert [peer.name for peer in asked] == names


def test_damaged_copy_is_an_error():
    """Guards against an exception that ends the request unseen."""
    encoded = encode_copy(TableCopy.from_snapshot(NEW, 0.1))
    assert decode_copy(encoded).ok_value.to_snapshot() == NEW
    assert decode_copy(encoded[:-3]).is_err()
