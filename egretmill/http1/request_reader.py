"""Parses the bytes that a caller sends into requests."""

from typing import Protocol

import httptools

from egretmill.http1.messages import RequestHead

__all__ = ('HTTP_HEADERS_TOO_LARGE', 'RequestReader', 'RequestSink')

HTTP_BAD_REQUEST = 400
HTTP_HEADERS_TOO_LARGE = 431


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


class RequestReader:
    """Parser of one connection's requests, with its callbacks.

    Trailers are dropped: they belong to no head.

    :param max_head_bytes: longest head; the sink sets it before each head.
    """

    def __init__(self, sink: RequestSink) -> None:
        """Create a parser that reports to a sink."""
        self.sink = sink
        self.parser = httptools.HttpRequestParser(self)
        self.head = RequestHead()
        self.head_bytes = 0
        self.max_head_bytes = 0
        self.reading_head = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.sink.reject(HTTP_BAD_REQUEST, 'protocol upgrade')
        except httptools.HttpParserError as error:
            self.sink.reject(HTTP_BAD_REQUEST, str(error))

    def on_message_begin(self) -> None:
        """Start a new head."""
        self.head = RequestHead()
        self.head_bytes = 0
        self.reading_head = True
        self.sink.head_started()

    def on_url(self, target: bytes) -> None:
        """Append to the request target, which can arrive in pieces."""
        self.head.target += target
        self._count_head_bytes(len(target))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header; drop a trailer."""
        if self.reading_head:
            self.head.add_header(name, text)
        self._count_head_bytes(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Report the head to the sink."""
        self.reading_head = False
        self.head.method = self.parser.get_method()
        keep_alive = self.parser.should_keep_alive()
        self.sink.head_received(self.head, keep_alive=keep_alive)

    def on_body(self, chunk: bytes) -> None:
        """Report a chunk of the body to the sink."""
        self.sink.body_chunk_received(chunk)

    def on_message_complete(self) -> None:
        """Report the end of the request to the sink."""
        self.sink.request_received()

    def _count_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.max_head_bytes:
            self.sink.reject(HTTP_HEADERS_TOO_LARGE, 'head too long')
