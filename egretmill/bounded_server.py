"""HTTP servers that bound what their callers send and keep open."""

import dataclasses
import resource
from collections.abc import Awaitable
from typing import Any

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from egretmill import events
from egretmill.http1 import BufferBudget
from egretmill.http1.buffers import HEADER_OVERHEAD_BYTES
from egretmill.logs import log_event

__all__ = ('BoundedServer', 'ServerLimits', 'memory_of_headers')

#: Bytes that a server reads at once.
CHUNK_BYTES = 64 << 10
#: Fraction of the descriptors that the process may open for callers of one
#: server; the rest is for upstreams, other programs and files.
CALLER_FRACTION = 0.5
#: Memory for the heads of the requests of all callers of a server.
HEAD_MEMORY_BYTES = 32 << 20
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nX-Egretmill-Outcome: not-run\r\n'
    b'Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """What callers of a server may send, and how many may be connected.

    :param connections: largest number of connections, if there are enough
        descriptors.
    :param header_bytes: longest head of a request.
    :param body_bytes: longest body of a request; a handler can allow more.
    :param body_s: longest time for a body, in seconds; ``None`` if the
        handlers limit it.
    :param idle_s: longest time from an answer, or from the opening of the
        connection, to the end of a head, in seconds.
    """

    connections: int
    header_bytes: int
    body_bytes: int
    body_s: float | None
    idle_s: float = 60

    @property
    def open_connections(self) -> int:
        """Return the number of connections that descriptors allow now."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return min(self.connections, int(descriptors * CALLER_FRACTION))


def memory_of_headers(headers: httputil.HTTPHeaders) -> int:
    """Return the memory that parsed headers take, in bytes."""
    return sum(
        len(name) + len(text) + HEADER_OVERHEAD_BYTES
        for name, text in headers.get_all()
    )


@dataclasses.dataclass(eq=False, slots=True)
class CallerConnection:
    """An open connection and what is counted for it.

    :param headers: those of its unanswered request, if there is one.
    """

    counted_bytes: int = 0
    headers: httputil.HTTPHeaders | None = None


class BoundedServer(HTTPServer):
    """Bounds what callers send and how many are connected.

    To accept another caller, the connection that has been open for longest is
    closed, unless its request is being answered. Heads count in a budget as
    soon as they are parsed; requests beyond it are refused.
    """

    def initialize(
        self,
        application: Any,
        limits: ServerLimits,
        budget: BufferBudget | None = None,
    ) -> None:
        """Serve an application.

        :param budget: memory of all requests.
        """
        super().initialize(
            application,
            chunk_size=CHUNK_BYTES,
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
            max_buffer_size=2 * max(CHUNK_BYTES, limits.header_bytes),
            body_timeout=limits.body_s,
            idle_connection_timeout=limits.idle_s,
        )
        self.limits = limits
        self.budget = budget or BufferBudget(HEAD_MEMORY_BYTES)
        #: Open connections, the oldest first.
        self.callers: dict[IOStream, CallerConnection] = {}

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection, or close it if there is no room."""
        if not self._make_room():
            stream.close()
            return
        self.callers[stream] = CallerConnection()
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: Any, request_conn: Any
    ) -> httputil.HTTPMessageDelegate:
        """Wait for a request; the one before it is answered."""
        self.release(server_conn.stream)
        delegate = super().start_request(server_conn, request_conn)
        return CountingDelegate(self, request_conn, delegate)

    def on_close(self, server_conn: Any) -> None:
        """Stop tracking a closed connection."""
        self.release(server_conn.stream)
        self.callers.pop(server_conn.stream, None)
        super().on_close(server_conn)

    def count(self, stream: IOStream, headers: httputil.HTTPHeaders) -> bool:
        """Count a head; return whether the budget allows it."""
        caller = self.callers.get(stream)
        kept_bytes = memory_of_headers(headers)
        if caller is None or not self.budget.try_add(kept_bytes):
            return False
        caller.headers = headers
        caller.counted_bytes = kept_bytes
        return True

    def release(self, stream: IOStream) -> None:
        """Drop what is kept of the request of a connection.

        The objects of its connection refer to each other, so that its headers
        would stay until the next garbage collection.
        """
        caller = self.callers.get(stream)
        if caller is None or caller.headers is None:
            return
        self.budget.release(caller.counted_bytes)
        caller.headers.clear()
        caller.headers = None

    def _make_room(self) -> bool:
        """Close the oldest unused connection if there are too many."""
        if len(self.callers) < self.limits.open_connections:
            return True
        for stream, caller in self.callers.items():
            if caller.headers is None:
                del self.callers[stream]
                stream.close()
                return True
        return False


class CountingDelegate(httputil.HTTPMessageDelegate):
    """Passes a request on if the budget of its server allows it."""

    def __init__(
        self,
        server: BoundedServer,
        connection: Any,
        delegate: httputil.HTTPMessageDelegate,
    ) -> None:
        """Count for a server; pass requests on to another delegate."""
        self.server = server
        self.connection = connection
        self.delegate = delegate

    def headers_received(
        self, start_line: Any, headers: httputil.HTTPHeaders
    ) -> Awaitable[None] | None:
        """Count the head, or refuse the request and close the connection."""
        if self.server.count(self.connection.stream, headers):
            return self.delegate.headers_received(start_line, headers)
        log_event(
            events.CATALOGUE.REQUEST_UNREADABLE,
            status=503,
            reason='callers keep too much memory',
        )
        headers.clear()
        stream = self.connection.detach()
        stream.write(REFUSAL).add_done_callback(lambda _: stream.close())
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a chunk of the body."""
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        """Pass on the end of the request."""
        self.delegate.finish()

    def on_connection_close(self) -> None:
        """Pass on the end of the connection."""
        self.delegate.on_connection_close()
