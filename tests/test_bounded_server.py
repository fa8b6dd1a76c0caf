"""HTTP servers whose callers send too much, or stay connected."""

import asyncio

import pytest
from tornado.web import Application

from egretmill.bounded_server import BoundedServer, ServerLimits
from egretmill.http1 import BufferBudget
from egretmill.listening import listen

ADDRESS = '127.0.0.1'
MAX_CALLERS = 3
POST = b'POST / HTTP/1.1\r\nHost: h\r\n'
LIMITS = ServerLimits(
    MAX_CALLERS, header_bytes=8192, body_bytes=100, body_s=0.1
)


@pytest.fixture
async def bounded():
    """Return a server with few connections."""
    server = BoundedServer(Application(), LIMITS)
    listen(server, 0, ADDRESS)
    server.address = next(iter(server._sockets.values())).getsockname()
    yield server
    server.stop()
    await server.close_all_connections()


async def test_callers_that_stay_connected_make_room_for_others(bounded):
    """Guards against idle callers that keep all others out."""
    held = [
        await asyncio.open_connection(*bounded.address)
        for _ in range(3 * MAX_CALLERS)
    ]
    reader, writer = await asyncio.open_connection(*bounded.address)
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    assert await reader.readline() == b'HTTP/1.1 404 Not Found\r\n'
    assert len(bounded.callers) <= MAX_CALLERS
    for _, holder in (*held, (reader, writer)):
        holder.transport.abort()


async def test_caller_is_refused_if_all_others_wait_for_answers(bounded):
    """Guards against requests that are cut off for another caller."""
    bounded.conn_params.body_timeout = None
    held = [
        await asyncio.open_connection(*bounded.address)
        for _ in range(MAX_CALLERS)
    ]
    for _, holder in held:
        holder.write(POST + b'Content-Length: 50\r\n\r\n')
    while any(caller.headers is None for caller in bounded.callers.values()):
        await asyncio.sleep(0.01)
    reader, writer = await asyncio.open_connection(*bounded.address)
    assert not await reader.read()
    writer.transport.abort()
    assert len(bounded.callers) == MAX_CALLERS
    for _, holder in held:
        holder.transport.abort()


@pytest.mark.parametrize(
    'start',
    [
        b'X: ' + b'x' * 9000,
        b'Content-Length: 101\r\n\r\n' + b'x' * 101,
        b'Content-Length: 50\r\n\r\n',
    ],
    ids=['head', 'body', 'stalled-body'],
)
async def test_request_beyond_the_limits_ends_its_connection(bounded, start):
    """Guards against requests that are kept without an end."""
    reader, writer = await asyncio.open_connection(*bounded.address)
    writer.write(POST + start)
    async with asyncio.timeout(5):
        await reader.read()
    writer.transport.abort()


async def test_heads_of_all_callers_have_a_budget(bounded):
    """Guards against heads of legal size that fill the memory together."""
    bounded.budget = BufferBudget(100000)
    lines = b''.join(b'%x:\r\n' % number for number in range(1000))
    reader, writer = await asyncio.open_connection(*bounded.address)
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n' + lines + b'\r\n')
    head = await reader.read()
    assert head.startswith(b'HTTP/1.1 503')
    assert b'X-Egretmill-Outcome: not-run' in head
    writer.transport.abort()
    reader, writer = await asyncio.open_connection(*bounded.address)
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    assert await reader.readline() == b'HTTP/1.1 404 Not Found\r\n'
    writer.transport.abort()
    async with asyncio.timeout(5):
        while bounded.budget.used_bytes:
            await asyncio.sleep(0.01)
