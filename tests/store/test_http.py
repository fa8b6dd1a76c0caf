"""The HTTP client against a platform that fails or misbehaves."""

import asyncio
import contextlib

import pytest
from result import Err, Ok
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.errors import ErrorKind
from egretmill.ledger import row_key
from egretmill.store import Hosts, Put, Row, StoreClient
from egretmill.store.http import MAX_OBJECT_BYTES, MAX_ROW_BYTES
from egretmill.wire.messages import HostRecord
from standins.platform import Faults, Platform, make_application

ADDRESS = '127.0.0.1'
TIMEOUT_S = 0.3


@pytest.fixture
def platform():
    """Return the state of a stand-in for the platform."""
    return Platform()


@pytest.fixture
async def url(platform):
    """Serve the stand-in on a free port."""
    listener, port = bind_unused_port(address=ADDRESS)
    server = HTTPServer(make_application(platform))
    server.add_socket(listener)
    yield f'http://{ADDRESS}:{port}'
    server.stop()


@pytest.fixture
async def store(url):
    """Return a client of the stand-in."""
    return StoreClient(url, TIMEOUT_S)


def failure_kind(answer):
    """Return the kind of a failure."""
    assert isinstance(answer, Err), answer
    return answer.err_value.kind


@contextlib.asynccontextmanager
async def serve_reply(reply):
    """Serve one fixed reply to every connection."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(reply)
        if reply:
            writer.close()

    server = await asyncio.start_server(serve, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    yield StoreClient(f'http://{ADDRESS}:{port}', TIMEOUT_S)
    server.close()


async def make_all_calls(store):
    """Make every call of the client and return the answers."""
    return await asyncio.gather(
        store.get_row('config/current'),
        store.put_row('config/current', 0, 'x'),
        store.put_rows([Put('a', 0, 'x'), Put('b', 0, 'x')]),
        store.get_object('xxh3:0'),
        store.put_object(b'x'),
        store.hosts(),
    )


async def test_rows_are_written_by_compare_and_set(store):
    """Guards against a write that overwrites a concurrent one."""
    assert await store.get_row('a') == Ok(None)
    assert await store.put_row('a', 0, 'first') == Ok(Row(1, 'first'))
    refused = await store.put_row('a', 0, 'second')
    assert failure_kind(refused) is ErrorKind.VERSION_CONFLICT
    refused = await store.put_rows([Put('b', 0, 'x'), Put('a', 7, 'x')])
    assert refused.err_value.detail == 'a'
    assert await store.get_row('b') == Ok(None)


@pytest.mark.parametrize(
    'key',
    ['../../faults', '.', '..', 'a/b', 'a%2Fb', '%', '?x=1', '#', ';='],
)
async def test_special_characters_in_keys_are_quoted(store, key):
    """Guards against a caller's key that addresses another row or path."""
    path = row_key('rota', key).ok_value
    assert await store.put_row(path, 0, key) == Ok(Row(1, key))
    assert await store.get_row(path) == Ok(Row(1, key))
    assert await store.get_row('claims/rota/other') == Ok(None)


REPLIES = (
    b'',
    b'nonsense\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]',
    b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"version": 1',
    b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}',
    b'HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 302 no\r\nLocation: /\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 409 no\r\nContent-Length: 2\r\n\r\n{}',
)


@pytest.mark.parametrize('reply', REPLIES)
async def test_malformed_answers_count_as_an_outage(reply):
    """Guards against an exception or a success from a malformed answer."""
    async with serve_reply(reply) as store:
        answers = await make_all_calls(store)
    kinds = {
        failure_kind(answer) for answer in answers if isinstance(answer, Err)
    }
    assert kinds == {ErrorKind.PLATFORM_UNAVAILABLE}
    if b'200 OK' not in reply:
        assert all(isinstance(answer, Err) for answer in answers)


@pytest.mark.parametrize(
    'body',
    [b'{"version":0,"body":""}', b'{"version":1}', b'[' * 9999, b'"\xff"'],
)
async def test_malformed_rows_count_as_an_outage(body):
    """Guards against a malformed row that passes for a valid one."""
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    async with serve_reply(head.encode() + body) as store:
        answer = await store.get_row('a')
    assert failure_kind(answer) is ErrorKind.PLATFORM_UNAVAILABLE


async def test_missing_path_is_no_successful_write():
    """Guards against a 404 of a wrong base URL that passes for a write."""
    reply = b'HTTP/1.1 404 no\r\nContent-Length: 0\r\n\r\n'
    async with serve_reply(reply) as store:
        written = await store.put_row('a', 0, 'x')
        stored = await store.put_object(b'x')
    assert failure_kind(written) is ErrorKind.PLATFORM_UNAVAILABLE
    assert failure_kind(stored) is ErrorKind.PLATFORM_UNAVAILABLE


async def test_refused_connection_is_an_outage():
    """Guards against an exception when nothing listens on the port."""
    listener, port = bind_unused_port(address=ADDRESS)
    listener.close()
    store = StoreClient(f'http://{ADDRESS}:{port}', TIMEOUT_S)
    kinds = {failure_kind(answer) for answer in await make_all_calls(store)}
    assert kinds == {ErrorKind.PLATFORM_UNAVAILABLE}


async def test_slow_answers_end_at_the_deadline(store, platform):
    """Guards against calls that wait longer than their deadline."""
    platform.faults = Faults(delay_s=2)
    async with asyncio.timeout(TIMEOUT_S * 3):
        kinds = {failure_kind(answer) for answer in await make_all_calls(store)}
    assert kinds == {ErrorKind.PLATFORM_UNAVAILABLE}


async def test_oversized_rows_and_objects_are_not_sent(store, platform):
    """Guards against retries of writes that the platform always refuses."""
    large_body = 'x' * (MAX_ROW_BYTES + 1)
    written_row = await store.put_row('a', 0, large_body)
    puts = [Put(f'k{number}', 0, large_body[1:]) for number in range(9)]
    written_rows = await store.put_rows(puts)
    stored = await store.put_object(bytes(MAX_OBJECT_BYTES + 1))
    kinds = {
        failure_kind(answer) for answer in (written_row, written_rows, stored)
    }
    assert kinds == {ErrorKind.BODY_TOO_LARGE}
    assert not platform.writes


async def test_damaged_object_is_rejected(store, platform):
    """Guards against an object that does not match its digest."""
    digest = (await store.put_object(b'right')).ok_value
    assert await store.get_object(digest) == Ok(b'right')
    platform.objects[digest] = b'wrong'
    damaged_object = await store.get_object(digest)
    assert failure_kind(damaged_object) is ErrorKind.PLATFORM_UNAVAILABLE
    missing_object = await store.get_object('xxh3:0')
    assert failure_kind(missing_object) is ErrorKind.NOT_FOUND


async def test_lost_answer_leaves_the_write(store, platform):
    """Guards against a fault switch that loses the write with its answer."""
    platform.faults = Faults(lose_answers=1)
    lost_answer = await store.put_row('a', 0, 'x')
    assert failure_kind(lost_answer) is ErrorKind.PLATFORM_UNAVAILABLE
    assert await store.get_row('a') == Ok(Row(1, 'x'))


async def test_malformed_answer_switch(store, platform):
    """Guards against a fault switch without effect."""
    platform.faults = Faults(malformed_answers=1)
    assert failure_kind(await store.hosts()) is ErrorKind.PLATFORM_UNAVAILABLE
    assert await store.hosts() == Ok(Hosts())


async def test_stale_host_list(store, platform):
    """Guards against a stand-in whose host list is never stale."""
    record = HostRecord('a', 'd', ADDRESS, 1, 2, 3, 4)
    platform.replace_faults(Faults(stale_hosts=True))
    platform.host_list = Hosts((record,))
    assert await store.hosts() == Ok(Hosts())
    platform.replace_faults(Faults())
    assert await store.hosts() == Ok(Hosts((record,)))


async def test_cut_off_address_does_not_reach_the_platform(url, platform):
    """Guards against a simulated partition of the wrong host."""
    cut_off_client = StoreClient(url, TIMEOUT_S, '127.0.0.2')
    other_client = StoreClient(url, TIMEOUT_S, '127.0.0.3')
    platform.faults = Faults(refused=('127.0.0.2',))
    assert (
        failure_kind(await cut_off_client.get_row('a'))
        is ErrorKind.PLATFORM_UNAVAILABLE
    )
    assert await other_client.get_row('a') == Ok(None)


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('POST', '/transactions', b'{'),
        ('POST', '/transactions', b'[' * 9999),
        ('POST', '/transactions', b'{"puts": []}'),
        (
            'POST',
            '/transactions',
            b'{"puts": [{"key": "a b", "expected_version": 0, "body": ""}]}',
        ),
        (
            'POST',
            '/transactions',
            b'{"puts": [{"key": "a", "expected_version": -1, "body": ""}]}',
        ),
        ('POST', '/faults', b'{"dwon": true}'),
        ('POST', '/faults', b'{"delay_s": -1}'),
        ('POST', '/hosts', b'{"entry_hosts": 1}'),
        ('PUT', '/objects/xxh3:0', b'x'),
    ],
)
async def test_malformed_requests_are_refused(url, method, path, body):
    """Guards against a stand-in that hides its callers' mistakes."""
    client = AsyncHTTPClient(force_instance=True)
    answer = await client.fetch(
        url + path,
        method=method,
        body=body,
        raise_error=False,
    )
    assert answer.code == 400
