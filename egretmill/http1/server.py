"""Connections from callers: concurrent requests, answers in order."""

import asyncio
import collections
import dataclasses
import socket
from typing import Any, Protocol

import httptools

from egretmill.http1.messages import (
    Body,
    RequestHead,
    Response,
    response_head,
)

__all__ = (
    'ConnectionLimits',
    'PendingAnswer',
    'RequestHandler',
    'ServerConnection',
)

#: Requests of one connection that are served at the same time; the
#: connection is not read further until one is answered.
PIPELINE_LIMIT = 64
HTTP_BAD_REQUEST = 400
HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431
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


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, handler: RequestHandler) -> None:
        """Serve requests with a handler."""
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self.parser: httptools.HttpRequestParser | None = None
        self.transport: asyncio.Transport | None = None
        self.queue: collections.deque[PendingAnswer] = collections.deque()
        self.head = RequestHead()
        self.head_bytes = 0
        self.current: PendingAnswer | None = None
        self.reading_head = False
        self.closing = False
        #: The last answer is sent; the rest of its request still arrives.
        self.lingering = False
        self.last_at = self.loop.time()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Tell whether no request is being read or served."""
        return not self.queue and self.current is None and not self.reading_head

    def connection_made(self, transport: Any) -> None:
        """Start to read requests."""
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        connected = transport.get_extra_info('socket')
        if connected is not None:
            connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.handler.opened(self)
        self._arm(self.handler.limits.idle_s)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self.closing or self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTP_BAD_REQUEST, 'protocol upgrade')
        except httptools.HttpParserError as error:
            self._reject(HTTP_BAD_REQUEST, str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the requests that wait that their caller has gone."""
        self.transport = None
        self.parser = None
        if self.timer is not None:
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
        self._set_reading(reads=False)

    def resume_writing(self) -> None:
        """Read on."""
        self.resume_reading()

    def on_message_begin(self) -> None:
        """Start a new head."""
        self.head = RequestHead()
        self.head_bytes = 0
        self.reading_head = True
        self._arm(self.handler.limits.header_s)

    def on_url(self, target: bytes) -> None:
        """Take (a part of) the target."""
        self.head.target += target
        self._count_head(len(target))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.head.add(name, text)
        self._count_head(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Start to serve the request."""
        self.reading_head = False
        if self.closing or self.parser is None:
            return
        head = self.head
        head.method = self.parser.get_method()
        head.received_at = self.loop.time()
        pending = PendingAnswer(self, head, Body(self.resume_reading))
        pending.keep_alive = self.parser.should_keep_alive()
        length = head.fields.get(b'content-length', b'0')
        if length.isdigit() and int(length) > self.handler.limits.body_bytes:
            self._reject(HTTP_TOO_LARGE, 'body too long')
            return
        self.current = pending
        self.queue.append(pending)
        if head.fields.get(b'expect', b'').lower() == b'100-continue':
            self._continue()
        self.handler.begin(pending)
        if len(self.queue) >= PIPELINE_LIMIT:
            self._set_reading(reads=False)

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        pending = self.current
        if pending is None or pending.response is not None:
            return
        pending.body.feed(chunk)
        if pending.body.received_bytes > self.handler.limits.body_bytes:
            pending.body.abandon()
            self._reject(HTTP_TOO_LARGE, 'body too long')
        elif pending.body.is_full:
            self._set_reading(reads=False)

    def on_message_complete(self) -> None:
        """Note that the whole request has arrived."""
        pending = self.current
        self.current = None
        if pending is None:
            return
        if self.lingering:
            self._close()
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
        while self.queue and self._may_send(self.queue[0]):
            pending = self.queue.popleft()
            closes = self._closes_after(pending)
            self._write(pending, closes=closes)
            if closes:
                self._close_after(pending)
                return
        if self.transport is None:
            return
        if not self.queue and self.current is None:
            self._arm(self.handler.limits.idle_s)
        self.resume_reading()

    def resume_reading(self) -> None:
        """Read on unless there is too much to serve."""
        current = self.current
        full = current is not None and current.body.is_full
        if full and current is not None and current.response is None:
            return
        if len(self.queue) < PIPELINE_LIMIT:
            self._set_reading(reads=True)

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is being served."""
        if self.idle:
            self._close()

    def _may_send(self, pending: PendingAnswer) -> bool:
        # An answer ahead of the rest of its body is sent at once; the rest
        # is read and dropped, so that the connection stays usable.
        return pending.response is not None and self.transport is not None

    def _closes_after(self, pending: PendingAnswer) -> bool:
        if self.queue or self.current not in {None, pending}:
            return False
        if not pending.keep_alive or self.closing:
            return True
        return self.handler.leaving and pending.body.complete

    def _close_after(self, pending: PendingAnswer) -> None:
        # Closing with unread bytes resets the connection, which can destroy
        # an answer that is on its way.
        if pending is self.current:
            self.lingering = True
            self.resume_reading()
            return
        self._close()

    def _write(self, pending: PendingAnswer, *, closes: bool) -> None:
        response = pending.response
        if response is None or self.transport is None:
            return
        head = response_head(
            response,
            closes=closes,
            keep_alive_s=int(self.handler.limits.idle_s),
        )
        if pending.head.method == b'HEAD':
            self.transport.write(head)
            return
        self.transport.write(head + response.body)

    def _continue(self) -> None:
        if len(self.queue) == 1 and self.transport is not None:
            self.transport.write(CONTINUE)

    def _count_head(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.handler.limits.header_bytes:
            self._reject(HTTP_HEADERS_TOO_LARGE, 'head too long')

    def _reject(self, status: int, reason: str) -> None:
        """Answer what could not be read, behind the earlier answers."""
        if self.closing:
            return
        self.closing = True
        self.handler.rejected(status, reason)
        unread = self.current
        self.current = None
        if unread is None or unread.response is not None:
            unread = PendingAnswer(self, self.head, Body())
            self.queue.append(unread)
        elif unread.on_gone is not None:
            unread.on_gone()
        unread.keep_alive = False
        unread.answer(Response(status))

    def _close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def _set_reading(self, *, reads: bool) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if reads and not transport.is_reading():
            transport.resume_reading()
        elif not reads and transport.is_reading():
            transport.pause_reading()

    def _arm(self, limit_s: float) -> None:
        """Bound the time until the next head is complete."""
        self.last_at = self.loop.time()
        if self.timer is None:
            self.timer = self.loop.call_later(limit_s, self._check_time)

    def _check_time(self) -> None:
        self.timer = None
        if self.transport is None:
            return
        limits = self.handler.limits
        limit_s = limits.header_s if self.reading_head else limits.idle_s
        left_s = self.last_at + limit_s - self.loop.time()
        if left_s > 0 or self.queue or self.current is not None:
            wait_s = max(left_s, 1)
            self.timer = self.loop.call_later(wait_s, self._check_time)
        elif self.reading_head:
            self.reading_head = False
            self._reject(HTTP_TIMEOUT, 'head came too slowly')
        else:
            self._close()
