"""A host whose upstream sends bytes without end on many connections."""

import asyncio
import contextlib
import pathlib

import pytest

from egretmill.http1.buffers import BUFFER_LIMIT_BYTES
from tests.platform.test_crowded_host import CrowdedEnvironment, probe

CALLS = 150
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nEgretmill-Response-Signature: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
STATUS = b'HTTP/1.1 200 OK\r\n'
SHORT_HEADERS = b'a:b\r\n' * 5000
BODY = b'x' * (768 << 10)
CHUNKED_BODY = CHUNKED + b'%x\r\n%b\r\n0\r\n' % (len(BODY), BODY)
#: A complete body is copied once, and all bodies count in the buffers.
MEMORY_GROWTH_BYTES = 2 * BUFFER_LIMIT_BYTES


class EndlessEnvironment(CrowdedEnvironment):
    """A host with an upstream that repeats bytes until the connection ends."""

    def __init__(self, path):
        """Start with an upstream that repeats short headers."""
        super().__init__(path)
        self.start = STATUS
        self.repeated = SHORT_HEADERS
        self.upstream.serve = self.serve

    async def serve(self, reader, writer):
        """Answer a request without end, or stall after the start."""
        with contextlib.closing(writer), contextlib.suppress(OSError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.start)
            while self.repeated:
                writer.write(self.repeated)
                await writer.drain()
            await reader.read()

    def peak_memory_bytes(self):
        """Return the peak memory of the host process."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        return int(status.partition('VmHWM:')[2].split()[0]) << 10


@pytest.fixture
async def endless(tmp_path):
    """Return an environment whose host is ready."""
    started = EndlessEnvironment(tmp_path / 'host.toml')
    async with contextlib.AsyncExitStack() as stack:
        await started.start_dependencies(stack)
        stack.push_async_callback(started.stop_host)
        await started.start_host()
        yield started


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (STATUS, SHORT_HEADERS),
        (CHUNKED_BODY, SHORT_HEADERS),
        (STATUS + SHORT_HEADERS * 3, b''),
        (STATUS + b'\r\n', BODY),
    ],
    ids=['headers', 'trailers', 'stalled-head', 'body'],
)
async def test_endless_answers_leave_the_host_within_its_memory(
    endless, start, repeated
):
    """Guards against a faulty upstream that ends the host's process."""
    endless.start = start
    endless.repeated = repeated
    before_bytes = endless.peak_memory_bytes()
    outcomes = await asyncio.gather(
        *(probe(endless, number) for number in range(CALLS))
    )
    assert endless.process.returncode is None
    assert endless.peak_memory_bytes() - before_bytes < MEMORY_GROWTH_BYTES
    assert 200 not in outcomes
    endless.start = (
        STATUS + b'Egretmill-Response-Signature: s\r\n'
        b'Content-Length: 3\r\n\r\nyes'
    )
    endless.repeated = b''
    async with asyncio.timeout(10):
        while await probe(endless, CALLS) != 200:
            await asyncio.sleep(0.1)
