"""Heads, bodies and responses as they pass between connections."""

import asyncio
import dataclasses
import http
from collections.abc import AsyncIterator, Callable, Iterable

__all__ = (
    'BODY_BUFFER_BYTES',
    'CONNECTION_HEADERS',
    'Body',
    'BodyCut',
    'Header',
    'RequestHead',
    'Response',
    'encode_headers',
    'response_head',
)

Header = tuple[bytes, bytes]

#: A body is held in memory up to this size, so that it can be sent again;
#: of a longer one, this much may wait for the receiver.
BODY_BUFFER_BYTES = 1 << 20
#: Headers that concern one connection only (RFC 9110, section 7.6.1), and
#: the length, which is stated anew for each connection.
CONNECTION_HEADERS = frozenset(
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


class BodyCut(Exception):
    """The sender of a body has gone before its end."""


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

    def add(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.headers.append((name, text))
        self.fields[name.lower()] = text

    def connection_options(self) -> frozenset[bytes]:
        """Return the lower-case header names that ``Connection`` lists."""
        listed = self.fields.get(b'connection', b'')
        return frozenset(part.strip().lower() for part in listed.split(b','))

    @property
    def has_body(self) -> bool:
        """Tell whether the head announces a body."""
        if b'transfer-encoding' in self.fields:
            return True
        return self.fields.get(b'content-length', b'0') != b'0'


class Body:
    """A request body that arrives from a caller.

    It stays in memory up to :data:`BODY_BUFFER_BYTES`; a longer one is
    passed on while it arrives and can be sent only once.

    :param resume: called when the receiver has caught up with the sender.
    """

    def __init__(self, resume: Callable[[], None] | None = None) -> None:
        self.chunks: list[bytes] = []
        self.waiting_bytes = 0
        self.received_bytes = 0
        self.complete = False
        self.cut = False
        self.replayable = True
        self.resume = resume
        self.changed: asyncio.Event | None = None

    @classmethod
    def from_bytes(cls, content: bytes) -> 'Body':
        """Return a complete body."""
        body = cls()
        if content:
            body.feed(content)
        body.finish()
        return body

    @property
    def is_full(self) -> bool:
        """Tell whether the sender should pause."""
        return self.waiting_bytes >= BODY_BUFFER_BYTES

    @property
    def settled(self) -> bool:
        """Tell whether the body is complete, cut or too long to hold."""
        return self.complete or self.cut or self.is_full

    def feed(self, chunk: bytes) -> None:
        """Take the next part."""
        self.chunks.append(chunk)
        self.waiting_bytes += len(chunk)
        self.received_bytes += len(chunk)
        self._wake()

    def finish(self) -> None:
        """Note that all parts have arrived."""
        self.complete = True
        self._wake()

    def abandon(self) -> None:
        """Note that the rest will not arrive."""
        self.cut = not self.complete
        self._wake()

    async def wait_settled(self) -> None:
        """Wait until the body is complete, cut or too long to hold."""
        while not self.settled:
            await self._wait()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts; those of a long body are dropped on the way.

        :raises BodyCut: when the sender has gone.
        """
        if not self.complete:
            self.replayable = False
        position = 0
        while True:
            while position < len(self.chunks):
                chunk = self.chunks[position]
                if self.replayable:
                    position += 1
                else:
                    self.chunks.pop(0)
                    self._release(chunk)
                yield chunk
            if self.complete:
                return
            if self.cut:
                raise BodyCut
            await self._wait()

    def _release(self, chunk: bytes) -> None:
        was_full = self.is_full
        self.waiting_bytes -= len(chunk)
        if was_full and not self.is_full and self.resume is not None:
            self.resume()

    async def _wait(self) -> None:
        if self.changed is None:
            self.changed = asyncio.Event()
        self.changed.clear()
        await self.changed.wait()

    def _wake(self) -> None:
        if self.changed is not None:
            self.changed.set()


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response of an upstream or of this host.

    :param headers: names as they were sent, in their order.
    :param fields: the last value of each header, by lower-case name.
    """

    status: int
    headers: list[Header] = dataclasses.field(default_factory=list)
    body: bytes = b''
    fields: dict[bytes, bytes] = dataclasses.field(default_factory=dict)

    def add(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.headers.append((name, text))
        self.fields[name.lower()] = text


def encode_headers(headers: Iterable[Header]) -> bytes:
    """Return header lines, without the empty line that ends a head."""
    return b''.join(
        b'%b: %b\r\n' % (name, text)
        for name, text in headers  # noqa: WPS323
    )


def response_head(
    response: Response,
    *,
    closes: bool,
    keep_alive_s: int,
) -> bytes:
    """Return the bytes of a response up to its body.

    :param closes: the connection ends with this response.
    :param keep_alive_s: stated idle time of the connection, in seconds.
    """
    phrase = _phrase(response.status)
    forwarded = [
        header
        for header in response.headers
        if header[0].lower() not in CONNECTION_HEADERS
    ]
    options = [(b'Connection', b'close')]
    if not closes:
        options = [(b'Keep-Alive', b'timeout=%d' % keep_alive_s)]
    size = (b'Content-Length', b'%d' % len(response.body))
    return b''.join(
        (
            b'HTTP/1.1 %d %b\r\n' % (response.status, phrase),
            encode_headers(forwarded),
            encode_headers((size, *options)),
            LINE_END,
        )
    )


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
