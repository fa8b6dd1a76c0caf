"""Streamed bodies: bounded memory, backpressure and cut uploads."""

import asyncio
import contextlib
import json

import pytest
import xxhash

from egretmill.entry.body import StreamedBody
from tests.entry.harness import ADDRESS, KEY, running_entry

SIZE = 16777216
#: Time between an early answer and the rest of the body, in seconds.
READS_ON_AFTER_S = 0.2
#: Longest wait for the end of an upload, in seconds.
WAIT_S = 5.0


def upload_head(size: int) -> bytes:
    """Return the head of an upload request."""
    return (
        f'POST /intake HTTP/1.1\r\nHost: x\r\nX-Api-Key: {KEY}\r\n'
        f'X-Work-Id: upload\r\nContent-Length: {size}\r\n\r\n'
    ).encode()


async def test_upload_arrives_unchanged():
    """Guards against an upload that loses or changes bytes."""
    body = bytes(range(256)) * (SIZE // 256)
    async with running_entry() as entry:
        answer = await entry.fetch('/intake', method='POST', body=body)
        arrived = json.loads(answer.body)
        assert arrived['received'] == SIZE
        assert arrived['xxh3'] == xxhash.xxh3_64_hexdigest(body)


@contextlib.asynccontextmanager
async def run_early_upstreams(status):
    """Run an entry program whose upstreams answer at once, and read on.

    Yield the program and a future of the bytes that an upstream has read.
    """
    received = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok' % status)
        await asyncio.sleep(READS_ON_AFTER_S)
        size = 0
        with contextlib.suppress(ConnectionError):
            while size < SIZE and (piece := await reader.read(65536)):
                size += len(piece)
        writer.close()
        received.set_result(size)

    server = await asyncio.start_server(serve, ADDRESS, 0)
    async with running_entry() as entry:
        port = server.sockets[0].getsockname()[1]
        entry.move_upstreams({'address': ADDRESS, 'port': port})
        yield entry, received
    server.close()


@pytest.mark.parametrize(('status', 'is_whole'), [(200, True), (403, False)])
async def test_early_answer_ends_only_an_upload_that_has_failed(
    status, is_whole
):
    """Guards against uploads that are answered 200 and arrive in part."""
    async with run_early_upstreams(status) as (entry, received):
        reader, writer = await asyncio.open_connection(ADDRESS, entry.port)
        # The caller goes on with its body behind the answer.
        writer.write(upload_head(SIZE) + b'u' * SIZE)
        with contextlib.closing(writer):
            status_line = await reader.readuntil(b'\r\n')
            assert status_line.split()[1] == b'%d' % status
            async with asyncio.timeout(WAIT_S):
                assert (await received == SIZE) == is_whole


async def test_upload_to_a_dead_upstream_is_retried_at_another():
    """Guards against an upload that fails although no byte was sent."""
    async with running_entry() as entry:
        await entry.kill('intake-1')
        for _ in range(4):
            answer = await entry.fetch(
                '/intake',
                method='POST',
                body=b'x' * 200000,
            )
            assert answer.code == 200


async def test_upload_cut_by_the_caller_is_cancelled():
    """Guards against upstream work for a caller that has disconnected."""
    async with running_entry() as entry:
        _, writer = await asyncio.open_connection('127.0.0.1', entry.port)
        writer.write(upload_head(SIZE) + b'x' * 100000)
        await writer.drain()
        await asyncio.sleep(0.1)
        assert entry.state.running_requests == 1
        writer.close()
        await asyncio.sleep(0.2)
        assert entry.state.running_requests == 0
        assert entry.executions('upload') == 0


async def test_slow_upstream_applies_backpressure():
    """Guards against an upload that is read into memory whole."""
    body = StreamedBody(None)
    fed = 0
    for _ in range(4):
        await body.feed(b'x')
        fed += 1
    waiting = asyncio.create_task(body.feed(b'x'))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    body.abandon()
    await asyncio.wait_for(waiting, 1)
    assert fed == body.queue.maxsize


async def test_large_download_reaches_a_slow_caller_completely():
    """Guards against an answer that is cut or read into memory whole."""
    size = 8388608
    async with running_entry() as entry:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            entry.port,
            limit=4096,
        )
        request_head = (
            f'GET /open?bytes={size} HTTP/1.1\r\nHost: x\r\n'
            'Connection: close\r\n\r\n'
        )
        writer.write(request_head.encode())
        await reader.readuntil(b'\r\n\r\n')
        received = 0
        while chunk := await reader.read(262144):
            received += len(chunk)
            await asyncio.sleep(0.0005)
        assert received == size
        writer.close()
