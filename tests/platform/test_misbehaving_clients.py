"""A host whose callers send what no caller should, and keep connections open.

The machine of these tests has less memory than those of the users, so that a
small crowd suffices.
"""

import asyncio
import contextlib
import socket

import pytest

from egretmill.peers import Heartbeat, encode_datagram
from tests.misbehaving import (
    ENDLESS,
    HOLD_S,
    KIB,
    MIB,
    PIECE_BYTES,
    Behaviour,
    flooding,
    keep_crowd,
    memory_bytes,
    short_headers,
    trickling,
    unread_bytes,
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


#: Short requests, as many as fit into what is received at once.
PIPELINED_PAGES = {
    'entry': b'GET / HTTP/1.1\r\n\r\n' * 3500,
    'readiness': b'GET /egretmill/readiness HTTP/1.1\r\n\r\n' * 1500,
    'directory': (
        b'GET /egretmill/resolve?Name=h&Region=west&Zone=west-a HTTP/1.1\r\n'
        b'\r\n'
    )
    * 1000,
    'metrics': b'GET /metrics HTTP/1.1\r\n\r\n' * 2000,
    'peers': b'GET / HTTP/1.1\r\n\r\n' * 3500,
}
FLOODING_CLIENTS = 60
#: Of a machine with 300 MB and 4,100 descriptors, the third.
DESCRIPTORS_OF_A_THIRD = 1366
#: Fewer than the host has connections for.
UNREAD_CLIENTS = 600
UNREAD_BEHAVIOURS = {
    'behind-unread-answers': Behaviour(
        (GET + b'\r\n') * 16, b'x' * PIECE_BYTES, MIB
    ),
    'behind-two-byte-chunks': Behaviour(
        CHUNKED, b'2\r\nab\r\n' * 2000, 2 * MIB
    ),
}
SAMPLE_INTERVAL_S = 0.1
#: Hosts that do not exist, and those of them that report on many accounts.
FORGED_HOSTS = 20000
FORGED_LONG_HOSTS = 1000
FORGED_ACCOUNTS = {f'{number:x}': (0.5, 0.1) for number in range(2400)}
#: Datagrams that are sent before a pause, so that few of them are lost.
FORGED_AT_ONCE = 4
FORGED_PAUSE_S = 0.002


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


async def sample_memory(environment, samples):
    """Add what the host keeps now, in its process and in the kernel."""
    port = environment.ports['entry']
    while True:
        kept = memory_bytes(environment.process.pid) + unread_bytes(port)
        samples.append(kept)
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def send_forged_heartbeats(environment, count, shortages):
    """Send heartbeats of hosts that do not exist."""
    address = (ADDRESS, environment.ports['peers'])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(count):
            heartbeat = Heartbeat(
                host=f'forged-{number}',
                incarnation=1,
                entry=f'{ADDRESS}:1',
                failure_domain='west-a',
                region='west',
                ready=True,
                sent_at=1,
                answers=0,
                knowledge=1,
                knowledge_age=0,
                roster=1,
                roster_age=0,
                shortages=shortages,
            )
            sender.sendto(encode_datagram(heartbeat), address)
            if not number % FORGED_AT_ONCE:
                await asyncio.sleep(FORGED_PAUSE_S)


@contextlib.asynccontextmanager
async def start_machine(path, descriptors):
    """Start a host and wait until it is ready."""
    started = SmallMachine(path)
    async with contextlib.AsyncExitStack() as stack:
        await started.start_dependencies(stack)
        settings = path.read_text()
        path.write_text(
            settings.replace(
                f'descriptors = {DESCRIPTORS}', f'descriptors = {descriptors}'
            )
        )
        stack.push_async_callback(started.stop_host)
        await started.start_host()
        started.limit_descriptors(descriptors)
        yield started


@pytest.fixture
async def machine(tmp_path):
    """Return an environment whose host is ready."""
    async with start_machine(tmp_path / 'host.toml', DESCRIPTORS) as started:
        yield started


@pytest.fixture
async def wide_machine(tmp_path):
    """Return an environment whose host has room for more connections."""
    path = tmp_path / 'host.toml'
    async with start_machine(path, DESCRIPTORS_OF_A_THIRD) as started:
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


@pytest.mark.parametrize('port', PIPELINED_PAGES)
async def test_short_requests_without_end_leave_others_their_answers(
    machine, port
):
    """Guards against a loop that is busy with the requests of a few."""
    address = (ADDRESS, machine.ports[port])
    async with flooding(address, PIPELINED_PAGES[port], FLOODING_CLIENTS):
        await asyncio.sleep(HOLD_S)
        await wait_for_answer(machine)
        check_bounds(machine)


@pytest.mark.parametrize('name', UNREAD_BEHAVIOURS)
async def test_unread_bytes_leave_the_machine_within_its_memory(
    wide_machine, name
):
    """Guards against bytes that the kernel holds for many connections."""
    wide_machine.answer = ANSWER
    address = (ADDRESS, wide_machine.ports['entry'])
    samples = []
    sampling = asyncio.create_task(sample_memory(wide_machine, samples))
    await keep_crowd(address, UNREAD_BEHAVIOURS[name], UNREAD_CLIENTS)
    sampling.cancel()
    assert max(samples) < MEMORY_MB * MIB
    await wait_for_answer(wide_machine)
    assert wide_machine.process.returncode is None


@pytest.mark.parametrize(
    ('count', 'shortages'),
    [(FORGED_HOSTS, {}), (FORGED_LONG_HOSTS, FORGED_ACCOUNTS)],
    ids=['many', 'long'],
)
async def test_forged_heartbeats_leave_the_host_within_its_memory(
    machine, count, shortages
):
    """Guards against a table of peers that any sender can fill."""
    await send_forged_heartbeats(machine, count, shortages)
    check_bounds(machine)
    await wait_for_answer(machine)
    check_bounds(machine)
