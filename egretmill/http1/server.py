"""Server connections from callers, with pipelining.

Requests of a connection are served concurrently and answered in order.
"""

import asyncio
import collections
import dataclasses
from typing import Any, Protocol

from egretmill.decoding import parse_count
from egretmill.http1.body import Body
from egretmill.http1.messages import (
    RequestHead,
    Response,
    encode_response_head,
)
from egretmill.http1.request_reader import RequestReader
from egretmill.http1.transport import ConnectionTransport
from egretmill.http1.usage import ConnectionUsage

__all__ = (
    'ConnectionLimits',
    'PendingAnswer',
    'RequestHandler',
    'ServerConnection',
    'drain',
)

#: Requests of one connection that are served at the same time; reading from
#: the connection pauses until one is answered.
MAX_PIPELINED_REQUESTS = 64
#: Shortest time between two timeout checks of a connection, in seconds.
MIN_CHECK_INTERVAL_S = 1.0
#: Time for the first request of a caller that has connected just before a
#: stop, in seconds: several round trips between regions.
FIRST_REQUEST_WAIT_S = 0.25
HTTP_REQUEST_TIMEOUT = 408
HTTP_INTERNAL_ERROR = 500
HTTP_CONTENT_TOO_LARGE = 413
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the size and duration of what a caller sends.

    :param header_bytes: longest request head.
    :param body_bytes: longest request body.
    :param header_s: longest time from the first byte of a head to its end,
        in seconds.
    :param idle_s: longest time without a request, in seconds.
    """

    header_bytes: int = 65536
    body_bytes: int = 67108864
    header_s: float = 10
    idle_s: float = 60


class RequestHandler(Protocol):
    """Serves the requests of all connections of a listener."""

    #: Current limits; they can change between requests.
    limits: ConnectionLimits
    #: Whether the host shuts down: connections close after their answers.
    leaving: bool
    #: Counts the connections.
    usage: ConnectionUsage

    def start_request(self, pending: 'PendingAnswer') -> None:
        """Start to serve a request whose head has arrived."""
        raise NotImplementedError

    def connection_opened(self, connection: 'ServerConnection') -> None:
        """Handle a new connection."""
        raise NotImplementedError

    def connection_closed(self, connection: 'ServerConnection') -> None:
        """Handle the end of a connection."""
        raise NotImplementedError

    def request_rejected(self, status: int, reason: str) -> None:
        """Handle a request that is malformed, too long or too slow."""
        raise NotImplementedError


class PendingAnswer:
    """A request whose answer has not been sent yet."""

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
        #: The connection drains, and the request came too late to be served.
        self.is_late = False
        self.response: Response | None = None
        #: Called if the caller disconnects before the answer.
        self.on_disconnect: Any = None

    @property
    def is_caller_disconnected(self) -> bool:
        """Return whether the caller has disconnected."""
        return self.connection.transport is None

    def answer(self, response: Response, *, keeps_body: bool = False) -> None:
        """Send the answer once all earlier requests are answered.

        :param keeps_body: the rest of the body is still wanted. Otherwise, it
            is discarded, so that the connection stays usable.
        """
        self.response = response
        if not keeps_body:
            self.body.discard()
        self.connection.flush()


class ReadTimer:
    """Times out slow request heads and idle connections.

    The timer is not rescheduled for each request; when it fires early, it
    waits for the time that remains.
    """

    def __init__(self, connection: 'ServerConnection') -> None:
        """Create the timer of a connection; :meth:`arm` starts it."""
        self.connection = connection
        self.loop = connection.loop
        self.started_at = self.loop.time()
        self.timer_handle: asyncio.TimerHandle | None = None

    def arm(self, limit_s: float) -> None:
        """Restart the timeout."""
        self.started_at = self.loop.time()
        if self.timer_handle is None:
            self.timer_handle = self.loop.call_later(
                limit_s, self.check_timeout
            )

    def cancel(self) -> None:
        """Cancel the timer."""
        if self.timer_handle is not None:
            self.timer_handle.cancel()

    def check_timeout(self) -> None:
        """Close the connection if its timeout has passed."""
        self.timer_handle = None
        connection = self.connection
        if connection.transport is None:
            return
        reading = connection.reader.reading_head
        limits = connection.handler.limits
        limit_s = limits.header_s if reading else limits.idle_s
        remaining_s = self.started_at + limit_s - self.loop.time()
        if remaining_s > 0 or connection.is_serving:
            wait_s = max(remaining_s, MIN_CHECK_INTERVAL_S)
            self.timer_handle = self.loop.call_later(wait_s, self.check_timeout)
        elif reading:
            connection.reader.reading_head = False
            connection.reject(HTTP_REQUEST_TIMEOUT, 'head came too slowly')
        else:
            connection.shut_down()


class ServerConnection(ConnectionTransport):
    """One connection of a caller."""

    def __init__(self, handler: RequestHandler) -> None:
        """Serve requests with a handler."""
        super().__init__(handler.usage)
        self.handler = handler
        self.reader = RequestReader(self)
        self.queue: collections.deque[PendingAnswer] = collections.deque()
        self.receiving: PendingAnswer | None = None
        self.closing = False
        #: Loop time from which requests are late; ``None`` before the drain.
        self.late_from: float | None = None
        #: No request has been taken yet.
        self.is_new = True
        #: The last answer is sent, and the rest of its request is still being
        #: read before the close.
        self.lingering = False
        self.timer = ReadTimer(self)

    @property
    def is_serving(self) -> bool:
        """Return whether a request is being received or served."""
        return bool(self.queue) or self.receiving is not None

    @property
    def is_busy(self) -> bool:
        """Return whether closing would interrupt a request."""
        return self.is_serving or self.reader.reading_head or self.is_closed

    def connection_made(self, transport: Any) -> None:
        """Start to read requests."""
        super().connection_made(transport)
        self.handler.connection_opened(self)
        self.timer.arm(self.handler.limits.idle_s)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless the connection is closing."""
        super().data_received(data)
        if not self.closing and self.transport is not None:
            self.reader.feed(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify unanswered requests that their caller has disconnected."""
        super().connection_lost(exc)
        self.timer.cancel()
        if self.receiving is not None:
            self.receiving.body.mark_truncated()
        for pending in self.queue:
            if pending.response is None and pending.on_disconnect is not None:
                pending.on_disconnect()
        self.queue.clear()
        self.handler.connection_closed(self)

    def pause_writing(self) -> None:
        """Pause reading while the caller does not read its answers."""
        super().pause_writing()
        self.set_reading(enabled=False)

    def resume_writing(self) -> None:
        """Resume reading when the caller reads its answers again."""
        super().resume_writing()
        self.resume_reading()

    def head_started(self) -> None:
        """Apply the limits in force to the head that starts."""
        self.reader.max_head_bytes = self.handler.limits.header_bytes
        self.timer.arm(self.handler.limits.header_s)

    def head_received(self, head: RequestHead, *, keep_alive: bool) -> None:
        """Start to serve the request."""
        if self.closing or self.transport is None:
            return
        if self.late_from is not None and self.queue:
            # Behind the last answer, which will close the connection.
            return
        self.is_new = False
        head.received_at = self.loop.time()
        pending = PendingAnswer(self, head, Body(self.resume_reading))
        pending.keep_alive = keep_alive
        pending.is_late = (
            self.late_from is not None and head.received_at >= self.late_from
        )
        length = head.fields.get(b'content-length', b'0')
        length_bytes = parse_count(length)
        limit_bytes = self.handler.limits.body_bytes
        if length_bytes is not None and length_bytes > limit_bytes:
            self.reject(HTTP_CONTENT_TOO_LARGE, 'body too long')
            return
        self.receiving = pending
        self.queue.append(pending)
        if head.fields.get(b'expect', b'').lower() == b'100-continue':
            self.write(CONTINUE)
        self.handler.start_request(pending)
        if len(self.queue) >= MAX_PIPELINED_REQUESTS:
            self.set_reading(enabled=False)

    def body_chunk_received(self, chunk: bytes) -> None:
        """Append to the body; pause reading while its buffer is full."""
        pending = self.receiving
        if pending is None:
            return
        pending.body.feed(chunk)
        if pending.body.received_bytes > self.handler.limits.body_bytes:
            pending.body.mark_truncated()
            self.reject(HTTP_CONTENT_TOO_LARGE, 'body too long')
        elif pending.body.is_buffer_full:
            self.set_reading(enabled=False)

    def request_received(self) -> None:
        """Complete the request, and close if its answer was the last."""
        pending = self.receiving
        self.receiving = None
        if pending is None:
            return
        pending.body.mark_complete()
        if self.lingering:
            self.shut_down()
            return
        if not pending.keep_alive:
            self.closing = True
        self.flush()
        if self.late_from is not None and not self.queue:
            _close_if_unused_later(self)

    def flush(self) -> None:
        """Send the answers whose earlier requests are all answered.

        Only the last answer closes the connection: callers treat requests
        behind an answer with ``Connection: close`` as unprocessed.
        """
        while self.transport is not None and _has_due_answer(self.queue):
            pending = self.queue.popleft()
            closes = _must_close_after(self, pending)
            idle_s = int(self.handler.limits.idle_s)
            self.write(_encode_answer(pending, closes=closes, idle_s=idle_s))
            if closes and pending is not self.receiving:
                self.shut_down()
            elif closes:
                # Closing with unread bytes resets the connection, and the
                # caller could lose an answer that it has not read yet.
                self.lingering = True
        if self.is_closed:
            return
        if not self.is_serving:
            self.timer.arm(self.handler.limits.idle_s)
        self.resume_reading()

    def resume_reading(self) -> None:
        """Resume reading unless a buffer or the pipeline is full."""
        receiving = self.receiving
        if receiving is not None and receiving.body.is_buffer_full:
            return
        if len(self.queue) < MAX_PIPELINED_REQUESTS:
            self.set_reading(enabled=True)

    def shut_down(self) -> None:
        """Stop accepting requests and close the connection."""
        self.closing = True
        self.close()

    def reject(self, status: int, reason: str) -> None:
        """Answer an unreadable request after the earlier answers, and close.

        One that has been answered gets no second answer: its caller would
        take that for the answer to its next request.
        """
        if self.closing:
            return
        self.closing = True
        self.handler.request_rejected(status, reason)
        unreadable = self.receiving
        self.receiving = None
        if unreadable is None:
            unreadable = PendingAnswer(self, self.reader.head, Body())
            self.queue.append(unreadable)
        elif unreadable.response is not None:
            unreadable.body.mark_truncated()
            if not self.queue:
                self.shut_down()
            return
        elif unreadable.on_disconnect is not None:
            unreadable.on_disconnect()
        unreadable.keep_alive = False
        unreadable.answer(Response(status))


def drain(connection: ServerConnection) -> None:
    """Close a connection once the requests that it has taken are answered.

    Requests behind the last answer count as unprocessed. Without an answer
    that can tell its caller of the close, a connection takes one more: of a
    caller that has just connected or is sending a head, and of one whose
    request was answered while its body still arrives.
    """
    connection.late_from = connection.loop.time() + FIRST_REQUEST_WAIT_S
    if connection.is_serving:
        return
    if connection.is_new or connection.reader.reading_head:
        _close_if_unused_later(connection)
    else:
        connection.shut_down()


def _close_if_unused_later(connection: ServerConnection) -> None:
    connection.loop.call_later(FIRST_REQUEST_WAIT_S, _close_unused, connection)


def _close_unused(connection: ServerConnection) -> None:
    if not connection.is_busy:
        connection.shut_down()


def _must_close_after(
    connection: ServerConnection, pending: PendingAnswer
) -> bool:
    """Return whether the connection must be closed after an answer.

    Only the last answer closes it: callers treat requests behind an answer
    with ``Connection: close`` as unprocessed and send them again. They also
    stop sending a body, so an answer does not close as long as the rest of
    the body is wanted.
    """
    if connection.queue or connection.receiving not in {None, pending}:
        return False
    if not pending.keep_alive or connection.closing:
        return True
    if pending is connection.receiving and not pending.body.discarded:
        return False
    return connection.late_from is not None or connection.handler.leaving


def _has_due_answer(queue: 'collections.deque[PendingAnswer]') -> bool:
    """Return whether the oldest unsent answer is available.

    It is sent even while the request body is still arriving.
    """
    return bool(queue) and queue[0].response is not None


def _encode_answer(
    pending: PendingAnswer, *, closes: bool, idle_s: int
) -> bytes:
    response = pending.response or Response(HTTP_INTERNAL_ERROR)
    head = encode_response_head(response, closes=closes, keep_alive_s=idle_s)
    return head if pending.head.method == b'HEAD' else head + response.body
