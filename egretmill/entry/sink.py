"""Sinks that send an upstream's answer to the caller, record or drop it."""

import json

from tornado import web
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from egretmill.entry import headers as header_names
from egretmill.entry.limits import LinkMeter
from egretmill.errors import Failure, Outcome
from egretmill.wire.messages import StoredAnswer

__all__ = (
    'HTTP_UNAVAILABLE',
    'MAX_STORED_BYTES',
    'CallerSink',
    'ShedFilterSink',
)

HTTP_UNAVAILABLE = 503
HTTP_NOT_MODIFIED = 304
#: Largest answer body that the ledger keeps, in bytes.
MAX_STORED_BYTES = 65536


class CallerSink:
    """Sends the answer to the caller and records a small one."""

    def __init__(self, handler: web.RequestHandler, request_id: str) -> None:
        """Write through a tornado handler."""
        self.handler = handler
        self.request_id = request_id
        self.started = False
        self.status = 0
        self.header_pairs: tuple[tuple[str, str], ...] = ()
        self.recorded_body = bytearray()
        self.is_recorded_whole = True
        self.body_bytes = 0
        self.is_detached = False
        self.survives_disconnect = False

    def detach(self) -> None:
        """Only record from now on, because the caller has disconnected."""
        self.is_detached = True

    async def start(
        self,
        status: int,
        headers: HTTPHeaders,
        outcome: str = '',
    ) -> None:
        """Send status and headers of an upstream's answer."""
        if not outcome:
            outcome = outcome_of(status).value
        self.set_head(status, header_names.answer_pairs(headers))
        length = headers.get('Content-Length')
        if length is not None:
            self.handler.set_header('Content-Length', length)
        self.handler.set_header(header_names.OUTCOME, outcome)
        await self.flush()

    async def flush(self) -> None:
        """Send what was written, unless the caller has disconnected."""
        if self.is_detached:
            return
        try:
            await self.handler.flush()
        except StreamClosedError:
            # A write can fail before the handler is told of the disconnect.
            if not self.survives_disconnect:
                raise
            self.detach()

    async def write(self, chunk: bytes) -> None:
        """Record and send a chunk of the body; waits for a slow caller."""
        self.body_bytes += len(chunk)
        if self.body_bytes <= MAX_STORED_BYTES:
            self.recorded_body += chunk
        else:
            self.is_recorded_whole = False
        if not self.is_detached:
            self.handler.write(chunk)
            await self.flush()

    def set_head(
        self,
        status: int,
        pairs: tuple[tuple[str, str], ...],
    ) -> None:
        """Set status and headers of the answer."""
        self.started = True
        self.status = status
        self.header_pairs = pairs
        self.handler.clear()
        self.handler.clear_header('Content-Type')
        self.handler.set_status(status)
        for name, text in pairs:
            self.handler.add_header(name, text)
        self.handler.set_header(header_names.REQUEST_ID, self.request_id)

    def finish(self) -> None:
        """Finish the answer after the last chunk."""
        if not self.is_detached:
            self.handler.finish()

    def recorded_answer(self) -> StoredAnswer | None:
        """Return the answer for the ledger, ``None`` if it was too large."""
        if not self.is_recorded_whole:
            return None
        return StoredAnswer(
            self.status, self.header_pairs, bytes(self.recorded_body)
        )

    def replay(self, answer: StoredAnswer) -> None:
        """Send a recorded answer."""
        self.set_head(answer.status, answer.headers)
        outcome = outcome_of(answer.status).value
        self.handler.set_header(header_names.OUTCOME, outcome)
        self.handler.set_header('X-Egretmill-Repeat', '1')
        if answer.status not in {204, HTTP_NOT_MODIFIED}:
            self.handler.write(answer.body)
        self.handler.finish()

    def refuse(self, failure: Failure, outcome: Outcome) -> None:
        """Send an error answer."""
        answer = failure.answer
        self.set_head(answer.status, ())
        self.handler.set_header(header_names.OUTCOME, outcome.value)
        self.handler.set_header('Content-Type', 'application/json')
        if answer.retry_after_s is not None:
            self.handler.set_header('Retry-After', str(answer.retry_after_s))
        body = {
            'error': failure.kind.value,
            'detail': failure.detail,
            'outcome': outcome.value,
            'request_id': self.request_id,
        }
        try:
            self.handler.finish(json.dumps(body) + '\n')
        except StreamClosedError:
            self.abort_connection()

    def abort_connection(self) -> None:
        """Close the connection, which shows the caller a cut answer."""
        connection = self.handler.request.connection
        stream = getattr(connection, 'stream', None)
        if stream is not None:
            stream.close()


class ShedFilterSink:
    """Passes an answer on unless its upstream shed a retryable request.

    ``drops_shed`` is set when another attempt may follow.
    """

    def __init__(self, inner: CallerSink, meter: LinkMeter) -> None:
        """Wrap the sink of the caller for one attempt."""
        self.inner = inner
        self.meter = meter
        self.drops_shed = False
        self.is_shed = False

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Pass on status and headers, but of a dropped 503 nothing."""
        self.is_shed = status == HTTP_UNAVAILABLE
        if not self.is_dropping:
            await self.inner.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Pass on a chunk of the body within the link's share."""
        await self.meter.spend(len(chunk))
        if not self.is_dropping:
            await self.inner.write(chunk)

    @property
    def is_dropping(self) -> bool:
        """Return whether the answer is dropped instead of passed on."""
        return self.is_shed and self.drops_shed


def outcome_of(status: int) -> Outcome:
    """Return the outcome that the status of an upstream's answer implies.

    An upstream that answers 503 may or may not have run the request.
    """
    return Outcome.UNKNOWN if status == HTTP_UNAVAILABLE else Outcome.RAN
