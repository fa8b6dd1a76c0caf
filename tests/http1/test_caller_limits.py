"""What callers may send, and what is kept of it."""

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
