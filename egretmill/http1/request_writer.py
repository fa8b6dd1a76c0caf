"""Requests to upstreams, and how they are written while a body arrives."""

import asyncio
import dataclasses
from collections.abc import Callable

from egretmill.http1.body import Body, TruncatedBodyError
from egretmill.http1.messages import LINE_END, Header, encode_headers
from egretmill.http1.transport import ConnectionTransport

__all__ = ('Call', 'RequestWriter')

LAST_CHUNK = b'0\r\n\r\n'


@dataclasses.dataclass(slots=True)
class Call:
    """A request to an upstream.

    :param expected_header: name and value of a header that the response must
        echo; another value marks it as the response to another request.
    :param deadline_at: loop time at which the call fails.
    :param declared_length: ``Content-Length`` that the caller sent, for a
        body that is still arriving; ``None`` if it sent none.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: Body
    deadline_at: float
    expected_header: Header | None = None
    declared_length: bytes | None = None

    def encode_head(self) -> bytes:
        """Return the bytes of the request up to its body."""
        return b''.join(
            (
                b'%b %b HTTP/1.1\r\n' % (self.method, self.target),
                encode_headers(self.headers),
                encode_headers(self._framing_headers()),
                LINE_END,
            )
        )

    @property
    def is_chunked(self) -> bool:
        """Return whether a request sent now has a chunked body."""
        return self.declared_length is None and not self.body.complete

    def _framing_headers(self) -> list[Header]:
        if self.is_chunked:
            return [(b'Transfer-Encoding', b'chunked')]
        length = self.declared_length
        if self.body.complete:
            length = b'%d' % self.body.received_bytes
        if length == b'0' and self.method in {b'GET', b'HEAD', b'DELETE'}:
            return []
        return [(b'Content-Length', length or b'0')]


class RequestWriter:
    """Writes one request to a connection.

    :param on_truncated: called if the body has no end.
    :param is_done: the whole request is written.
    :param written_bytes: bytes of the body that are written.
    :param task: writes a body that is still arriving; ``None`` without one.
    """

    def __init__(
        self,
        call: Call,
        connection: ConnectionTransport,
        on_truncated: Callable[[], None],
    ) -> None:
        """Write the head, and start to write the body."""
        self.call = call
        self.connection = connection
        self.on_truncated = on_truncated
        self.is_done = False
        self.written_bytes = 0
        self.task: asyncio.Task[None] | None = None
        head = call.encode_head()
        body = call.body
        if body.complete and body.replayable:
            connection.write(head + b''.join(body.chunks))
            self.written_bytes = body.received_bytes
            self.is_done = True
            return
        # The body can be complete by the time it is written, so its state
        # does not tell the framing any more.
        is_chunked = call.is_chunked
        connection.write(head)
        self.task = connection.loop.create_task(
            self._write_body(is_chunked=is_chunked)
        )

    @property
    def unwritten_bytes(self) -> int:
        """Return the bytes that have arrived and are not written."""
        return self.call.body.received_bytes - self.written_bytes

    def cancel(self) -> None:
        """Write no more of the body."""
        if self.task is not None:
            self.task.cancel()

    async def _write_body(self, *, is_chunked: bool) -> None:
        frame_chunk = _encode_chunk if is_chunked else bytes
        connection = self.connection
        try:
            async for chunk in self.call.body.iter_chunks():
                await connection.writable.wait()
                connection.write(frame_chunk(chunk))
                self.written_bytes += len(chunk)
        except TruncatedBodyError:
            self.on_truncated()
            return
        if is_chunked:
            connection.write(LAST_CHUNK)
        self.is_done = True


def _encode_chunk(chunk: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)
