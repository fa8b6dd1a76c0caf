"""Request heads, request bodies and responses."""

import asyncio
import dataclasses
import http
from collections.abc import AsyncIterator, Callable, Iterable

__all__ = (
    'BODY_BUFFER_BYTES',
    'UNFORWARDED_HEADERS',
    'Body',
    'Header',
    'RequestHead',
    'Response',
    'TruncatedBodyError',
    'encode_headers',
    'encode_response_head',
)

Header = tuple[bytes, bytes]

#: Bodies up to this size are held in memory, so that they can be sent again.
#: Of a longer body, at most this much is buffered for the receiver.
BODY_BUFFER_BYTES = 1 << 20
#: Hop-by-hop headers (RFC 9110, section 7.6.1), and the content length, which
#: is set anew for each connection.
UNFORWARDED_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
LINE_END = b'\r\n'


class TruncatedBodyError(Exception):
    """A body has no end: its sender disconnected, or it was discarded."""


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Method, target and headers of a request.

    :param headers: names as they were sent, in their order.
    :param fields: the last value of each header, by lower-case name.
    :param received_at: loop time at which the head was complete.
    """

    method: bytes = b''
    target: bytes = b''
    headers: list[Header] = dataclasses.field(default_factory=list)
    fields: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    received_at: float = 0

    def add_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self.headers.append((name, text))
        self.fields[name.lower()] = text

    def connection_options(self) -> frozenset[bytes]:
        """Return the lower-case header names that ``Connection`` lists."""
        connection_header = self.fields.get(b'connection', b'')
        return frozenset(
            option.strip().lower() for option in connection_header.split(b',')
        )

    @property
    def has_body(self) -> bool:
        """Return whether the headers announce a body."""
        if b'transfer-encoding' in self.fields:
            return True
        return self.fields.get(b'content-length', b'0') != b'0'


class Body:
    """A request body that is received from a caller.

    A body up to :data:`BODY_BUFFER_BYTES` is buffered as a whole. A longer
    one is forwarded while it arrives and can be sent only once.

    :param resume_reading: called when a full buffer has room again.
    """

    def __init__(
        self, resume_reading: Callable[[], None] | None = None
    ) -> None:
        self.chunks: list[bytes] = []
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.complete = False
        self.truncated = False
        self.replayable = True
        self.discarded = False
        self.resume_reading = resume_reading
        self.state_changed: asyncio.Event | None = None

    @classmethod
    def from_bytes(cls, content: bytes) -> 'Body':
        """Return a complete body."""
        body = cls()
        if content:
            body.feed(content)
        body.mark_complete()
        return body

    @property
    def is_buffer_full(self) -> bool:
        """Return whether reading from the sender should pause."""
        return self.buffered_bytes >= BODY_BUFFER_BYTES

    @property
    def is_forwardable(self) -> bool:
        """Return whether the body is complete, truncated or fills the buffer.

        Until then, forwarding waits, so that a short body is replayable.
        """
        return self.complete or self.truncated or self.is_buffer_full

    def feed(self, chunk: bytes) -> None:
        """Append a received chunk, unless the body is discarded."""
        self.received_bytes += len(chunk)
        if self.discarded:
            return
        self.chunks.append(chunk)
        self.buffered_bytes += len(chunk)
        self._notify_change()

    def discard(self) -> None:
        """Drop what is buffered and what will still be received."""
        self.discarded = True
        self.chunks.clear()
        self.buffered_bytes = 0
        self._notify_change()
        if self.resume_reading is not None:
            self.resume_reading()

    def mark_complete(self) -> None:
        """Record that the whole body has arrived."""
        self.complete = True
        self._notify_change()

    def mark_truncated(self) -> None:
        """Record that the rest of an incomplete body will not arrive."""
        self.truncated = not self.complete
        self._notify_change()

    async def wait_until_forwardable(self) -> None:
        """Wait until the body is complete, truncated or fills the buffer."""
        while not self.is_forwardable:
            await self._wait_for_change()

    async def iter_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks; those of a body that streams are discarded.

        :raises TruncatedBodyError: when the sender has disconnected, or the
            rest was discarded.
        """
        if not self.complete:
            self.replayable = False
        position = 0
        while True:
            while position < len(self.chunks):
                yield self._take_chunk(position)
                position += int(self.replayable)
            if self.truncated or self.discarded:
                raise TruncatedBodyError
            if self.complete:
                return
            await self._wait_for_change()

    def _take_chunk(self, position: int) -> bytes:
        """Return a chunk; one that will not be sent again is dropped."""
        if self.replayable:
            return self.chunks[position]
        was_buffer_full = self.is_buffer_full
        chunk = self.chunks.pop(position)
        self.buffered_bytes -= len(chunk)
        if (
            was_buffer_full
            and not self.is_buffer_full
            and self.resume_reading is not None
        ):
            self.resume_reading()
        return chunk

    async def _wait_for_change(self) -> None:
        if self.state_changed is None:
            self.state_changed = asyncio.Event()
        self.state_changed.clear()
        await self.state_changed.wait()

    def _notify_change(self) -> None:
        if self.state_changed is not None:
            self.state_changed.set()


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response, from an upstream or from this host itself.

    :param headers: names as they were sent, in their order.
    :param fields: the last value of each header, by lower-case name.
    """

    status: int
    headers: list[Header] = dataclasses.field(default_factory=list)
    body: bytes = b''
    fields: dict[bytes, bytes] = dataclasses.field(default_factory=dict)

    def add_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self.headers.append((name, text))
        self.fields[name.lower()] = text


def encode_headers(headers: Iterable[Header]) -> bytes:
    """Return the header lines, without the empty line after them."""
    return b''.join(
        b'%b: %b\r\n' % (name, text)
        for name, text in headers  # noqa: WPS323
    )


def encode_response_head(
    response: Response,
    *,
    closes: bool,
    keep_alive_s: int,
) -> bytes:
    """Return the bytes of a response up to its body.

    :param closes: the connection is closed after this response.
    :param keep_alive_s: timeout for ``Keep-Alive``, in seconds.
    """
    reason_phrase = _reason_phrase(response.status)
    forwarded = [
        header
        for header in response.headers
        if header[0].lower() not in UNFORWARDED_HEADERS
    ]
    connection_headers = [(b'Connection', b'close')]
    if not closes:
        connection_headers = [(b'Keep-Alive', b'timeout=%d' % keep_alive_s)]
    content_length = (b'Content-Length', b'%d' % len(response.body))
    return b''.join(
        (
            b'HTTP/1.1 %d %b\r\n' % (response.status, reason_phrase),
            encode_headers(forwarded),
            encode_headers((content_length, *connection_headers)),
            LINE_END,
        )
    )


def _reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
