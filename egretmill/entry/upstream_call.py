"""One request to one upstream on a connection of its own.

A fresh connection per request costs about 1 ms. In return a connection
that went silent, or that an upstream closed while idle, cannot touch
another request, and a late answer ends with its connection.
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

__all__ = (
    'CONNECT_LIMIT_S',
    'AnswerSink',
    'CallEnd',
    'UpstreamCall',
    'UpstreamTarget',
)

# A connect takes about 1 ms; a host that does not answer within this time
# is treated as refusing, which is safe because nothing was sent.
CONNECT_LIMIT_S = 0.5
MAX_ANSWER_HEADER_BYTES = 65536
STREAM_BUFFER_BYTES = 1048576
UNLIMITED_BYTES = 1 << 50
FIRST_FINAL_STATUS = 200


class ChunkSource(Protocol):
    """Gives the body of the request."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body part by part."""


class AnswerSink(Protocol):
    """Takes an answer as it arrives."""

    async def start(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Take status and headers."""

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body; waits while the taker is slower."""


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
    ``kind`` is ``None`` after a whole answer. ``status`` is 0 when no
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
    """Runs one call; :meth:`abort` ends it at any time."""

    def __init__(self, target: UpstreamTarget, sink: AnswerSink) -> None:
        """Prepare the call; nothing is sent yet."""
        self.target = target
        self.sink = sink
        self.stream: IOStream | None = None
        self.writer: asyncio.Task[None] | None = None
        self.sent = False
        self.whole = False
        self.limit: asyncio.Timeout | None = None
        self.deadline_at = 0.0
        self.send_fault = ''
        self.status = 0
        self.draining = False
        self.caller_gone = False
        self.fault = ''
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

        :param connect_s: limit for the connect, in seconds.
        :param deadline_at: end of the whole call on the loop's clock.
        :param first_byte_at: when the answer must have begun, if earlier.
        """
        self.deadline_at = deadline_at
        begin_by = deadline_at if first_byte_at is None else first_byte_at
        self.limit = asyncio.timeout_at(begin_by)
        try:
            async with self.limit:
                return await self.exchange(headers, body, connect_s)
        except TimeoutError:
            return self.ended(ErrorKind.UPSTREAM_TIMEOUT, 'deadline')
        finally:
            self.abort()

    async def exchange(
        self,
        headers: httputil.HTTPHeaders,
        body: ChunkSource,
        connect_s: float,
    ) -> CallEnd:
        """Make the call without a limit for the whole."""
        try:
            stream = await self.connect(connect_s)
        except (OSError, TimeoutError, StreamClosedError) as error:
            reason = f'connect: {type(error).__name__}'
            return self.ended(ErrorKind.UPSTREAM_REFUSED, reason)
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
        if self.whole:
            return self.ended(None, '')
        detail = (
            self.fault
            or self.send_fault
            or 'the connection closed before the end'
        )
        return self.ended(ErrorKind.UPSTREAM_FAILED, detail)

    async def connect(self, connect_s: float) -> IOStream:
        """Open the connection."""
        self.started_at = asyncio.get_running_loop().time()
        stream = IOStream(
            socket.socket(),
            max_buffer_size=STREAM_BUFFER_BYTES,
        )
        self.stream = stream
        # asyncio.wait_for of Python 3.11 drops a cancellation that meets a
        # finished connect; the call would then have no deadline at all.
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
        """Send the request while the answer is awaited."""
        line = httputil.RequestStartLine(
            self.target.method,
            self.target.path,
            'HTTP/1.1',
        )
        try:
            await connection.write_headers(line, headers)
            async for chunk in body.chunks():
                await connection.write(chunk)
            connection.finish()
        except (StreamClosedError, httputil.HTTPOutputError) as error:
            # An upstream may answer before it has read the whole body.
            self.send_fault = f'send: {type(error).__name__}'

    async def headers_received(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Pass status and headers on; interim answers are dropped."""
        if start_line.code < FIRST_FINAL_STATUS:
            return
        self.extend_limit()
        now = asyncio.get_running_loop().time()
        self.first_byte_s = now - self.started_at
        self.status = start_line.code
        self.draining = headers.get('X-Draining') == '1'
        if not self.is_framed(headers):
            # Without a length the end of the answer cannot be told from
            # an upstream that died.
            self.fault = 'answer without Content-Length or chunks'
            self.abort()
            return
        await self.pass_on(self.sink.start(start_line.code, headers))

    def extend_limit(self) -> None:
        """Give an answer that has begun the time of the whole call."""
        if self.limit is not None and not self.limit.expired():
            self.limit.reschedule(self.deadline_at)

    def is_framed(self, headers: httputil.HTTPHeaders) -> bool:
        """Tell whether the end of the answer can be recognised."""
        if self.target.method == 'HEAD' or self.status in {204, 304}:
            return True
        return 'Content-Length' in headers or 'Transfer-Encoding' in headers

    async def data_received(self, chunk: bytes) -> None:
        """Pass a part of the body on."""
        await self.pass_on(self.sink.write(chunk))

    async def pass_on(self, writing) -> None:
        """Await the sink; a caller that is gone ends the call."""
        try:
            await writing
        except StreamClosedError:
            self.caller_gone = True
            self.fault = 'the caller closed the connection'
            self.abort()

    def finish(self) -> None:
        """Note that the whole answer has arrived."""
        self.whole = not self.fault
        if self.writer is not None and not self.writer.done():
            self.abort()

    def on_connection_close(self) -> None:
        """Nothing to do: the missing end is seen by the caller of run."""

    def ended(self, kind: ErrorKind | None, detail: str) -> CallEnd:
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
        """Close the connection, which cancels the upstream's work."""
        if self.writer is not None:
            self.writer.cancel()
        if self.stream is not None:
            self.stream.close()
