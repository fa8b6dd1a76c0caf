"""HTTP handlers of the entry program."""

import asyncio
import uuid

from result import Err, Result
from tornado import web
from tornado.http1connection import HTTP1Connection

from egretmill import events
from egretmill.entry.body import (
    Body,
    BufferedBody,
    StreamedBody,
    is_buffered,
    memory_of_body,
)
from egretmill.entry.refusal import Refusal
from egretmill.entry.request import CallerRequest
from egretmill.entry.service import EntryService
from egretmill.entry.sink import CallerSink
from egretmill.errors import ErrorKind, Failure, Outcome
from egretmill.logs import log_event

__all__ = ('ProxyHandler', 'TicketHandler')

# An exchange ends at its deadline; within this margin its result is known.
BODY_TIMEOUT_MARGIN_S = 0.1
# Interval of checks whether a finished answer is written to the socket.
FLUSH_POLL_S = 0.02


class EntryHandler(web.RequestHandler):
    """Base of the handlers: tracks open requests and formats errors."""

    def initialize(self, service: EntryService) -> None:
        """Store the shared service and create the sink of this request."""
        self.service = service
        #: What is counted of the request in the service's memory.
        self.counted_bytes = 0
        self.sink = CallerSink(self, uuid.uuid4().hex)

    def prepare(self) -> None:
        """Register the request as open; a shutdown waits for it."""
        self.service.open_requests.add(self)

    def flush(self, include_footers: bool = False):  # noqa: FBT001,FBT002
        """Add ``Connection: close`` while this host is leaving.

        Callers then reconnect, to another host.
        """
        if self.service.state.leaving and not self._headers_written:
            self.set_header('Connection', 'close')
        return super().flush(include_footers)

    def finish(self, chunk=None):
        """Finish the answer; the request stays open until it is sent."""
        finishing = super().finish(chunk)
        finishing.add_done_callback(lambda _: self.mark_ended())
        return finishing

    def mark_ended(self) -> None:
        """Unregister the request once its answer is written to the socket."""
        connection = self.request.connection
        stream = getattr(connection, 'stream', None)
        if stream is not None and stream.writing():
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_POLL_S, self.mark_ended)
            return
        self.close_request()
        if self.service.state.leaving:
            self.sink.abort_connection()

    def on_connection_close(self) -> None:
        """Unregister the request of a caller that has disconnected."""
        self.close_request()

    def close_request(self) -> None:
        """Unregister the request, and what is kept of it."""
        self.service.open_requests.discard(self)
        self.service.caller_memory.release(self.counted_bytes)
        self.counted_bytes = 0

    def compute_etag(self) -> None:
        """Add no ETag; answers carry that of the upstream, if any."""

    def refuse(self, refusal: Refusal) -> None:
        """Send an error answer, or abort an answer that has begun."""
        self.service.log_refusal(self.sink.request_id, self.request, refusal)
        if self.sink.started:
            self.sink.abort_connection()
            return
        self.sink.refuse(refusal.failure, refusal.outcome)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Send the error answer for an exception or an unknown method."""
        kind = ErrorKind.INTERNAL
        if status_code == 405:
            kind = ErrorKind.METHOD_NOT_ALLOWED
        failure = Failure(kind, f'status {status_code}')
        self.refuse(Refusal(failure, failure.answer.outcome))

    def log_exception(self, typ, value, tb) -> None:
        """Log an unexpected exception as a numbered event."""
        self.service.metrics.count('request.handler_failed')
        log_event(
            events.CATALOGUE.HANDLER_FAILED,
            request_id=self.sink.request_id,
            error=repr(value),
        )


@web.stream_request_body
class ProxyHandler(EntryHandler):
    """Serves a caller's request through an upstream."""

    SUPPORTED_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'DELETE')

    def initialize(self, service: EntryService) -> None:
        """Start with an empty body and no exchange."""
        super().initialize(service)
        self.caller: CallerRequest | None = None
        self.buffer = bytearray()
        self.received_bytes = 0
        self.is_body_complete = False
        self.streamed_body: StreamedBody | None = None
        self.body_timer: asyncio.TimerHandle | None = None
        self.serve_task: asyncio.Task[Result[None, Refusal]] | None = None

    async def prepare(self) -> None:
        """Check the head; a large body is forwarded while it arrives."""
        super().prepare()
        parsed = self.service.parse(self.request)
        if isinstance(parsed, Err):
            self.refuse(Refusal.before_sending(parsed.err_value))
            return
        if not self.count_memory(parsed.ok_value):
            detail = 'callers keep too much memory'
            failure = Failure(ErrorKind.OVERLOADED, detail)
            self.refuse(Refusal.before_sending(failure))
            return
        self.caller = parsed.ok_value
        self.sink.request_id = self.caller.request_id
        self.limit_body_size(self.caller)
        if not is_buffered(self.caller.body_size):
            self.streamed_body = StreamedBody(self.caller.body_size)
            self.serve(self.caller, self.streamed_body)
        self.body_timer = asyncio.get_running_loop().call_at(
            self.caller.deadline_at + BODY_TIMEOUT_MARGIN_S,
            self.handle_body_timeout,
        )

    def count_memory(self, caller: CallerRequest) -> bool:
        """Count the body of the request; return whether it is allowed."""
        kept_bytes = memory_of_body(caller.body_size)
        if not self.service.caller_memory.try_add(kept_bytes):
            return False
        self.counted_bytes = kept_bytes
        return True

    def limit_body_size(self, caller: CallerRequest) -> None:
        """Set tornado's body limit to that of the route."""
        connection = self.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.set_max_body_size(caller.route.max_body_bytes)

    async def data_received(self, chunk: bytes) -> None:
        """Take a chunk of the body; waits while the upstream is slower."""
        if self.caller is None:
            return
        self.received_bytes += len(chunk)
        if self.received_bytes > self.caller.route.max_body_bytes:
            self.reject_oversized_body()
            return
        if self.streamed_body is not None:
            await self.streamed_body.feed(chunk)
            return
        self.buffer += chunk

    def reject_oversized_body(self) -> None:
        """Refuse an upload of unknown length that exceeded the limit."""
        self.caller = None
        if self.serve_task is not None:
            self.serve_task.cancel()
        failure = Failure(ErrorKind.BODY_TOO_LARGE, 'limit of the route')
        outcome = Outcome.NOT_RUN
        if self.streamed_body is not None and self.streamed_body.was_read:
            outcome = Outcome.UNKNOWN
        self.refuse(Refusal(failure, outcome))

    def cancel_body_timer(self) -> None:
        """Cancel the timer, which would keep the request in memory."""
        if self.body_timer is not None:
            self.body_timer.cancel()

    def handle_body_timeout(self) -> None:
        """Answer a caller whose body has not arrived by the deadline."""
        if (
            self.is_body_complete
            or self.caller is None
            or self.sink.is_detached
        ):
            return
        self.caller = None
        if self.serve_task is None:
            failure = Failure(ErrorKind.QUEUE_TIMEOUT, 'body came too late')
            self.refuse(Refusal.before_sending(failure))
        elif self.serve_task.done() and not self.serve_task.cancelled():
            self.finish_answer(self.serve_task.result())

    def finish_answer(self, served: Result[None, Refusal]) -> None:
        """Finish the answer, or send the error answer of a refusal."""
        if isinstance(served, Err):
            self.refuse(served.err_value)
        elif not self._finished:
            self.sink.finish()

    def serve(self, caller: CallerRequest, body: Body) -> None:
        """Start to serve the request in a background task."""
        self.serve_task = asyncio.create_task(
            self.service.serve(caller, body, self.sink),
        )
        if isinstance(body, StreamedBody):
            self.serve_task.add_done_callback(lambda _: body.abandon())

    async def handle_request(self, *_path: str) -> None:
        """End the body, which has arrived, and await the exchange."""
        if self.caller is None:
            return
        self.is_body_complete = True
        self.cancel_body_timer()
        self.sink.survives_disconnect = self.survives_disconnect()
        if self.streamed_body is None:
            self.serve(self.caller, BufferedBody(bytes(self.buffer)))
        else:
            await self.streamed_body.feed(b'')
        try:
            served = await self.serve_task
        except asyncio.CancelledError:
            self.sink.abort_connection()
            return
        self.finish_answer(served)

    def on_connection_close(self) -> None:
        """Cancel the exchange when the caller has disconnected.

        A request with an idempotency key that has arrived in full
        continues, so that a repeat gets its recorded answer.
        """
        super().on_connection_close()
        self.sink.detach()
        self.cancel_body_timer()
        if self.serve_task is None or self.survives_disconnect():
            return
        self.serve_task.cancel()

    def survives_disconnect(self) -> bool:
        """Return whether the request continues without its caller."""
        if self.caller is None or self.caller.idempotency_key is None:
            return False
        return self.is_body_complete and not self.caller.route.idempotent

    get = handle_request
    head = handle_request
    post = handle_request
    put = handle_request
    delete = handle_request


class TicketHandler(EntryHandler):
    """``POST /v1/tickets``: issues an idempotency key of this host."""

    def post(self) -> None:
        """Issue a ticket to the client account of the API key."""
        issued = self.service.issue_ticket(self.request)
        if isinstance(issued, Err):
            self.refuse(Refusal.before_sending(issued.err_value))
            return
        self.set_header('Cache-Control', 'no-store')
        self.finish({'ticket': issued.ok_value})
