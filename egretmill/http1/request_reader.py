"""Parses the bytes that a caller sends into requests."""

from typing import Protocol

import httptools

from egretmill.decoding import parse_count
from egretmill.http1.messages import RequestHead

__all__ = ('RequestReader', 'RequestSink')

HTTP_BAD_REQUEST = 400
HTTP_HEADERS_TOO_LARGE = 431
#: Bytes that are parsed at once, except in a body of known length. Limits are
#: checked in between: the parser itself accepts lines of any length.
SLICE_BYTES = 4096
EMPTY_LINE = b'\r\n\r\n'
#: Bytes of a header line beside name and value: colon and line end.
LINE_FRAMING_BYTES = 3


class RequestSink(Protocol):
    """Receives the parsed requests of one connection."""

    def head_started(self) -> None:
        """Handle the start of a request head."""
        raise NotImplementedError

    def head_received(self, head: RequestHead, *, keep_alive: bool) -> None:
        """Handle a complete request head."""
        raise NotImplementedError

    def body_chunk_received(self, chunk: bytes) -> None:
        """Handle a chunk of the request body."""
        raise NotImplementedError

    def request_received(self) -> None:
        """Handle the end of a request."""
        raise NotImplementedError

    def reject(self, status: int, reason: str) -> None:
        """Answer an unreadable request and close the connection."""
        raise NotImplementedError


class HeadTooLongError(Exception):
    """The header lines of a request are longer than allowed."""


class RequestReader:
    """Parser of one connection's requests, with its callbacks.

    Trailers are dropped: they belong to no head.

    :param max_head_bytes: longest head; the sink sets it before each head. The
        same holds for the trailers, and for chunk framing without a byte of
        the body.
    """

    def __init__(self, sink: RequestSink) -> None:
        """Create a parser that reports to a sink."""
        self.sink = sink
        self.parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self.head = RequestHead()
        self.head_bytes = 0
        self.max_head_bytes = 0
        self.reading_head = False
        #: Bytes of the body that are still due; ``None`` if that is not known.
        self.due_bytes: int | None = None
        #: Parts of the body in the current slice.
        self.body_parts: list[bytes] = []
        #: Bytes that belong to no body, since the last byte of a body.
        self.unbroken_framing_bytes = 0

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the request being read takes here."""
        line_bytes = min(
            self.unbroken_framing_bytes, self.max_head_bytes + SLICE_BYTES
        )
        if self.reading_head:
            return self.head.kept_bytes + line_bytes
        return line_bytes

    def slice_bytes(self, received: bytes) -> int:
        """Return how many of the received bytes to parse at once.

        A slice ends behind the first empty line, so that it holds no further
        request: heads and chunked bodies end with one.
        """
        if self.due_bytes:
            return min(len(received), self.due_bytes)
        end = received.find(EMPTY_LINE, 0, SLICE_BYTES)
        if end >= 0:
            return end + len(EMPTY_LINE)
        return min(len(received), SLICE_BYTES)

    def close(self) -> None:
        """Drop what is kept; nothing can be parsed any more.

        Parser and reader refer to each other, so that they would stay until
        the next garbage collection.
        """
        self.parser = None
        self.head = RequestHead()
        self.body_parts.clear()
        self.reading_head = False
        self.unbroken_framing_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        if self.parser is None:
            return
        self.unbroken_framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.sink.reject(HTTP_BAD_REQUEST, 'protocol upgrade')
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, HeadTooLongError):
                self.sink.reject(HTTP_HEADERS_TOO_LARGE, 'head too long')
            else:
                self.sink.reject(HTTP_BAD_REQUEST, str(error))
        except httptools.HttpParserError as error:
            self.sink.reject(HTTP_BAD_REQUEST, str(error))
        if self.parser is None:
            # Closed by a callback; the parser went on to the end of the slice.
            self.close()
            return
        self._report_body()
        self._check_framing()

    def on_message_begin(self) -> None:
        """Start a new head."""
        self.head = RequestHead()
        self.head_bytes = 0
        self.unbroken_framing_bytes = 0
        self.reading_head = True
        self.sink.head_started()

    def on_url(self, target: bytes) -> None:
        """Append to the request target, which can arrive in pieces."""
        self.head.add_target(target)
        self._count_head_bytes(len(target))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header; drop a trailer."""
        self._count_head_bytes(len(name) + len(text) + LINE_FRAMING_BYTES)
        if self.reading_head:
            self.head.add_header(name, text)

    def on_headers_complete(self) -> None:
        """Report the head to the sink."""
        self.reading_head = False
        self.head_bytes = 0
        self.unbroken_framing_bytes = 0
        if b'transfer-encoding' not in self.head.fields:
            length = self.head.fields.get(b'content-length', b'0')
            self.due_bytes = parse_count(length)
        parser = self.parser
        if parser is None:
            return
        self.head.method = parser.get_method()
        self.sink.head_received(
            self.head, keep_alive=parser.should_keep_alive()
        )

    def on_body(self, chunk: bytes) -> None:
        """Keep a chunk of the body up to the end of the slice."""
        self.body_parts.append(chunk)
        self.unbroken_framing_bytes = 0
        if self.due_bytes:
            self.due_bytes -= len(chunk)

    def on_message_complete(self) -> None:
        """Report the end of the request to the sink."""
        self._report_body()
        self.due_bytes = None
        self.unbroken_framing_bytes = 0
        self.sink.request_received()

    def _report_body(self) -> None:
        """Report the parts of the body as one chunk."""
        if not self.body_parts:
            return
        chunk = b''.join(self.body_parts)
        self.body_parts.clear()
        self.sink.body_chunk_received(chunk)

    def _count_head_bytes(self, size: int) -> None:
        """Count header lines, or those of the trailers.

        :raises HeadTooLongError: when there are too many.
        """
        self.head_bytes += size
        if self.head_bytes > self.max_head_bytes:
            raise HeadTooLongError

    def _check_framing(self) -> None:
        """Reject a request with too many bytes that belong to no body."""
        allowed_bytes = self.max_head_bytes + SLICE_BYTES
        if self.unbroken_framing_bytes > allowed_bytes:
            self.sink.reject(HTTP_HEADERS_TOO_LARGE, 'line too long')
