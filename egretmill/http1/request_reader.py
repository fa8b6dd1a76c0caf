"""Turns the bytes of a caller into requests."""

from typing import Protocol

import httptools

from egretmill.http1.messages import RequestHead

__all__ = ('HTTP_HEADERS_TOO_LARGE', 'RequestReader', 'RequestSink')

HTTP_BAD_REQUEST = 400
HTTP_HEADERS_TOO_LARGE = 431


class RequestSink(Protocol):
    """What takes the requests of one connection."""

    def head_begun(self) -> None:
        """Note the first byte of a head."""
        raise NotImplementedError

    def head_ended(self, head: RequestHead, *, keep_alive: bool) -> None:
        """Take a complete head."""
        raise NotImplementedError

    def body_part(self, chunk: bytes) -> None:
        """Take a part of the body."""
        raise NotImplementedError

    def request_ended(self) -> None:
        """Note the end of a request."""
        raise NotImplementedError

    def reject(self, status: int, reason: str) -> None:
        """End the connection: what follows cannot be read."""
        raise NotImplementedError


class RequestReader:
    """Callbacks of the parser for one connection.

    :param head_limit: longest head in bytes; set before each head.
    """

    def __init__(self, sink: RequestSink) -> None:
        """Pass requests to a sink."""
        self.sink = sink
        self.parser = httptools.HttpRequestParser(self)
        self.head = RequestHead()
        self.head_bytes = 0
        self.head_limit = 0
        self.reading_head = False

    def feed(self, data: bytes) -> None:
        """Parse what has arrived."""
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
        self.sink.head_begun()

    def on_url(self, target: bytes) -> None:
        """Take (a part of) the target."""
        self.head.target += target
        self._count(len(target))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.head.add(name, text)
        self._count(len(name) + len(text))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        self.reading_head = False
        self.head.method = self.parser.get_method()
        keep_alive = self.parser.should_keep_alive()
        self.sink.head_ended(self.head, keep_alive=keep_alive)

    def on_body(self, chunk: bytes) -> None:
        """Pass a part of the body on."""
        self.sink.body_part(chunk)

    def on_message_complete(self) -> None:
        """Pass the end of the request on."""
        self.sink.request_ended()

    def _count(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.head_limit:
            self.sink.reject(HTTP_HEADERS_TOO_LARGE, 'head too long')
