"""Connections from callers: concurrent requests, answers in order."""

import asyncio
import collections
import dataclasses
from typing import Any, Protocol

from egretmill.http1.messages import (
    Body,
    RequestHead,
    Response,
    response_head,
)
from egretmill.http1.request_reader import RequestReader
from egretmill.http1.transport import ConnectionTransport

__all__ = (
    'ConnectionLimits',
    'PendingAnswer',
    'RequestHandler',
    'ServerConnection',
)

#: Requests of one connection that are served at the same time; the
#: connection is not read further until one is answered.
PIPELINE_LIMIT = 64
#: Least time between two checks of an idle connection, in seconds.
LEAST_CHECK_S = 1.0
HTTP_TIMEOUT = 408
HTTP_INTERNAL = 500
HTTP_TOO_LARGE = 413
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What a caller may send and how long it may take.

    :param header_bytes: longest head.
    :param body_bytes: longest body.
    :param header_s: longest time from the first byte of a head to its end.
    :param idle_s: longest time without a request, in seconds.
    """

    header_bytes: int = 65536
    body_bytes: int = 67108864
    header_s: float = 10
    idle_s: float = 60


class RequestHandler(Protocol):
    """What serves the requests of all connections of a listener."""

    #: Limits in force; read at the start of each request.
    limits: ConnectionLimits
    #: Set while the host leaves: connections close after their answers.
    leaving: bool

    def begin(self, pending: 'PendingAnswer') -> None:
        """Start to serve a request whose head has arrived."""
        raise NotImplementedError

    def opened(self, connection: 'ServerConnection') -> None:
        """Note a new connection."""
        raise NotImplementedError

    def closed(self, connection: 'ServerConnection') -> None:
        """Note the end of a connection."""
        raise NotImplementedError

    def rejected(self, status: int, reason: str) -> None:
        """Note a request that could not be read."""
        raise NotImplementedError


class PendingAnswer:
    """A request and the place of its answer on the connection.

    :param task: serves the request; told by the handler.
    """

    def __init__(
        self,
        connection: 'ServerConnection',
        head: RequestHead,
        body: Body,
    ) -> None:
        self.connection = connection
        self.head = head
        self.body = body
        self.keep_alive = True
        self.response: Response | None = None
        #: Called once when the caller has gone without an answer.
        self.on_gone: Any = None

    @property
    def gone(self) -> bool:
        """Tell whether nobody waits for the answer any more."""
        return self.connection.transport is None

    def answer(self, response: Response) -> None:
        """Send the answer when those of earlier requests are sent."""
        self.response = response
        self.connection.flush()


class HeadTimer:
    """Bounds the time until the next head is complete."""

    def __init__(self, connection: 'ServerConnection') -> None:
        """Watch a connection."""
        self.connection = connection
        self.loop = connection.loop
        self.last_at = self.loop.time()
        self.handle: asyncio.TimerHandle | None = None

    def arm(self, limit_s: float) -> None:
        """Start to count."""
        self.last_at = self.loop.time()
        if self.handle is None:
            self.handle = self.loop.call_later(limit_s, self.check)

    def cancel(self) -> None:
        """Stop to count."""
        if self.handle is not None:
            self.handle.cancel()

    def check(self) -> None:
        """End the connection if its time is over."""
        self.handle = None
        connection = self.connection
        if connection.transport is None:
            return
        reading = connection.reader.reading_head
        limits = connection.handler.limits
        limit_s = limits.header_s if reading else limits.idle_s
        left_s = self.last_at + limit_s - self.loop.time()
        if left_s > 0 or connection.serving:
            wait_s = max(left_s, LEAST_CHECK_S)
            self.handle = self.loop.call_later(wait_s, self.check)
        elif reading:
            connection.reader.reading_head = False
            connection.reject(HTTP_TIMEOUT, 'head came too slowly')
        else:
            connection.end()


class ServerConnection(ConnectionTransport):
    """One connection of a caller."""

    def __init__(self, handler: RequestHandler) -> None:
        """Serve requests with a handler."""
        super().__init__()
        self.handler = handler
        self.reader = RequestReader(self)
        self.queue: collections.deque[PendingAnswer] = collections.deque()
        self.current: PendingAnswer | None = None
        self.closing = False
        #: The last answer is sent; the rest of its request still arrives.
        self.lingering = False
        self.timer = HeadTimer(self)

    @property
    def serving(self) -> bool:
        """Tell whether a body is being received or a request served."""
        return bool(self.queue) or self.current is not None

    @property
    def busy(self) -> bool:
        """Tell whether closing would cut a request."""
        return self.serving or self.reader.reading_head or self.ended

    def connection_made(self, transport: Any) -> None:
        """Start to read requests."""
        super().connection_made(transport)
        self.handler.opened(self)
        self.timer.arm(self.handler.limits.idle_s)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if not self.closing and self.transport is not None:
            self.reader.feed(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the requests that wait that their caller has gone."""
        self.transport = None
        self.timer.cancel()
        if self.current is not None:
            self.current.body.abandon()
        for pending in self.queue:
            if pending.response is None and pending.on_gone is not None:
                pending.on_gone()
        self.queue.clear()
        self.handler.closed(self)

    def pause_writing(self) -> None:
        """Read no further requests while the caller reads no answers."""
        super().pause_writing()
        self.set_reading(reads=False)

    def resume_writing(self) -> None:
        """Read on."""
        super().resume_writing()
        self.resume_reading()

    def head_begun(self) -> None:
        """Bound the time and size of a head."""
        self.reader.head_limit = self.handler.limits.header_bytes
        self.timer.arm(self.handler.limits.header_s)

    def head_ended(self, head: RequestHead, *, keep_alive: bool) -> None:
        """Start to serve the request."""
        if self.closing or self.transport is None:
            return
        head.received_at = self.loop.time()
        pending = PendingAnswer(self, head, Body(self.resume_reading))
        pending.keep_alive = keep_alive
        length = head.fields.get(b'content-length', b'0')
        if length.isdigit() and int(length) > self.handler.limits.body_bytes:
            self.reject(HTTP_TOO_LARGE, 'body too long')
            return
        self.current = pending
        self.queue.append(pending)
        if head.fields.get(b'expect', b'').lower() == b'100-continue':
            self.write(CONTINUE)
        self.handler.begin(pending)
        if len(self.queue) >= PIPELINE_LIMIT:
            self.set_reading(reads=False)

    def body_part(self, chunk: bytes) -> None:
        """Take a part of the body."""
        pending = self.current
        if pending is None or pending.response is not None:
            return
        pending.body.feed(chunk)
        if pending.body.received_bytes > self.handler.limits.body_bytes:
            pending.body.abandon()
            self.reject(HTTP_TOO_LARGE, 'body too long')
        elif pending.body.is_full:
            self.set_reading(reads=False)

    def request_ended(self) -> None:
        """Note that the whole request has arrived."""
        pending = self.current
        self.current = None
        if pending is None:
            return
        if self.lingering:
            self.end()
            return
        if not pending.keep_alive:
            self.closing = True
        pending.body.finish()
        self.flush()

    def flush(self) -> None:
        """Send the answers that are due.

        The connection closes after its last answer only: a request behind
        an answer that closes would count as not read.
        """
        while self.transport is not None and _is_due(self.queue):
            pending = self.queue.popleft()
            closes = _closes_after(self, pending)
            idle_s = int(self.handler.limits.idle_s)
            self.write(_encode(pending, closes=closes, idle_s=idle_s))
            if closes and pending is not self.current:
                self.end()
            elif closes:
                # Closing with unread bytes resets the connection, which can
                # destroy an answer that is on its way.
                self.lingering = True
        if self.ended:
            return
        if not self.serving:
            self.timer.arm(self.handler.limits.idle_s)
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read on unless there is too much to serve."""
        current = self.current
        full = current is not None and current.body.is_full
        if full and current is not None and current.response is None:
            return
        if len(self.queue) < PIPELINE_LIMIT:
            self.set_reading(reads=True)

    def end(self) -> None:
        """Take no more requests and close."""
        self.closing = True
        self.close()

    def reject(self, status: int, reason: str) -> None:
        """Answer what could not be read, behind the earlier answers."""
        if self.closing:
            return
        self.closing = True
        self.handler.rejected(status, reason)
        unread = self.current
        self.current = None
        if unread is None or unread.response is not None:
            unread = PendingAnswer(self, self.reader.head, Body())
            self.queue.append(unread)
        elif unread.on_gone is not None:
            unread.on_gone()
        unread.keep_alive = False
        unread.answer(Response(status))


def _closes_after(connection: ServerConnection, pending: PendingAnswer) -> bool:
    """Tell whether the connection ends with an answer.

    Requests behind an answer that closes would count as not read.
    """
    if connection.queue or connection.current not in {None, pending}:
        return False
    if not pending.keep_alive or connection.closing:
        return True
    return connection.handler.leaving and pending.body.complete


def _is_due(queue: 'collections.deque[PendingAnswer]') -> bool:
    """Tell whether the first request has its answer.

    An answer ahead of the rest of its body is sent at once; the rest is
    read and dropped, so that the connection stays usable.
    """
    return bool(queue) and queue[0].response is not None


def _encode(pending: PendingAnswer, *, closes: bool, idle_s: int) -> bytes:
    response = pending.response or Response(HTTP_INTERNAL)
    head = response_head(response, closes=closes, keep_alive_s=idle_s)
    return head if pending.head.method == b'HEAD' else head + response.body
