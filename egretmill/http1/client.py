"""Connections to upstreams: one request at a time, whole responses."""

import asyncio
import dataclasses
import enum
import socket
from typing import Any

import httptools
from result import Err, Ok, Result

from egretmill.http1.messages import (
    LINE_END,
    Body,
    BodyCut,
    Header,
    Response,
    encode_headers,
)

__all__ = ('Call', 'CallFailure', 'ClientConnection', 'FailureCause', 'connect')

#: Longest response that is held in memory.
RESPONSE_LIMIT_BYTES = 16 << 20
#: Unacknowledged bytes end the connection after this time, in milliseconds;
#: a receiver behind a network partition sends no reset.
USER_TIMEOUT_MS = 5000
HTTP_FIRST_FINAL = 200
BODILESS = frozenset((204, 304))


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
        return not self.body.complete and self.length is None

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


class ClientConnection(asyncio.Protocol):
    """A connection that carries one call at a time.

    :param idle_since: loop time at which the last call ended.
    """

    def __init__(self) -> None:
        """Wait for the transport."""
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.call: Call | None = None
        self.waiter: asyncio.Future[Answer] | None = None
        self.response = Response(0)
        self.chunks: list[bytes] = []
        self.size = 0
        self.until_end = False
        self.sent = False
        self.reusable = True
        self.idle_since = self.loop.time()
        self.keep_s: float | None = None
        self.calls = 0
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def open(self) -> bool:
        """Tell whether the next call may use the connection."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.reusable

    async def send(self, call: Call) -> Answer:
        """Send a request and return its whole response.

        Cancelling the call aborts the connection, which tells the upstream
        that nobody waits any more.
        """
        waiter: asyncio.Future[Answer] = self.loop.create_future()
        self.call = call
        self.waiter = waiter
        self.sent = False
        timer = self.loop.call_at(call.deadline_at, self._expire)
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
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: Any) -> None:
        """Set the options of the socket."""
        self.transport = transport
        connected = transport.get_extra_info('socket')
        if connected is not None:
            level = socket.IPPROTO_TCP
            connected.setsockopt(level, socket.TCP_NODELAY, 1)
            connected.setsockopt(
                level,
                socket.TCP_USER_TIMEOUT,
                USER_TIMEOUT_MS,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call; a response without length ends with the close."""
        self.transport = None
        self.writable.set()
        if self.until_end and exc is None:
            self._complete()
        self._fail(FailureCause.CLOSED, str(exc or 'closed'))

    def eof_received(self) -> bool:
        """Close the own side as well."""
        return False

    def pause_writing(self) -> None:
        """Wait until the upstream has read what was sent."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Send on."""
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; bytes outside a call belong to none."""
        if self.waiter is None or self.waiter.done():
            self.abort()
            return
        if self.parser is None:
            self.parser = httptools.HttpResponseParser(self)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break('protocol upgrade')
        except httptools.HttpParserError as error:
            self._break(str(error))

    def on_message_begin(self) -> None:
        """Start a new response."""
        if self.waiter is None or self.waiter.done():
            # A second response arrived with the first one.
            self.reusable = False
        self.response = Response(0)
        self.chunks = []
        self.size = 0
        self.until_end = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.response.add(name, text)

    def on_headers_complete(self) -> None:
        """Note how the response ends."""
        if self.parser is None or self.call is None:
            return
        self.response.status = self.parser.get_status_code()
        if self.response.status < HTTP_FIRST_FINAL:
            return
        fields = self.response.fields
        bodiless = self.response.status in BODILESS
        framed = b'content-length' in fields or b'transfer-encoding' in fields
        if self.call.method == b'HEAD':
            # The parser would wait for the body that the head announces.
            self.reusable = False
            self._complete()
        elif not framed and not bodiless:
            self.reusable = False
            self.until_end = True

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.size += len(chunk)
        if self.size > RESPONSE_LIMIT_BYTES:
            self._break('response too long')
            return
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """End the call unless the response is interim or another's."""
        if self.response.status < HTTP_FIRST_FINAL:
            return
        if self.parser is None or not self.parser.should_keep_alive():
            self.reusable = False
        if self._is_foreign():
            self._skip_foreign()
            return
        self._complete()

    def _start(self, call: Call) -> asyncio.Task[None] | None:
        if self.transport is None or self.transport.is_closing():
            self._fail(FailureCause.CLOSED, 'closed before the call')
            return None
        self.sent = True
        self.calls += 1
        self.parser = None
        head = call.head()
        if call.body.complete and call.body.replayable:
            self.transport.write(head + b''.join(call.body.chunks))
            return None
        self.transport.write(head)
        return self.loop.create_task(self._write_body(call))

    async def _write_body(self, call: Call) -> None:
        chunked = call.chunked
        try:
            async for chunk in call.body.parts():
                await self.writable.wait()
                if self.transport is None:
                    return
                self.transport.write(_frame(chunk, chunked=chunked))
        except BodyCut:
            self._fail(FailureCause.CALLER_GONE, 'body was cut')
            self.abort()
            return
        if chunked and self.transport is not None:
            self.transport.write(b'0\r\n\r\n')

    def _is_foreign(self) -> bool:
        expects = self.call.expects if self.call is not None else None
        if expects is None:
            return False
        name, text = expects
        found = self.response.fields.get(name.lower())
        if found is None:
            # The first response on a connection can only be to its request.
            return self.calls > 1
        return found != text

    def _skip_foreign(self) -> None:
        if self.calls > 1 and self.reusable:
            return
        self._fail(FailureCause.FOREIGN, 'response to another request')
        self.abort()

    def _complete(self) -> None:
        if self.waiter is None or self.waiter.done():
            return
        response = self.response
        response.body = b''.join(self.chunks)
        self.until_end = False
        if self.call is not None and not self.call.body.complete:
            # The rest of the body would be read as the next request.
            self.reusable = False
        self.keep_s = _keep_alive_s(response)
        self.waiter.set_result(Ok(response))

    def _break(self, detail: str) -> None:
        self._fail(FailureCause.MALFORMED, detail)
        self.abort()

    def _expire(self) -> None:
        self._fail(FailureCause.TIMEOUT, 'no response in time')
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
        self.chunks = []
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


def _frame(chunk: bytes, *, chunked: bool) -> bytes:
    if not chunked:
        return chunk
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)


def _keep_alive_s(response: Response) -> float | None:
    """Return the idle timeout that the upstream states, if any."""
    text = response.fields.get(b'keep-alive', b'').decode('latin-1')
    for part in text.split(','):
        name, _, amount = part.strip().partition('=')
        if name.lower() == 'timeout' and amount.isdigit():
            return float(amount)
    return None
