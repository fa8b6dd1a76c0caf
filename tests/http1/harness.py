"""A server and an upstream on loopback sockets, driven by raw bytes."""

import asyncio
import contextlib
import dataclasses

from egretmill.http1 import (
    ConnectionLimits,
    PendingAnswer,
    Response,
    ServerConnection,
)

ADDRESS = '127.0.0.1'


@dataclasses.dataclass
class Recorder:
    """Handler that keeps what arrives; tests answer."""

    limits: ConnectionLimits = ConnectionLimits()
    leaving: bool = False
    begun: list[PendingAnswer] = dataclasses.field(default_factory=list)
    gone: list[bytes] = dataclasses.field(default_factory=list)
    errors: list[int] = dataclasses.field(default_factory=list)
    connections: list[ServerConnection] = dataclasses.field(
        default_factory=list,
    )

    def begin(self, pending):
        """Keep a request."""
        pending.on_gone = lambda: self.gone.append(pending.head.target)
        self.begun.append(pending)

    def opened(self, connection):
        """Keep a connection."""
        self.connections.append(connection)

    def closed(self, connection):
        """Drop a connection."""
        self.connections.remove(connection)

    def rejected(self, status, reason):
        """Keep the status of unreadable bytes."""
        self.errors.append(status)


@contextlib.asynccontextmanager
async def serving(recorder):
    """Serve on a free port; yield a reader and a writer to it."""
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


async def until(condition):
    """Wait until a condition holds; the test's time limit bounds it."""
    while not condition():
        await asyncio.sleep(0.001)


async def read_response(reader):
    """Read one response with a stated length; return head and body."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return head, await reader.readexactly(length)


def ok(body=b''):
    """Return a plain response."""
    return Response(200, body=body)


@contextlib.asynccontextmanager
async def upstream(serve):
    """Run a scripted upstream; yield its port."""
    server = await asyncio.start_server(serve, ADDRESS, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
