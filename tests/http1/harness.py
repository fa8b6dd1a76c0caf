"""A server and an upstream on loopback sockets, driven by raw bytes."""

import asyncio
import contextlib
import dataclasses

from egretmill.http1 import (
    CallerMemory,
    ConnectionLimits,
    ConnectionUsage,
    Intake,
    PendingAnswer,
    Response,
    ServerConnection,
)

ADDRESS = '127.0.0.1'


@dataclasses.dataclass
class Recorder:
    """Handler that records requests and connections; tests answer."""

    limits: ConnectionLimits = ConnectionLimits()
    leaving: bool = False
    usage: ConnectionUsage = dataclasses.field(default_factory=ConnectionUsage)
    requests: list[PendingAnswer] = dataclasses.field(default_factory=list)
    disconnected: list[bytes] = dataclasses.field(default_factory=list)
    errors: list[int] = dataclasses.field(default_factory=list)
    connections: list[ServerConnection] = dataclasses.field(
        default_factory=list,
    )
    memory: CallerMemory = dataclasses.field(default_factory=CallerMemory)
    intake: Intake = dataclasses.field(default_factory=Intake)

    def start_request(self, pending):
        """Record a request."""
        pending.on_disconnect = lambda: self.disconnected.append(
            pending.head.target
        )
        self.requests.append(pending)

    def connection_opened(self, connection):
        """Record a connection."""
        self.connections.append(connection)

    def connection_closed(self, connection):
        """Remove a closed connection."""
        self.connections.remove(connection)

    def request_rejected(self, status, reason):
        """Record the status for an unreadable request."""
        self.errors.append(status)

    def refuse_for_memory(self, pending):
        """Record and refuse a request."""
        self.errors.append(503)
        pending.answer(Response(503))


class FakeTransport(asyncio.Transport):
    """Keeps what a connection writes, up to its close."""

    def __init__(self, protocol):
        """Connect a protocol."""
        super().__init__()
        self.protocol = protocol
        self.written = b''
        self.closed = False
        protocol.connection_made(self)

    def write(self, content):
        """Keep the bytes."""
        if not self.closed:
            self.written += content

    def close(self):
        """Close once; the protocol is told by the loop."""
        if not self.closed:
            self.closed = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    abort = close
    write_eof = close

    def get_write_buffer_size(self):
        """Return that all is sent."""
        return 0

    def is_closing(self):
        """Return whether the connection is closed."""
        return self.closed

    def is_reading(self):
        """Return whether bytes are taken."""
        return True


@contextlib.asynccontextmanager
async def serve_connection(recorder):
    """Serve on a free port; yield the streams of a client connection."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: ServerConnection(recorder),
        ADDRESS,
        0,
    )
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    try:
        yield reader, writer
    finally:
        writer.close()
        server.close()


async def wait_until(condition):
    """Wait until a condition holds; the test's time limit bounds it."""
    while not condition():
        await asyncio.sleep(0.001)


async def read_response(reader):
    """Read a response with ``Content-Length``; return head and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return head, await reader.readexactly(length)


def ok_response(body=b''):
    """Return a response with status 200."""
    return Response(200, body=body)


@contextlib.asynccontextmanager
async def run_upstream(serve):
    """Run a scripted upstream; yield its port.

    Its connections are reset at the end: the finalizer of an open stream
    would raise after the event loop has been closed.
    """
    writers = []

    async def serve_connection_of_upstream(reader, writer):
        writers.append(writer)
        await serve(reader, writer)

    server = await asyncio.start_server(
        serve_connection_of_upstream, ADDRESS, 0
    )
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for writer in writers:
            writer.transport.abort()
