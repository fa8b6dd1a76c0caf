"""What callers may send, and what is kept of it."""

import asyncio
import contextlib

import pytest

from egretmill.http1 import ConnectionLimits
from egretmill.http1.body import JOINED_CHUNK_BYTES
from tests.http1.harness import (
    Recorder,
    ok_response,
    read_response,
    serve_connection,
    wait_until,
)

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


async def test_chunk_framing_without_a_body_is_rejected():
    """Guards against chunk extensions that take the place of a body."""
    recorder = Recorder(LIMITS)
    async with serve_connection(recorder) as (reader, writer):
        chunk = b'1;%b\r\nx\r\n' % (b'e' * 200)
        writer.write(CHUNKED + chunk * 100)
        head, _ = await read_response(reader)
    assert head.startswith(b'HTTP/1.1 400')
