"""A host whose callers send what no caller should, and keep connections open.

The machine of these tests has less memory than those of the users, so that a
small crowd suffices.
"""

import asyncio
import contextlib

import pytest

from tests.misbehaving import (
    ENDLESS,
    HOLD_S,
    KIB,
    MIB,
    PIECE_BYTES,
    Behaviour,
    keep_crowd,
    short_headers,
    trickling,
)
from tests.platform.test_crowded_host import DESCRIPTORS, probe
from tests.platform.test_endless_upstream import EndlessEnvironment
from tests.platform.test_program import ADDRESS, TIMEOUT_S

MEMORY_MB = 100
CLIENTS = 160
#: Size limit of a head in the configuration.
HEAD_LIMIT_BYTES = 16 * KIB
HEAD = (
    b'%b /a/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n'
    b'Egretmill-Request-Id: c\r\n'
)
GET = HEAD % b'GET'
POST = HEAD % b'POST'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
#: The longest body that is held in memory.
BUFFERED_BODY_BYTES = MIB
ANSWER = b'x' * 256 * KIB


#: A head of legal size, without its last line.
SHORT_LINES_HEAD = POST + short_headers(HEAD_LIMIT_BYTES - 300)
PIPELINED = (GET + short_headers(HEAD_LIMIT_BYTES - 300) + b'\r\n') * 64


BEHAVIOURS = {
    'target': Behaviour(b'GET /a/', b'x' * PIECE_BYTES, ENDLESS),
    'header-name': Behaviour(GET, b'x' * PIECE_BYTES, ENDLESS),
    'header-line': Behaviour(GET + b'X: ', b'x' * PIECE_BYTES, ENDLESS),
    'long-stalled-head': Behaviour(GET + short_headers(60000)),
    'legal-stalled-head': Behaviour(SHORT_LINES_HEAD),
    'legal-head-and-stalled-body': Behaviour(
        SHORT_LINES_HEAD + b'Content-Length: 5\r\n\r\n'
    ),
    'pipelined-heads': Behaviour(PIPELINED),
    'trailer-line': Behaviour(
        CHUNKED + b'0\r\nX: ', b'x' * PIECE_BYTES, ENDLESS
    ),
    'trailers': Behaviour(CHUNKED + b'0\r\n', b'a:b\r\n' * 3000, 256 * KIB),
    'two-byte-chunks': Behaviour(CHUNKED, b'2\r\nab\r\n' * 2000, 256 * KIB),
    'chunk-extension': Behaviour(CHUNKED + b'1;', b'x' * PIECE_BYTES, ENDLESS),
    'body-without-its-end': Behaviour(
        POST + b'Content-Length: %d\r\n\r\n' % BUFFERED_BODY_BYTES,
        b'x' * PIECE_BYTES,
        BUFFERED_BODY_BYTES - 1,
    ),
    'chunks-without-an-end': Behaviour(
        CHUNKED,
        b'3e8\r\n%b\r\n' % (b'x' * 1000),
        BUFFERED_BODY_BYTES - PIECE_BYTES,
    ),
    'unread-answers': Behaviour((GET + b'\r\n') * 64),
}
#: More than the host has connections for.
HOLDERS = 380
UPLOAD = POST + b'Content-Length: %d\r\n\r\n' % MIB
#: A request with a body that does not end, on an address that takes none.
INCOMPLETE_BODY = Behaviour(
    b'GET /egretmill/resolve?Name=h&Region=west&Zone=west-a HTTP/1.1\r\n'
    b'Host: h\r\nContent-Length: %d\r\n\r\n' % (16 * MIB),
    b'x' * PIECE_BYTES,
    ENDLESS,
)


class SmallMachine(EndlessEnvironment):
    """A host with little memory and few descriptors.

    Its upstream answers each request at once, on a connection of its own.
    """

    def __init__(self, path):
        """Start with an upstream whose answers are short."""
        super().__init__(path)
        self.answer = b'yes'

    def write_settings(self, store_port):
        """Write settings that state the memory of the machine."""
        super().write_settings(store_port)
        text = self.path.read_text()
        self.path.write_text(
            text.replace('room = 1', f'room = 1\nmemory_mb = {MEMORY_MB}')
        )

    async def serve(self, reader, writer):
        """Answer a request whose body is not of interest."""
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.IncompleteReadError),
        ):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                b'HTTP/1.1 200 OK\r\nEgretmill-Response-Signature: s\r\n'
                b'Connection: close\r\nContent-Length: %d\r\n\r\n%b'
                % (len(self.answer), self.answer)
            )
            await writer.drain()


async def wait_for_answer(environment):
    """Wait until an ordinary request gets its answer."""
    environment.answer = b'yes'
    async with asyncio.timeout(TIMEOUT_S):
        while await probe(environment, 0) != 200:
            await asyncio.sleep(0.1)


def check_bounds(environment):
    """Check that the process lives, within its memory and descriptors."""
    assert environment.process.returncode is None
    assert environment.peak_memory_bytes() < MEMORY_MB * MIB
    assert environment.count_descriptors() <= DESCRIPTORS


@pytest.fixture
async def machine(tmp_path):
    """Return an environment whose host is ready."""
    started = SmallMachine(tmp_path / 'host.toml')
    async with contextlib.AsyncExitStack() as stack:
        await started.start_dependencies(stack)
        stack.push_async_callback(started.stop_host)
        await started.start_host()
        started.limit_descriptors(DESCRIPTORS)
        yield started


@pytest.mark.parametrize('name', BEHAVIOURS)
async def test_misbehaving_callers_leave_the_host_within_its_memory(
    machine, name
):
    """Guards against clients that end the host's process."""
    machine.answer = ANSWER
    address = (ADDRESS, machine.ports['entry'])
    await keep_crowd(address, BEHAVIOURS[name], CLIENTS)
    check_bounds(machine)
    await wait_for_answer(machine)
    check_bounds(machine)


@pytest.mark.parametrize('port', ['readiness', 'directory', 'metrics', 'peers'])
async def test_bodies_on_other_addresses_leave_the_host_within_its_memory(
    machine, port
):
    """Guards against a process that is ended by way of its other listeners."""
    address = (ADDRESS, machine.ports[port])
    await keep_crowd(address, INCOMPLETE_BODY, CLIENTS)
    check_bounds(machine)
    await wait_for_answer(machine)
    check_bounds(machine)


@pytest.mark.parametrize(
    ('port', 'start', 'piece'),
    [
        ('entry', UPLOAD, b'x'),
        ('entry', GET, b'x'),
        ('directory', b'', b''),
        ('metrics', GET, b'x'),
    ],
    ids=['uploads', 'heads', 'idle-elsewhere', 'heads-elsewhere'],
)
async def test_connections_that_are_held_open_keep_no_caller_out(
    machine, port, start, piece
):
    """Guards against clients that take up all descriptors of the host."""
    address = (ADDRESS, machine.ports[port])
    async with trickling(address, start, piece, HOLDERS):
        await asyncio.sleep(HOLD_S)
        await wait_for_answer(machine)
        check_bounds(machine)
