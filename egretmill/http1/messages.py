"""Request heads and responses."""

import dataclasses
import http
from collections.abc import Iterable

from egretmill.http1.buffers import HEADER_OVERHEAD_BYTES

__all__ = (
    'UNFORWARDED_HEADERS',
    'Header',
    'RequestHead',
    'Response',
    'encode_headers',
    'encode_response_head',
)

Header = tuple[bytes, bytes]

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


@dataclasses.dataclass(slots=True)
class RequestHead:
    """Method, target and headers of a request.

    :param headers: names as they were sent, in their order.
    :param fields: the last value of each header, by lower-case name.
    :param received_at: loop time at which the head was complete.
    :param kept_bytes: memory that target and headers take.
    """

    method: bytes = b''
    target: bytes = b''
    headers: list[Header] = dataclasses.field(default_factory=list)
    fields: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    received_at: float = 0
    kept_bytes: int = 0

    def add_target(self, part: bytes) -> None:
        """Append to the target."""
        self.target += part
        self.kept_bytes += len(part)

    def add_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self.kept_bytes += len(name) + len(text) + HEADER_OVERHEAD_BYTES
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
