"""What callers may send, and what is kept of it."""

import pytest

from egretmill.http1.body import JOINED_CHUNK_BYTES
from tests.http1.harness import Recorder, serve_connection, wait_until

CHUNKED = b'POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'


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
