"""Upstreams of the entry program whose head has headers without end."""

import asyncio
import tracemalloc

import pytest
from tornado.httputil import HTTPHeaders

from egretmill.entry.body import BufferedBody
from egretmill.entry.upstream_call import UpstreamCall, UpstreamTarget
from egretmill.errors import ErrorKind
from tests.http1.harness import ADDRESS, run_upstream

CALLS_AT_ONCE = 20
STATUS = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
SHORT_HEADERS = b''.join(b'%x:\r\n' % number for number in range(9000))
#: For each call: the longest head, its text and the sockets' buffers.
MEMORY_PER_CALL_BYTES = 6 * 65536


class DiscardingSink:
    """Takes an answer and drops it."""

    async def start(self, status, headers):
        """Take status and headers."""

    async def write(self, chunk):
        """Take a chunk of the body."""


@pytest.mark.parametrize('end_of_head', [b'', b'\r\n'])
async def test_many_short_headers_take_bounded_memory(end_of_head):
    """Guards against objects that take far more memory than their bytes."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(STATUS + SHORT_HEADERS + end_of_head)
        await reader.read()

    async def call_upstream(port):
        target = UpstreamTarget(ADDRESS, port, 'GET', '/')
        call = UpstreamCall(target, DiscardingSink())
        until = asyncio.get_running_loop().time() + 1
        return await call.run(HTTPHeaders(), BufferedBody(b''), 0.5, until)

    async with run_upstream(serve) as port:
        tracemalloc.start()
        try:
            ends = await asyncio.gather(
                *(call_upstream(port) for _ in range(CALLS_AT_ONCE))
            )
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    expected = ErrorKind.UPSTREAM_TIMEOUT
    if end_of_head:
        expected = ErrorKind.UPSTREAM_FAILED
    assert {end.kind for end in ends} == {expected}
    assert peak_bytes < CALLS_AT_ONCE * MEMORY_PER_CALL_BYTES


@pytest.mark.parametrize('status', ['000', '099', '600'])
async def test_status_that_http_does_not_have_fails_the_call(status):
    """Guards against a request that ends without any answer."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 %b X\r\n' % status.encode())
        writer.write(b'Content-Length: 2\r\n\r\nno')
        await reader.read()

    async with run_upstream(serve) as port:
        target = UpstreamTarget(ADDRESS, port, 'GET', '/')
        call = UpstreamCall(target, DiscardingSink())
        until = asyncio.get_running_loop().time() + 3
        end = await call.run(HTTPHeaders(), BufferedBody(b''), 0.5, until)
    assert end.kind is ErrorKind.UPSTREAM_FAILED


async def test_interim_answers_without_end_fail_the_call():
    """Guards against interim answers that are read until the deadline."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        while True:
            writer.write(b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100)
            await writer.drain()

    async with run_upstream(serve) as port:
        target = UpstreamTarget(ADDRESS, port, 'GET', '/')
        call = UpstreamCall(target, DiscardingSink())
        until = asyncio.get_running_loop().time() + 3
        end = await call.run(HTTPHeaders(), BufferedBody(b''), 0.5, until)
    assert end.kind is ErrorKind.UPSTREAM_FAILED
