"""Where an upstream's answer goes: to the caller, recorded or dropped."""

import json

from tornado import web
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from egretmill.entry import headers as header_names
from egretmill.entry.limits import LinkMeter
from egretmill.errors import Failure, Outcome
from egretmill.wire.messages import StoredAnswer

__all__ = ('HTTP_UNAVAILABLE', 'MAX_STORED_BYTES', 'CallerSink', 'SheddingSink')

HTTP_UNAVAILABLE = 503
HTTP_NOT_MODIFIED = 304
#: Largest answer body that the ledger keeps, in bytes.
MAX_STORED_BYTES = 65536


class CallerSink:
    """Writes the answer to the caller and keeps a small copy of it."""

    def __init__(self, handler: web.RequestHandler, request_id: str) -> None:
        """Write through a tornado handler."""
        self.handler = handler
        self.request_id = request_id
        self.started = False
        self.status = 0
        self.pairs: tuple[tuple[str, str], ...] = ()
        self.copy = bytearray()
        self.copied_all = True
        self.size = 0
        self.detached = False
        self.kept = False

    def detach(self) -> None:
        """Only record from now on, because the caller is gone."""
        self.detached = True

    async def start(
        self,
        status: int,
        headers: HTTPHeaders,
        outcome: str = '',
    ) -> None:
        """Send status and headers of an upstream's answer."""
        if not outcome:
            outcome = outcome_of(status).value
        self.begin(status, header_names.answer_pairs(headers))
        length = headers.get('Content-Length')
        if length is not None:
            self.handler.set_header('Content-Length', length)
        self.handler.set_header(header_names.OUTCOME, outcome)
        await self.flush()

    async def flush(self) -> None:
        """Send what was written, unless nobody listens any more."""
        if self.detached:
            return
        try:
            await self.handler.flush()
        except StreamClosedError:
            # A write may learn of the close before the handler does.
            if not self.kept:
                raise
            self.detach()

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; waits for a slow caller."""
        self.size += len(chunk)
        if self.size <= MAX_STORED_BYTES:
            self.copy += chunk
        else:
            self.copied_all = False
        if not self.detached:
            self.handler.write(chunk)
            await self.flush()

    def begin(
        self,
        status: int,
        pairs: tuple[tuple[str, str], ...],
    ) -> None:
        """Set status and headers of the answer."""
        self.started = True
        self.status = status
        self.pairs = pairs
        self.handler.clear()
        self.handler.clear_header('Content-Type')
        self.handler.set_status(status)
        for name, text in pairs:
            self.handler.add_header(name, text)
        self.handler.set_header(header_names.REQUEST_ID, self.request_id)

    def end(self) -> None:
        """Finish the answer after all parts were written."""
        if not self.detached:
            self.handler.finish()

    def stored(self) -> StoredAnswer | None:
        """Return the copy for the ledger, ``None`` if it was too large."""
        if not self.copied_all:
            return None
        return StoredAnswer(self.status, self.pairs, bytes(self.copy))

    def replay(self, answer: StoredAnswer) -> None:
        """Send a recorded answer."""
        self.begin(answer.status, answer.headers)
        outcome = outcome_of(answer.status).value
        self.handler.set_header(header_names.OUTCOME, outcome)
        self.handler.set_header('X-Egretmill-Repeat', '1')
        if answer.status not in {204, HTTP_NOT_MODIFIED}:
            self.handler.write(answer.body)
        self.handler.finish()

    def refuse(self, failure: Failure, outcome: Outcome) -> None:
        """Send an error answer."""
        answer = failure.answer
        self.begin(answer.status, ())
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
            self.break_off()

    def break_off(self) -> None:
        """Close the connection so that the caller sees a cut answer."""
        connection = self.handler.request.connection
        stream = getattr(connection, 'stream', None)
        if stream is not None:
            stream.close()


class SheddingSink:
    """Passes an answer on unless the upstream shed the request."""

    def __init__(self, inner: CallerSink, meter: LinkMeter) -> None:
        """Wrap the sink of the caller for one attempt."""
        self.inner = inner
        self.meter = meter
        self.hold_shed = False
        self.shed = False

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Drop a 503 that will be retried, pass on everything else."""
        self.shed = status == HTTP_UNAVAILABLE
        if not self.dropping:
            await self.inner.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Pass a part of the body on, inside the share of the link."""
        await self.meter.spend(len(chunk))
        if not self.dropping:
            await self.inner.write(chunk)

    @property
    def dropping(self) -> bool:
        """Tell whether the answer is held back."""
        return self.shed and self.hold_shed


def outcome_of(status: int) -> Outcome:
    """Return what a status of an upstream tells about the execution.

    An upstream that answers 503 may or may not have run the request.
    """
    return Outcome.UNKNOWN if status == HTTP_UNAVAILABLE else Outcome.RAN
