"""HTTP handlers of the entry program."""

import asyncio
import uuid

from result import Err, Result
from tornado import web
from tornado.http1connection import HTTP1Connection

from egretmill import events
from egretmill.entry.body import (
    BUFFERED_BODY_BYTES,
    Body,
    BufferedBody,
    StreamedBody,
)
from egretmill.entry.refusal import Refusal
from egretmill.entry.request import CallerRequest
from egretmill.entry.service import EntryService
from egretmill.entry.sink import CallerSink
from egretmill.errors import ErrorKind, Failure, Outcome
from egretmill.logs import log_event

__all__ = ('ProxyHandler', 'TicketHandler')

# The exchange ends at the deadline; its result is there a little later.
LATE_BODY_S = 0.1
SENT_POLL_S = 0.02


class EntryHandler(web.RequestHandler):
    """Base of the handlers: error answers instead of tracebacks."""

    def initialize(self, service: EntryService) -> None:
        """Keep the shared service."""
        self.service = service
        self.sink = CallerSink(self, uuid.uuid4().hex)

    def prepare(self) -> None:
        """Count the request as open; a shutdown waits for it."""
        self.service.open_requests.add(self)

    def flush(self, include_footers: bool = False):  # noqa: FBT001,FBT002
        """Tell callers of a leaving host to connect elsewhere."""
        if self.service.state.leaving and not self._headers_written:
            self.set_header('Connection', 'close')
        return super().flush(include_footers)

    def finish(self, chunk=None):
        """Finish the answer; the request is open until it is sent."""
        finishing = super().finish(chunk)
        finishing.add_done_callback(lambda _: self.end_open())
        return finishing

    def end_open(self) -> None:
        """Count the request as ended once nothing is left to send."""
        connection = self.request.connection
        stream = getattr(connection, 'stream', None)
        if stream is not None and stream.writing():
            loop = asyncio.get_running_loop()
            loop.call_later(SENT_POLL_S, self.end_open)
            return
        self.service.open_requests.discard(self)
        if self.service.state.leaving:
            self.sink.break_off()

    def on_connection_close(self) -> None:
        """Count the request of a caller that is gone as ended."""
        self.service.open_requests.discard(self)

    def compute_etag(self) -> None:
        """Answers carry the upstream's ETag or none."""

    def refuse(self, refusal: Refusal) -> None:
        """Send an error answer, or cut an answer that has begun."""
        self.service.log_refusal(self.sink.request_id, self.request, refusal)
        if self.sink.started:
            self.sink.break_off()
            return
        self.sink.refuse(refusal.failure, refusal.outcome)

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an exception of a handler as an internal error."""
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
        """Start without a body."""
        super().initialize(service)
        self.caller: CallerRequest | None = None
        self.chunks = bytearray()
        self.received = 0
        self.complete = False
        self.upload: StreamedBody | None = None
        self.late_body: asyncio.TimerHandle | None = None
        self.serving: asyncio.Task[Result[None, Refusal]] | None = None

    async def prepare(self) -> None:
        """Check the head; large bodies are served while they arrive."""
        super().prepare()
        parsed = self.service.parse(self.request)
        if isinstance(parsed, Err):
            self.refuse(Refusal.before_sending(parsed.err_value))
            return
        self.caller = parsed.ok_value
        self.sink.request_id = self.caller.request_id
        self.bound_body(self.caller)
        if not is_small(self.caller.body_size):
            self.upload = StreamedBody(self.caller.body_size)
            self.serve(self.caller, self.upload)
        self.late_body = asyncio.get_running_loop().call_at(
            self.caller.deadline_at + LATE_BODY_S,
            self.end_late_body,
        )

    def bound_body(self, caller: CallerRequest) -> None:
        """Let tornado accept as many bytes as the route allows."""
        connection = self.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.set_max_body_size(caller.route.max_body_bytes)

    async def data_received(self, chunk: bytes) -> None:
        """Take a part of the body; waits while the upstream is slower."""
        if self.caller is None:
            return
        self.received += len(chunk)
        if self.received > self.caller.route.max_body_bytes:
            self.reject_long_body()
            return
        if self.upload is not None:
            await self.upload.feed(chunk)
            return
        self.chunks += chunk

    def reject_long_body(self) -> None:
        """End an upload of unknown length that passed the limit."""
        self.caller = None
        if self.serving is not None:
            self.serving.cancel()
        failure = Failure(ErrorKind.BODY_TOO_LARGE, 'limit of the route')
        outcome = Outcome.NOT_RUN
        if self.upload is not None and self.upload.consumed:
            outcome = Outcome.UNKNOWN
        self.refuse(Refusal(failure, outcome))

    def stop_waiting(self) -> None:
        """Drop the timer, which would keep the request in memory."""
        if self.late_body is not None:
            self.late_body.cancel()

    def end_late_body(self) -> None:
        """Answer a caller whose body has not arrived in its time."""
        if self.complete or self.caller is None or self.sink.detached:
            return
        self.caller = None
        if self.serving is None:
            failure = Failure(ErrorKind.QUEUE_TIMEOUT, 'body came too late')
            self.refuse(Refusal.before_sending(failure))
        elif self.serving.done() and not self.serving.cancelled():
            self.conclude(self.serving.result())

    def conclude(self, served: Result[None, Refusal]) -> None:
        """End the answer."""
        if isinstance(served, Err):
            self.refuse(served.err_value)
        elif not self._finished:
            self.sink.end()

    def serve(self, caller: CallerRequest, body: Body) -> None:
        """Start to serve in the background."""
        self.serving = asyncio.create_task(
            self.service.serve(caller, body, self.sink),
        )
        if isinstance(body, StreamedBody):
            self.serving.add_done_callback(lambda _: body.abandon())

    async def answer(self, *_path: str) -> None:
        """Finish the body and wait for the end of the exchange."""
        if self.caller is None:
            return
        self.complete = True
        self.stop_waiting()
        self.sink.kept = self.is_kept()
        if self.upload is None:
            self.serve(self.caller, BufferedBody(bytes(self.chunks)))
        else:
            await self.upload.feed(b'')
        try:
            served = await self.serving
        except asyncio.CancelledError:
            self.sink.break_off()
            return
        self.conclude(served)

    def on_connection_close(self) -> None:
        """Cancel the upstream's work when the caller is gone.

        A request with an idempotency key that has arrived in full goes on,
        so that a repeat gets its answer.
        """
        super().on_connection_close()
        self.sink.detach()
        self.stop_waiting()
        if self.serving is None or self.is_kept():
            return
        self.serving.cancel()

    def is_kept(self) -> bool:
        """Tell whether the request runs on without its caller."""
        if self.caller is None or self.caller.idempotency_key is None:
            return False
        return self.complete and not self.caller.route.idempotent

    get = answer
    head = answer
    post = answer
    put = answer
    delete = answer


class TicketHandler(EntryHandler):
    """``POST /v1/tickets``: issues an idempotency key of this host."""

    def post(self) -> None:
        """Answer a new ticket for the client account of the key."""
        issued = self.service.issue_ticket(self.request)
        if isinstance(issued, Err):
            self.refuse(Refusal.before_sending(issued.err_value))
            return
        self.set_header('Cache-Control', 'no-store')
        self.finish({'ticket': issued.ok_value})


def is_small(size: int | None) -> bool:
    """Tell whether a body is read before the request is admitted."""
    return size is not None and size <= BUFFERED_BODY_BYTES
