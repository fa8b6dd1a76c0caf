"""Server connections from callers, with pipelining.

Requests of a connection are served concurrently and answered in order.
"""

import collections
from collections.abc import Iterable
from typing import Any

from egretmill.decoding import parse_count
from egretmill.http1.body import BODY_BUFFER_BYTES, Body
from egretmill.http1.handling import PendingAnswer, RequestHandler
from egretmill.http1.messages import (
    RequestHead,
    Response,
    encode_response_head,
)
from egretmill.http1.read_timer import ReadTimer
from egretmill.http1.receiving import ReceivingConnection

__all__ = ('ServerConnection', 'drain')

#: Requests of one connection that are served at the same time; reading from
#: the connection pauses until one is answered.
MAX_PIPELINED_REQUESTS = 64
#: Memory of a connection from which it takes no further request until one is
#: answered. The longest body and head fit beside a body that waits.
MAX_KEPT_BYTES = 2 * BODY_BUFFER_BYTES
#: Time for the first request of a caller that has connected just before a
#: stop, in seconds: several round trips between regions.
FIRST_REQUEST_WAIT_S = 0.25
HTTP_INTERNAL_ERROR = 500
HTTP_CONTENT_TOO_LARGE = 413
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerConnection(ReceivingConnection):
    """One connection of a caller.

    It keeps received bytes that are not parsed yet, the requests that are
    received or served, and their answers. The handler's
    :class:`~egretmill.http1.buffers.CallerMemory` bounds the sum over all
    connections.
    """

    def __init__(self, handler: RequestHandler) -> None:
        """Serve requests with a handler."""
        super().__init__(handler)
        self.queue: collections.deque[PendingAnswer] = collections.deque()
        self.receiving: PendingAnswer | None = None
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
    def awaits_rest(self) -> bool:
        """Return whether only the rest of an answered request is due."""
        receiving = self.receiving
        if self.queue or receiving is None:
            return False
        return receiving.body.discarded

    @property
    def is_busy(self) -> bool:
        """Return whether closing would interrupt a request."""
        return self.is_serving or self.has_partial_head or self.is_closed

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the connection keeps now, here and unread."""
        if self.transport is None:
            return 0
        kept_bytes = self.transport.get_write_buffer_size()
        if self.transport.is_closing():
            return kept_bytes
        kept_bytes += self.unread_bytes
        kept_bytes += len(self.unparsed) + self.reader.kept_bytes
        kept_bytes += _sum_kept_bytes(self.queue)
        receiving = self.receiving
        if receiving is not None and receiving not in self.queue:
            kept_bytes += receiving.body.buffered_bytes
        return kept_bytes

    @property
    def has_room(self) -> bool:
        """Return whether another request, or more of one, can be taken."""
        receiving = self.receiving
        if receiving is not None and receiving.body.is_buffer_full:
            return False
        if not self.writable.is_set():
            return False
        waiting = len(self.queue)
        if waiting <= 1:
            return True
        return (
            waiting < MAX_PIPELINED_REQUESTS
            and self.kept_bytes < MAX_KEPT_BYTES
        )

    def connection_made(self, transport: Any) -> None:
        """Start to read requests."""
        super().connection_made(transport)
        self.handler.connection_opened(self)
        self.timer.arm(self.handler.limits.idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify unanswered requests that their caller has disconnected."""
        super().connection_lost(exc)
        self.timer.cancel()
        if self.receiving is not None:
            self.receiving.body.mark_truncated()
        for pending in self.queue:
            pending.cancel()
        self.queue.clear()
        self.cut_input()
        self.handler.memory.record(self, 0)
        self.handler.connection_closed(self)

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

    def body_chunk_received(self, chunk: bytes) -> None:
        """Append to the body; pause reading while its buffer is full."""
        pending = self.receiving
        if pending is None:
            return
        pending.body.feed(chunk)
        if pending.body.received_bytes > self.handler.limits.body_bytes:
            pending.body.mark_truncated()
            self.reject(HTTP_CONTENT_TOO_LARGE, 'body too long')

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
            if closes:
                _close_after(self, pending)
        if self.is_closed:
            return
        self.timer.arm_after_answer()
        self.handler.memory.record(self, self.kept_bytes)
        self.resume_reading()

    def shut_down(self) -> None:
        """Stop accepting requests and close the connection."""
        self.closing = True
        self.close()

    def release_memory(self) -> None:
        """End what the connection keeps, because all keep too much.

        A request that is still received, and of which nothing was sent on, is
        refused. Otherwise, the connection is reset.
        """
        pending = self.receiving
        self.cut_input()
        if pending is None or not _can_refuse(self, pending):
            self.reset()
            return
        self.receiving = None
        pending.cancel()
        pending.is_cut = True
        pending.keep_alive = False
        self.handler.refuse_for_memory(pending)

    def reject(self, status: int, reason: str) -> None:
        """Answer an unreadable request after the earlier answers, and close.

        One that has been answered gets no second answer: its caller would
        take that for the answer to its next request.
        """
        if self.closing:
            return
        unreadable = self.receiving
        self.receiving = None
        self.cut_input()
        self.handler.request_rejected(status, reason)
        if unreadable is None:
            unreadable = PendingAnswer(self, RequestHead(), Body())
            self.queue.append(unreadable)
        elif unreadable.response is None:
            unreadable.cancel()
        else:
            unreadable.body.mark_truncated()
            if not self.queue:
                self.linger()
            return
        unreadable.is_cut = True
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
    if connection.is_new or connection.has_partial_head:
        _close_if_unused_later(connection)
    else:
        connection.shut_down()


def _sum_kept_bytes(requests: Iterable[PendingAnswer]) -> int:
    return sum(pending.kept_bytes for pending in requests)


def _can_refuse(connection: ServerConnection, pending: PendingAnswer) -> bool:
    """Return whether the request being received is the only one, and unsent.

    A body that can be forwarded may be on its way to an upstream.
    """
    if len(connection.queue) > 1 or pending.response is not None:
        return False
    return not pending.body.is_forwardable


def _close_after(connection: ServerConnection, pending: PendingAnswer) -> None:
    """Close a connection whose last answer is written.

    Closing with unread bytes resets the connection, and the caller could lose
    an answer that it has not read yet.
    """
    if pending.is_cut:
        connection.linger()
    elif pending is connection.receiving:
        connection.lingering = True
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
