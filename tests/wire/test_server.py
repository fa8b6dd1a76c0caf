"""The server between programs, and clients that do not keep its protocol."""

import asyncio
import contextlib
import struct

import pytest
from result import Ok

from egretmill.ledger import MAX_ANSWER_BYTES
from egretmill.metrics import Metrics
from egretmill.wire import PeerClient, Server, messages
from egretmill.wire.connection import CONCURRENT_REQUESTS
from egretmill.wire.framing import REPLY_GREETING, REQUEST_GREETING
from egretmill.wire.server import REQUEST_LIMIT_S
from tests.wire.test_peer import ADDRESS, free_port

MAX_CONNECTIONS = 3
ANSWER_LIMIT_S = 2
IDENTIFIER = b'\x80\0\0\x07'


class Service:
    """A server with few connections, whose handler tests can hold up."""

    def __init__(self):
        """Bind a free port."""
        self.port = free_port()
        self.received = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.server = Server(
            ADDRESS, self.port, self.handle, Metrics(None), MAX_CONNECTIONS
        )

    async def handle(self, message):
        """Record and acknowledge a message."""
        self.received.append(message)
        await self.may_answer.wait()
        return Ok(messages.Acknowledged())

    async def connect(self, start=REQUEST_GREETING):
        """Return the streams of a client that has sent a start."""
        reader, writer = await asyncio.open_connection(ADDRESS, self.port)
        writer.write(start)
        return reader, writer

    async def call(self):
        """Return what an ordinary client gets."""
        peer = PeerClient(ADDRESS, self.port)
        with contextlib.closing(peer):
            return await peer.call(messages.FetchDocument(1), ANSWER_LIMIT_S)


@pytest.fixture
async def service():
    """Return a server that has started."""
    started = Service()
    started.server.start()
    yield started
    started.server.close()


def encode_request(message, identifier=IDENTIFIER):
    """Return the bytes of a request."""
    frame = identifier + messages.encode(message)
    return struct.pack('>Q', len(frame)) + frame


async def is_closed(reader):
    """Return whether a connection ends, whatever was sent before."""
    with contextlib.suppress(ConnectionError):
        await reader.read()
    return True


async def test_reply_repeats_the_identifiers_of_its_request(service):
    """Guards against a reply that pynng takes for that of another call."""
    reader, writer = await service.connect()
    hop = b'\0\0\0\x05'
    request = encode_request(messages.FetchDocument(1), hop + IDENTIFIER)
    for start in range(len(request)):
        writer.write(request[start : start + 1])
    assert await reader.readexactly(8) == REPLY_GREETING
    size = struct.unpack('>Q', await reader.readexactly(8))[0]
    reply = await reader.readexactly(size)
    assert reply.startswith(hop + IDENTIFIER)
    assert messages.decode(reply[8:]) == messages.Acknowledged()
    writer.close()


async def test_longest_answer_is_accepted(service):
    """Guards against a limit that a recorded answer can meet."""
    answer = messages.StoredAnswer(200, (), b'x' * MAX_ANSWER_BYTES)
    record = messages.RecordAnswer(
        'a' * 64, 'k' * 16384, 'i' * 64, 'done', answer
    )
    peer = PeerClient(ADDRESS, service.port)
    assert isinstance(await peer.call(record, ANSWER_LIMIT_S), Ok)
    peer.close()
    assert service.received == [record]


@pytest.mark.parametrize(
    'start',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        REQUEST_GREETING + struct.pack('>Q', 8 << 20),
        REQUEST_GREETING + struct.pack('>Q', 0),
        REQUEST_GREETING + struct.pack('>Q', 4) + b'\0\0\0\0',
    ],
    ids=['other-protocol', 'too-long', 'empty', 'no-identifier'],
)
async def test_other_bytes_end_the_connection_at_once(service, start):
    """Guards against memory for bytes that are no request."""
    reader, writer = await service.connect(start)
    assert await is_closed(reader)
    assert service.server.memory.used_bytes == 0
    writer.close()


@pytest.mark.parametrize(
    'start', [b'', REQUEST_GREETING + b'\0\0'], ids=['greeting', 'request']
)
async def test_incomplete_requests_have_a_time_limit(service, start):
    """Guards against connections that are held by a few bytes."""
    reader, writer = await service.connect(start)
    _, idle_writer = await service.connect()
    while len(service.server.connections) < 2:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    now = asyncio.get_running_loop().time()
    service.server.close_slow(now + REQUEST_LIMIT_S - 1)
    assert len(service.server.connections) == 2
    service.server.close_slow(now + REQUEST_LIMIT_S + 1)
    assert await is_closed(reader)
    assert len(service.server.connections) == 1
    writer.close()
    idle_writer.close()


async def test_time_limit_starts_when_a_waiting_connection_is_read(service):
    """Guards against clients that are cut off because of long polls."""
    service.may_answer.clear()
    request = encode_request(messages.FetchDocument(1))
    reader, writer = await service.connect()
    writer.write(request * CONCURRENT_REQUESTS + request[:-1])
    while len(service.received) < CONCURRENT_REQUESTS:
        await asyncio.sleep(0.01)
    connection = next(iter(service.server.connections))
    now = asyncio.get_running_loop().time()
    connection.part_since = now - REQUEST_LIMIT_S - 1
    assert not connection.is_slow(now, REQUEST_LIMIT_S)
    service.may_answer.set()
    while connection.tasks:
        await asyncio.sleep(0.01)
    assert not connection.is_slow(now, REQUEST_LIMIT_S)
    writer.write(request[-1:])
    while len(service.received) <= CONCURRENT_REQUESTS:
        await asyncio.sleep(0.01)
    writer.close()


async def test_clients_that_stay_connected_make_room_for_others(service):
    """Guards against idle clients that keep all others out."""
    held = [await service.connect() for _ in range(3 * MAX_CONNECTIONS)]
    assert isinstance(await service.call(), Ok)
    assert len(service.server.connections) <= MAX_CONNECTIONS
    for _, writer in held:
        writer.transport.abort()


async def test_connections_with_requests_at_work_are_kept(service):
    """Guards against calls that are cut off for another client."""
    service.may_answer.clear()
    calls = [
        asyncio.create_task(service.call()) for _ in range(MAX_CONNECTIONS)
    ]
    while len(service.received) < MAX_CONNECTIONS:
        await asyncio.sleep(0.01)
    reader, writer = await service.connect()
    assert await is_closed(reader)
    writer.close()
    service.may_answer.set()
    for outcome in await asyncio.gather(*calls):
        assert isinstance(outcome, Ok)


async def test_requests_at_work_count_in_the_memory(service):
    """Guards against clients that send many requests and wait."""
    service.may_answer.clear()
    _, writer = await service.connect()
    writer.write(encode_request(messages.FetchDocument(1)) * 1000)
    while not service.received:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    assert len(service.received) < 100
    assert service.server.memory.used_bytes > 0
    service.may_answer.set()
    while len(service.received) < 1000:
        await asyncio.sleep(0.01)
    writer.transport.abort()
    while service.server.connections:
        await asyncio.sleep(0.01)
    assert service.server.memory.used_bytes == 0
