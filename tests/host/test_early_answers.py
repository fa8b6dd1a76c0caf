"""Uploads that an upstream answers before it has read them."""

import asyncio
import contextlib
import dataclasses

import pytest

from egretmill.host.handler import EntryHandler
from egretmill.host.event_loop import BootLoop
from egretmill.http1 import ServerConnection
from tests.host.fakes import ONCE, configuration, make_state, upstream
from tests.host.test_exchange import NOT_RUN, response
from tests.http1.harness import ADDRESS, read_response, wait_until

MIB = 1 << 20
#: More than the buffers of all connections on the way hold.
UPLOAD_BYTES = 16 * MIB
#: The upstream answers when it has read so much of an upload.
ANSWERED_AFTER = MIB // 2
PIECE_BYTES = 65536
#: Longest run of a test, in seconds.
LIMIT_S = 30.0
DEADLINE_S = 20.0
HEAD = (
    b'POST /o/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n'
    b'X-Request-Id: id1\r\n'
)
NEXT = (
    b'GET /r/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n'
    b'X-Request-Id: id1\r\n\r\n'
)


class EarlyUpstream:
    """Answers uploads early, and reads on when the test lets it.

    :param received: bytes of the uploads of which an end was seen.
    :param cut: bytes of the uploads that ended with their connection.
    """

    def __init__(self, answer):
        self.answer = answer
        self.reads_on = asyncio.Event()
        self.received = []
        self.cut = []
        self.writers = []

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                if head.startswith(b'POST'):
                    await self.receive_upload(head.lower(), reader, writer)
                else:
                    writer.write(response())

    async def receive_upload(self, head, reader, writer):
        """Read an upload, and answer after a part of it."""
        received = 0
        try:
            async for piece in iter_body(head, reader):
                assert not piece.strip(b'u')
                before = received
                received += len(piece)
                if before < ANSWERED_AFTER <= received:
                    writer.write(self.answer)
                    await self.reads_on.wait()
        except (asyncio.IncompleteReadError, OSError):
            self.cut.append(received)
            raise
        self.received.append(received)


async def iter_body(head, reader):
    """Yield the pieces of a body."""
    if b'transfer-encoding: chunked' not in head:
        length = head.partition(b'content-length: ')[2].split(b'\r\n')[0]
        async for piece in iter_exactly(reader, int(length)):
            yield piece
        return
    while size := int(await reader.readuntil(b'\r\n'), 16):
        async for chunk_piece in iter_exactly(reader, size):
            yield chunk_piece
        assert await reader.readexactly(2) == b'\r\n'
    assert await reader.readexactly(2) == b'\r\n'


async def iter_exactly(reader, size):
    """Yield a number of bytes in pieces."""
    while size:
        piece = await reader.read(min(size, PIECE_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(b'', size)
        size -= len(piece)
        yield piece


class Fixture:
    """A host with one upstream, and a connection of a caller."""

    def __init__(self, script, handler, reader, writer):
        self.script = script
        self.handler = handler
        self.reader = reader
        self.writer = writer

    async def upload(self, *, chunked=False, extra=b''):
        """Send an upload with extra header lines."""
        framing = b'Content-Length: %d\r\n\r\n' % UPLOAD_BYTES
        if chunked:
            framing = b'Transfer-Encoding: chunked\r\n\r\n'
        self.writer.write(HEAD + extra + framing)
        for _ in range(UPLOAD_BYTES // PIECE_BYTES):
            piece = b'u' * PIECE_BYTES
            if chunked:
                piece = b'%x\r\n%b\r\n' % (PIECE_BYTES, piece)
            self.writer.write(piece)
            await self.writer.drain()
        if chunked:
            self.writer.write(b'0\r\n\r\n')

    async def read_status(self):
        """Return the status of the next answer."""
        head, _ = await read_response(self.reader)
        return int(head.split()[1])


@contextlib.asynccontextmanager
async def run_host(answer, deadline_s=DEADLINE_S, upstreams=1):
    """Run a host in front of upstreams that answer uploads early."""
    script = EarlyUpstream(answer)
    server = await asyncio.start_server(script.serve, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    state = make_state(
        *(upstream(f'u{number}', port) for number in range(upstreams))
    )
    route = dataclasses.replace(ONCE, timeout_s=deadline_s)
    routes = (route, *configuration().routes['h'])
    state.apply_configuration(
        dataclasses.replace(configuration(2), routes={'h': routes})
    )
    handler = EntryHandler(state)
    front = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(handler), ADDRESS, 0
    )
    front_port = front.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(ADDRESS, front_port)
    try:
        async with asyncio.timeout(LIMIT_S):
            yield Fixture(script, handler, reader, writer)
    finally:
        front.close()
        server.close()
        for open_writer in (writer, *script.writers):
            open_writer.transport.abort()


def run(test):
    """Run a test on the program's event loop."""
    with asyncio.Runner(loop_factory=BootLoop) as runner:
        runner.run(test)


@pytest.mark.parametrize('chunked', [False, True])
def test_early_success_does_not_cut_the_upload(chunked):
    """Guards against uploads that are answered 200 and arrive in part."""

    async def check():
        async with run_host(response()) as fixture:
            uploading = asyncio.create_task(fixture.upload(chunked=chunked))
            assert await fixture.read_status() == 200
            assert not uploading.done()
            fixture.script.reads_on.set()
            await uploading
            await wait_until(
                lambda: fixture.script.received + fixture.script.cut
            )
            assert fixture.script.received == [UPLOAD_BYTES]
            fixture.writer.write(NEXT)
            assert await fixture.read_status() == 200
            await wait_until(lambda: not fixture.handler.tasks)

    run(check())


@pytest.mark.parametrize('chunked', [False, True])
def test_last_upload_of_a_connection_is_sent_whole_after_its_answer(chunked):
    """Guards against a close that leaves the end of a body unsent."""

    async def check():
        async with run_host(response()) as fixture:
            uploading = asyncio.create_task(
                fixture.upload(chunked=chunked, extra=b'Connection: close\r\n')
            )
            assert await fixture.read_status() == 200
            fixture.script.reads_on.set()
            await uploading
            assert not await fixture.reader.read()
            await wait_until(lambda: not fixture.handler.is_busy)
            await wait_until(
                lambda: fixture.script.received + fixture.script.cut
            )
            assert fixture.script.received == [UPLOAD_BYTES]

    run(check())


@pytest.mark.parametrize(
    ('answer', 'status'),
    [
        (response(413), 413),
        (response(503, NOT_RUN), 503),
        (response(headers=b''), 502),
    ],
    ids=['failure', 'refusal', 'unsigned success'],
)
def test_early_failure_ends_the_upload_at_the_upstream(answer, status):
    """Guards against sending the rest of an upload that has failed."""

    async def check():
        async with run_host(answer) as fixture:
            uploading = asyncio.create_task(fixture.upload())
            assert await fixture.read_status() == status
            await uploading
            fixture.script.reads_on.set()
            await wait_until(lambda: fixture.script.cut)
            assert fixture.script.cut[0] < UPLOAD_BYTES
            assert not fixture.script.received
            assert not fixture.handler.tasks

    run(check())


def test_early_refusal_of_a_body_that_streams_is_not_repeated():
    """Guards against the rest of a body as the whole one elsewhere."""

    async def check():
        async with run_host(response(503, NOT_RUN), upstreams=2) as fixture:
            uploading = asyncio.create_task(fixture.upload())
            assert await fixture.read_status() == 503
            fixture.script.reads_on.set()
            await uploading
            assert len(fixture.script.writers) == 1

    run(check())


def test_caller_that_leaves_an_answered_upload_ends_it_at_the_upstream():
    """Guards against an upstream that waits for the rest of a body."""

    async def check():
        async with run_host(response()) as fixture:
            uploading = asyncio.create_task(fixture.upload())
            assert await fixture.read_status() == 200
            uploading.cancel()
            fixture.writer.transport.abort()
            fixture.script.reads_on.set()
            await wait_until(lambda: fixture.script.cut)
            await wait_until(lambda: not fixture.handler.is_busy)

    run(check())


def test_malformed_rest_of_an_answered_upload_ends_it_at_the_upstream():
    """Guards against an upstream that waits for a body until its deadline."""

    async def check():
        async with run_host(response()) as fixture:
            head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
            chunk = b'%x\r\n%b\r\n' % (2 * MIB, b'u' * 2 * MIB)
            fixture.writer.write(head + chunk)
            assert await fixture.read_status() == 200
            fixture.writer.write(b'not a chunk size\r\n')
            assert not await fixture.reader.read()
            fixture.script.reads_on.set()
            async with asyncio.timeout(DEADLINE_S / 2):
                await wait_until(lambda: fixture.script.cut)
                await wait_until(lambda: not fixture.handler.is_busy)

    run(check())


def test_upstream_that_closes_does_not_hold_up_an_answered_caller():
    """Guards against a body buffer that nobody empties any more."""

    async def check():
        async with run_host(response()) as fixture:
            uploading = asyncio.create_task(fixture.upload())
            assert await fixture.read_status() == 200
            fixture.script.writers[0].transport.abort()
            await uploading
            fixture.writer.write(NEXT)
            assert await fixture.read_status() == 200
            assert not fixture.handler.tasks

    run(check())


def test_deadline_ends_the_rest_of_an_answered_upload():
    """Guards against forwarding without end to an upstream that is stuck."""

    async def check():
        async with run_host(response(), deadline_s=0.5) as fixture:
            uploading = asyncio.create_task(fixture.upload())
            assert await fixture.read_status() == 200
            await wait_until(lambda: not fixture.handler.tasks)
            await uploading
            fixture.script.reads_on.set()
            await wait_until(lambda: fixture.script.cut)

    run(check())
