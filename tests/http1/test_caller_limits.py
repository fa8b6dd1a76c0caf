"""What callers may send, and what is kept of it."""

import asyncio
import contextlib

import pytest

from egretmill.http1 import (
    CallerMemory,
    ConnectionLimits,
    ServerConnection,
)
from egretmill.http1.body import BODY_BUFFER_BYTES, JOINED_CHUNK_BYTES
from egretmill.http1.buffers import HEADER_OVERHEAD_BYTES
from egretmill.http1.server import MAX_KEPT_BYTES, MAX_PIPELINED_REQUESTS
from tests.http1.harness import (
    FakeTransport,
    Recorder,
    ok_response,
    read_response,
    serve_connection,
    wait_until,
)
from tests.http1.test_server import GET_B

LIMITS = ConnectionLimits(header_bytes=500)
CHUNKED = b'POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
LONG = b'x' * 10000
HEAD_BYTES = 16384


async def send_parts(writer, parts):
    """Send parts one after the other, until the connection is closed."""
    with contextlib.suppress(ConnectionError):
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    'start',
    [
        b'GET /',
        b'GET / HTTP/1.1\r\n',
        b'GET / HTTP/1.1\r\nX: ',
        CHUNKED + b'0\r\nX: ',
        CHUNKED + b'1;',
    ],
    ids=['target', 'header-name', 'header', 'trailer', 'chunk-extension'],
)
async def test_line_without_end_is_rejected_with_a_whole_answer(start):
    """Guards against lines that the parser keeps until they are complete."""
    recorder = Recorder(LIMITS)
    async with serve_connection(recorder) as (reader, writer):
        sending = asyncio.create_task(
            send_parts(writer, (start, *(LONG for _ in range(50))))
        )
        head, _ = await read_response(reader)
        assert head.startswith(b'HTTP/1.1 431')
        assert not await reader.read()
        await sending
    assert recorder.errors == [431]
    assert recorder.memory.used_bytes == 0


async def test_trailers_without_end_are_rejected():
    """Guards against trailers that are kept or parsed for ever."""
    recorder = Recorder(LIMITS)
    async with serve_connection(recorder) as (reader, writer):
        parts = (CHUNKED + b'0\r\n', *(b'a:b\r\n' * 1000 for _ in range(20)))
        sending = asyncio.create_task(send_parts(writer, parts))
        head, _ = await read_response(reader)
        assert head.startswith(b'HTTP/1.1 431')
        await sending
    assert recorder.errors == [431]


async def test_trailer_is_no_header_of_the_request():
    """Guards against headers that are added behind the body, past all checks.

    The upstream would take the later value of a header that was sent twice.
    """
    recorder = Recorder()
    async with serve_connection(recorder) as (_, writer):
        writer.write(CHUNKED + b'2\r\nab\r\n')
        await wait_until(lambda: recorder.requests)
        writer.write(b'0\r\nX-Late: 1\r\nHost: other\r\n\r\n')
        request = recorder.requests[0]
        await wait_until(lambda: request.body.complete)
    assert b'host' not in request.head.fields
    assert request.head.headers == [(b'Transfer-Encoding', b'chunked')]


async def test_head_of_the_largest_size_is_served():
    """Guards against limits below the one of the configuration."""
    recorder = Recorder(ConnectionLimits(header_bytes=HEAD_BYTES))
    start = b'GET /a HTTP/1.1\r\nHost: h\r\n'
    end = b'X: 1\r\n\r\n'
    lines = b'a:\r\n' * ((HEAD_BYTES - len(start) - len(end)) // 4)
    async with serve_connection(recorder) as (reader, writer):
        writer.write(start + lines + end)
        await wait_until(lambda: recorder.requests)
        recorder.requests[0].answer(ok_response(b'served'))
        assert (await read_response(reader))[1] == b'served'
    assert not recorder.errors
    assert len(recorder.requests[0].head.headers) > 4000


@pytest.mark.parametrize('size', [1, 2, 1000])
async def test_small_chunks_are_joined(size):
    """Guards against chunks whose objects take far more than their bytes."""
    recorder = Recorder()
    content = bytes(range(256)) * 200
    pieces = (
        content[start : start + size] for start in range(0, len(content), size)
    )
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(row), row) for row in pieces)
    async with serve_connection(recorder) as (_, writer):
        writer.write(CHUNKED + chunks + b'0\r\n\r\n')
        await wait_until(
            lambda: recorder.requests and recorder.requests[0].body.complete
        )
    body = recorder.requests[0].body
    assert b''.join(body.chunks) == content
    assert len(body.chunks) <= 1 + len(content) // JOINED_CHUNK_BYTES


async def test_chunks_with_extensions_are_accepted():
    """Guards against a limit that a valid body can meet."""
    recorder = Recorder(LIMITS)
    async with serve_connection(recorder) as (_, writer):
        chunk = b'1;%b\r\nx\r\n' % (b'e' * 200)
        writer.write(CHUNKED + chunk * 100 + b'0\r\n\r\n')
        await wait_until(
            lambda: recorder.requests and recorder.requests[0].body.complete
        )
    assert b''.join(recorder.requests[0].body.chunks) == b'x' * 100
    assert not recorder.errors


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        CHUNKED + b'1\r\nx\r\n0\r\n\r\n',
        CHUNKED + b'0\r\nX: 1\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx',
    ],
    ids=['plain', 'chunked', 'trailers', 'length'],
)
async def test_requests_are_parsed_one_at_a_time(request_bytes):
    """Guards against a slice of the input that is full of requests."""
    recorder = Recorder()
    connection = ServerConnection(recorder)
    FakeTransport(connection)
    connection.is_parsing = True
    connection.unparsed = request_bytes * 20
    while connection.unparsed:
        before = len(recorder.requests)
        connection.parse_slice()
        assert len(recorder.requests) <= before + 1
    assert len(recorder.requests) == 20
    assert all(pending.body.complete for pending in recorder.requests)


async def test_connection_takes_no_more_requests_than_it_has_room_for():
    """Guards against one caller whose pipelined requests fill the memory."""
    recorder = Recorder()
    body = b'x' * (MAX_KEPT_BYTES // 10)
    request = b'POST /u HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
    async with serve_connection(recorder) as (reader, writer):
        sending = asyncio.create_task(
            send_parts(writer, (request + body for _ in range(30)))
        )
        await wait_until(lambda: len(recorder.requests) >= 10)
        await asyncio.sleep(0.2)
        assert len(recorder.requests) <= 11
        answered = 0
        while answered < 30:
            for pending in recorder.requests[answered:]:
                pending.answer(ok_response())
                await read_response(reader)
                answered += 1
            await asyncio.sleep(0)
        await sending
    assert not recorder.errors


async def test_largest_request_is_refused_if_callers_keep_too_much():
    """Guards against many bodies of legal size that fill the memory."""
    recorder = Recorder(memory=CallerMemory(200000))
    upload = b'POST /u HTTP/1.1\r\nContent-Length: 300000\r\n\r\n'
    async with (
        serve_connection(recorder) as (reader, writer),
        serve_connection(recorder) as (_, small),
    ):
        small.write(upload + b'x' * 10000)
        writer.write(upload + b'x' * 100000)
        await wait_until(lambda: recorder.memory.used_bytes > 100000)
        writer.write(b'x' * 100000)
        head, _ = await read_response(reader)
        assert head.startswith(b'HTTP/1.1 503')
        assert b'Connection: close' in head
        assert recorder.errors == [503]
        assert 10000 < recorder.memory.used_bytes < 20000
    await wait_until(lambda: not recorder.connections)
    assert recorder.memory.used_bytes == 0


async def test_request_that_may_have_been_sent_on_is_not_refused():
    """Guards against "not run" for an upload that an upstream works on."""
    recorder = Recorder(memory=CallerMemory(BODY_BUFFER_BYTES * 5 // 4))
    upload = b'POST /u HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n'
    async with (
        serve_connection(recorder) as (reader, writer),
        serve_connection(recorder) as (_, other),
    ):
        writer.write(upload + b'x' * BODY_BUFFER_BYTES)
        await wait_until(
            lambda: (
                recorder.requests and recorder.requests[0].body.is_forwardable
            )
        )
        other.write(upload + b'x' * (BODY_BUFFER_BYTES // 2))
        with contextlib.suppress(ConnectionError):
            assert not await reader.read()
        await wait_until(lambda: len(recorder.connections) == 1)
        assert recorder.disconnected == [b'/u']
        assert not recorder.errors


async def test_headers_count_by_the_memory_of_their_objects():
    """Guards against short headers that take far more than their bytes."""
    recorder = Recorder()
    async with serve_connection(recorder) as (_, writer):
        writer.write(b'GET / HTTP/1.1\r\n' + b'a:\r\n' * 1000 + b'b')
        at_least = 1000 * HEADER_OVERHEAD_BYTES
        await wait_until(lambda: recorder.memory.used_bytes > at_least)


async def test_answers_that_are_not_read_count_until_their_end():
    """Guards against callers that let answers pile up."""
    recorder = Recorder(memory=CallerMemory(8 << 20))
    async with serve_connection(recorder) as (_, writer):
        for _ in range(40):
            writer.write(GET_B)
        writer.transport.pause_reading()
        await wait_until(lambda: recorder.requests)
        answered = 0
        while recorder.connections:
            for request in recorder.requests[answered:]:
                request.answer(ok_response(b'x' * (1 << 20)))
                answered += 1
            await asyncio.sleep(0.01)
    assert recorder.memory.used_bytes == 0


async def test_bytes_that_the_kernel_holds_count():
    """Guards against many callers with unread bytes that fill the memory."""
    recorder = Recorder()
    async with serve_connection(recorder) as (_, writer):
        writer.write(GET_B * MAX_PIPELINED_REQUESTS + LONG * 100)
        await wait_until(lambda: recorder.connections)
        connection = recorder.connections[0]
        await wait_until(lambda: connection.unread_bytes)
        memory = recorder.memory
        memory.limit_bytes = connection.kept_bytes - 1
        memory.refresh()
        await wait_until(lambda: not recorder.connections)
        assert memory.used_bytes == 0


async def test_rest_of_an_answered_request_has_a_time_limit():
    """Guards against uploads that hold a descriptor for ever."""
    recorder = Recorder(ConnectionLimits(discard_s=0.05))
    async with serve_connection(recorder) as (reader, writer):
        writer.write(b'POST /u HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345')
        await wait_until(lambda: recorder.requests)
        recorder.requests[0].answer(ok_response())
        await read_response(reader)
        async with asyncio.timeout(5):
            assert not await reader.read()
