"""Connections to upstreams: one request at a time, whole responses."""

import asyncio
import dataclasses
import enum

from result import Err, Ok, Result

from egretmill.http1.messages import (
    LINE_END,
    Body,
    BodyCut,
    Header,
    Response,
    encode_headers,
)
from egretmill.http1.response_reader import ResponseReader
from egretmill.http1.transport import ConnectionTransport

__all__ = ('Call', 'CallFailure', 'ClientConnection', 'FailureCause', 'connect')


LAST_CHUNK = b'0\r\n\r\n'


class FailureCause(enum.StrEnum):
    """Why a call got no complete response."""

    CONNECT = 'connect'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'
    MALFORMED = 'malformed'
    FOREIGN = 'foreign'
    CALLER_GONE = 'caller_gone'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a complete response.

    :param sent: a byte of the request may have reached the upstream.
    :param reused: the connection had carried a call before.
    """

    cause: FailureCause
    sent: bool
    detail: str = ''
    reused: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """A request to an upstream.

    :param expects: header and value that the response must carry, so that
        the response to another request is told apart.
    :param deadline_at: loop time at which the call fails.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: Body
    deadline_at: float
    expects: Header | None = None
    #: Length that the caller stated for a body that still arrives.
    length: bytes | None = None

    def head(self) -> bytes:
        """Return the bytes of the request up to its body."""
        return b''.join(
            (
                b'%b %b HTTP/1.1\r\n' % (self.method, self.target),
                encode_headers(self.headers),
                encode_headers(self._framing()),
                LINE_END,
            )
        )

    @property
    def chunked(self) -> bool:
        """Tell whether the body goes in chunks of its own length."""
        return self.length is None and not self.body.complete

    def _framing(self) -> list[Header]:
        if self.chunked:
            return [(b'Transfer-Encoding', b'chunked')]
        length = self.length
        if self.body.complete:
            length = b'%d' % self.body.received_bytes
        if length == b'0' and self.method in {b'GET', b'HEAD', b'DELETE'}:
            return []
        return [(b'Content-Length', length or b'0')]


Answer = Result[Response, CallFailure]


class ClientConnection(ConnectionTransport):
    """A connection that carries one call at a time.

    :param idle_since: loop time at which the last call ended.
    """

    def __init__(self) -> None:
        """Wait for the transport."""
        super().__init__()
        self.reader: ResponseReader | None = None
        self.call: Call | None = None
        self.waiter: asyncio.Future[Answer] | None = None
        self.sent = False
        self.reusable = True
        self.idle_since = self.loop.time()
        self.keep_s: float | None = None
        self.calls = 0

    @property
    def open(self) -> bool:
        """Tell whether the next call may use the connection."""
        return self.reusable and not self.ended

    async def send(self, call: Call) -> Answer:
        """Send a request and return its whole response.

        Cancelling the call aborts the connection, which tells the upstream
        that nobody waits any more.
        """
        waiter: asyncio.Future[Answer] = self.loop.create_future()
        self.call = call
        self.waiter = waiter
        self.sent = False
        timer = self.loop.call_at(call.deadline_at, self.expire)
        writing = self._start(call)
        try:
            return await waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            timer.cancel()
            if writing is not None:
                writing.cancel()
            self._end_call()

    def abort(self) -> None:
        """Reset the connection."""
        self.reusable = False
        self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call; a response without length ends with the close."""
        self.transport = None
        self.writable.set()
        if self.reader is not None and exc is None:
            self.reader.connection_ended()
        self._fail(FailureCause.CLOSED, str(exc or 'closed'))

    def eof_received(self) -> bool:
        """Close the own side as well."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; bytes outside a call belong to none."""
        if self.reader is None or self.waiter is None or self.waiter.done():
            self.abort()
            return
        self.reader.feed(data)

    def response_ended(self, response: Response) -> None:
        """End the call unless the response is another's."""
        if self.waiter is None or self.waiter.done():
            # A second response arrived with the first one.
            self.reusable = False
            return
        if self.reader is not None and not self.reader.reusable:
            self.reusable = False
        if self._is_foreign(response):
            self._skip_foreign()
            return
        if self.call is None or not self.call.body.complete:
            # The rest of the body would be read as the next request.
            self.reusable = False
        self.keep_s = _keep_alive_s(response)
        self.waiter.set_result(Ok(response))

    def expire(self) -> None:
        """Fail the call: no response came in time."""
        self._fail(FailureCause.TIMEOUT, 'no response in time')
        self.abort()

    def malformed(self, detail: str) -> None:
        """Fail the call: what arrives is no response."""
        self._fail(FailureCause.MALFORMED, detail)
        self.abort()

    def _start(self, call: Call) -> asyncio.Task[None] | None:
        if self.ended:
            self._fail(FailureCause.CLOSED, 'closed before the call')
            return None
        self.sent = True
        self.calls += 1
        self.reader = ResponseReader(self, bodiless=call.method == b'HEAD')
        head = call.head()
        if call.body.complete and call.body.replayable:
            self.write(head + b''.join(call.body.chunks))
            return None
        self.write(head)
        return self.loop.create_task(self._write_body(call))

    async def _write_body(self, call: Call) -> None:
        frame = _chunk if call.chunked else bytes
        try:
            async for part in call.body.parts():
                await self.writable.wait()
                self.write(frame(part))
        except BodyCut:
            self._fail(FailureCause.CALLER_GONE, 'body was cut')
            self.abort()
            return
        if call.chunked:
            self.write(LAST_CHUNK)

    def _is_foreign(self, response: Response) -> bool:
        if self.call is None or self.call.expects is None:
            return False
        name, text = self.call.expects
        found = response.fields.get(name.lower())
        if found is None:
            # The first response on a connection can only be to its request.
            return self.calls > 1
        return found != text

    def _skip_foreign(self) -> None:
        if self.calls > 1 and self.reusable:
            return
        self._fail(FailureCause.FOREIGN, 'response to another request')
        self.abort()

    def _fail(self, cause: FailureCause, detail: str) -> None:
        self.reusable = False
        if self.waiter is None or self.waiter.done():
            return
        failure = CallFailure(cause, self.sent, detail, self.calls > 1)
        self.waiter.set_result(Err(failure))

    def _end_call(self) -> None:
        self.call = None
        self.waiter = None
        self.reader = None
        self.idle_since = self.loop.time()
        if not self.reusable:
            self.abort()


async def connect(
    address: str,
    port: int,
    limit_s: float,
) -> Result[ClientConnection, CallFailure]:
    """Open a connection; nothing is sent when that fails.

    :param limit_s: longest time that it may take, in seconds.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(limit_s):
            _, connection = await loop.create_connection(
                ClientConnection,
                address,
                port,
            )
    except TimeoutError:
        failure = CallFailure(FailureCause.CONNECT, sent=False, detail='slow')
        return Err(failure)
    except OSError as error:
        return Err(CallFailure(FailureCause.CONNECT, False, str(error)))
    return Ok(connection)


def _chunk(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)


def _keep_alive_s(response: Response) -> float | None:
    """Return the idle timeout that the upstream states, if any."""
    text = response.fields.get(b'keep-alive', b'').decode('latin-1')
    for part in text.split(','):
        name, _, amount = part.strip().partition('=')
        if name.lower() == 'timeout' and amount.isdigit():
            return float(amount)
    return None
