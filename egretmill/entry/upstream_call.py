"""One request to one upstream on a connection of its own.

A new connection per request costs about 1 ms. In return a connection that
hangs, or that an upstream closed while idle, cannot affect another
request, and a late answer is dropped with its connection.
"""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import AsyncIterator
from typing import Protocol

from tornado import httputil
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.iostream import IOStream, StreamClosedError

from egretmill.errors import ErrorKind
from egretmill.http1 import MAX_HEADERS

__all__ = (
    'CONNECT_TIMEOUT_S',
    'AnswerSink',
    'CallEnd',
    'UpstreamCall',
    'UpstreamTarget',
)

# A connect takes about 1 ms. An upstream that does not accept within this
# time counts as refusing, which is safe because nothing was sent.
CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_HEADER_BYTES = 65536
STREAM_BUFFER_BYTES = 1048576
UNLIMITED_BYTES = 1 << 50
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
FIRST_ERROR_STATUS = 400


class ChunkSource(Protocol):
    """Provides the body of the request."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body chunk by chunk."""


class AnswerSink(Protocol):
    """Receives an answer as it arrives."""

    async def start(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Receive status and headers."""

    async def write(self, chunk: bytes) -> None:
        """Receive a chunk of the body; waits while the receiver is slower."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamTarget:
    """Address and request line of a call."""

    address: str
    port: int
    method: str
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnd:
    """How a call ended.

    ``sent`` is false only when no byte can have reached the upstream.
    ``kind`` is ``None`` after a complete answer. ``status`` is 0 when no
    status line arrived. ``first_byte_s`` counts from the connect.
    """

    kind: ErrorKind | None
    sent: bool
    status: int = 0
    detail: str = ''
    draining: bool = False
    caller_gone: bool = False
    first_byte_s: float = 0.0


class UpstreamCall(httputil.HTTPMessageDelegate):
    """Makes one call; :meth:`abort` ends it at any time."""

    def __init__(self, target: UpstreamTarget, sink: AnswerSink) -> None:
        """Prepare the call; nothing is sent yet."""
        self.target = target
        self.sink = sink
        self.stream: IOStream | None = None
        self.writer: asyncio.Task[None] | None = None
        self.sent = False
        self.is_complete = False
        self.timeout: asyncio.Timeout | None = None
        self.deadline_at = 0.0
        self.send_error = ''
        self.status = 0
        self.draining = False
        self.caller_gone = False
        self.abort_reason = ''
        self.started_at = 0.0
        self.first_byte_s = 0.0

    async def run(
        self,
        headers: httputil.HTTPHeaders,
        body: ChunkSource,
        connect_s: float,
        deadline_at: float,
        first_byte_at: float | None = None,
    ) -> CallEnd:
        """Connect, send the request and pass the answer to the sink.

        :param connect_s: timeout of the connect, in seconds.
        :param deadline_at: end of the whole call on the loop's clock.
        :param first_byte_at: earlier deadline of the first byte, if any.
        """
        self.deadline_at = deadline_at
        first_byte_by = deadline_at if first_byte_at is None else first_byte_at
        self.timeout = asyncio.timeout_at(first_byte_by)
        try:
            async with self.timeout:
                return await self.run_without_deadline(headers, body, connect_s)
        except TimeoutError:
            if self.is_complete:
                return self.make_end(None, 'the rest of the body was cut')
            return self.make_end(ErrorKind.UPSTREAM_TIMEOUT, 'deadline')
        finally:
            self.abort()

    async def run_without_deadline(
        self,
        headers: httputil.HTTPHeaders,
        body: ChunkSource,
        connect_s: float,
    ) -> CallEnd:
        """Make the call; only its connect has a timeout here."""
        try:
            stream = await self.connect(connect_s)
        except (OSError, TimeoutError, StreamClosedError) as error:
            reason = f'connect: {type(error).__name__}'
            return self.make_end(ErrorKind.UPSTREAM_REFUSED, reason)
        connection = HTTP1Connection(
            stream,
            is_client=True,
            params=HTTP1ConnectionParameters(
                no_keep_alive=True,
                max_header_size=MAX_ANSWER_HEADER_BYTES,
                max_body_size=UNLIMITED_BYTES,
            ),
        )
        self.sent = True
        self.writer = asyncio.create_task(
            self.send(connection, headers, body),
        )
        with contextlib.suppress(StreamClosedError):
            await connection.read_response(self)
        if self.is_complete:
            return self.make_end(None, '')
        detail = (
            self.abort_reason
            or self.send_error
            or 'the connection closed before the end'
        )
        return self.make_end(ErrorKind.UPSTREAM_FAILED, detail)

    async def connect(self, connect_s: float) -> IOStream:
        """Open the connection."""
        self.started_at = asyncio.get_running_loop().time()
        stream = IOStream(
            socket.socket(),
            max_buffer_size=STREAM_BUFFER_BYTES,
        )
        self.stream = stream
        # asyncio.wait_for of Python 3.11 drops a cancellation that arrives
        # when the connect has just finished. The call would then run
        # without a deadline.
        async with asyncio.timeout(connect_s):
            await stream.connect((self.target.address, self.target.port))
        stream.set_nodelay(True)
        return stream

    async def send(
        self,
        connection: HTTP1Connection,
        headers: httputil.HTTPHeaders,
        body: ChunkSource,
    ) -> None:
        """Send the request concurrently with reading the answer."""
        start_line = httputil.RequestStartLine(
            self.target.method,
            self.target.path,
            'HTTP/1.1',
        )
        try:
            await connection.write_headers(start_line, headers)
            async for chunk in body.chunks():
                await connection.write(chunk)
            connection.finish()
        except (StreamClosedError, httputil.HTTPOutputError) as error:
            # An upstream may answer before it has read the whole body.
            self.send_error = f'send: {type(error).__name__}'

    async def headers_received(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Pass on status and headers; interim (1xx) answers are dropped."""
        if sum(1 for _ in headers.get_all()) > MAX_HEADERS:
            # They take far more memory than their bytes, until the end of the
            # call.
            self.abort_reason = 'too many headers'
            self.abort()
            return
        if not MIN_STATUS <= start_line.code <= MAX_STATUS:
            self.abort_reason = f'status {start_line.code}'
            self.abort()
            return
        if start_line.code < MIN_FINAL_STATUS:
            return
        self.extend_timeout()
        now = asyncio.get_running_loop().time()
        self.first_byte_s = now - self.started_at
        self.status = start_line.code
        self.draining = headers.get('X-Draining') == '1'
        if not self.is_framed(headers):
            # Without a length, a complete answer looks the same as one of
            # an upstream that died midway.
            self.abort_reason = 'answer without Content-Length or chunks'
            self.abort()
            return
        await self.await_sink(self.sink.start(start_line.code, headers))

    def extend_timeout(self) -> None:
        """Extend the timeout to the deadline once the answer has begun."""
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(self.deadline_at)

    def is_framed(self, headers: httputil.HTTPHeaders) -> bool:
        """Return whether the end of the answer can be recognised."""
        if self.target.method == 'HEAD' or self.status in {204, 304}:
            return True
        return 'Content-Length' in headers or 'Transfer-Encoding' in headers

    async def data_received(self, chunk: bytes) -> None:
        """Pass on a chunk of the body."""
        await self.await_sink(self.sink.write(chunk))

    async def await_sink(self, sink_call) -> None:
        """Await the sink; a caller that has disconnected aborts the call."""
        try:
            await sink_call
        except StreamClosedError:
            self.caller_gone = True
            self.abort_reason = 'the caller closed the connection'
            self.abort()

    def finish(self) -> None:
        """Mark the answer as complete; a failure ends the request too.

        An upstream can answer with a success before it has read the whole
        body. :meth:`run` ends when it has been sent the rest.
        """
        self.is_complete = not self.abort_reason
        if self.is_complete and self.status < FIRST_ERROR_STATUS:
            return
        if self.writer is not None and not self.writer.done():
            self.abort()

    def on_connection_close(self) -> None:
        """Do nothing: the awaiting method sees that the answer is cut."""

    def make_end(self, kind: ErrorKind | None, detail: str) -> CallEnd:
        """Return how the call ended."""
        return CallEnd(
            kind=kind,
            sent=self.sent,
            status=self.status,
            detail=detail,
            draining=self.draining,
            caller_gone=self.caller_gone,
            first_byte_s=self.first_byte_s,
        )

    def abort(self) -> None:
        """Close the connection, by which the upstream cancels its work."""
        if self.writer is not None:
            self.writer.cancel()
        if self.stream is not None:
            self.stream.close()
