"""Turns the bytes of an upstream into responses."""

from typing import Protocol

import httptools

from egretmill.http1.messages import Response

__all__ = ('ResponseReader', 'ResponseSink')

#: Longest response that is held in memory.
RESPONSE_LIMIT_BYTES = 16 << 20
HTTP_FIRST_FINAL = 200
BODILESS = frozenset((204, 304))


class ResponseSink(Protocol):
    """What takes the responses of one connection."""

    def response_ended(self, response: Response) -> None:
        """Take a complete response."""
        raise NotImplementedError

    def malformed(self, detail: str) -> None:
        """Note bytes that are no acceptable response."""
        raise NotImplementedError


class ResponseReader:
    """Callbacks of the parser for one call.

    :param bodiless: the response has no body, whatever its head says.
    :param until_end: the body ends with the connection.
    :param reusable: another call may follow on the connection.
    """

    def __init__(self, sink: ResponseSink, *, bodiless: bool) -> None:
        """Pass responses to a sink."""
        self.sink = sink
        self.bodiless = bodiless
        self.parser = httptools.HttpResponseParser(self)
        self.response = Response(0)
        self.chunks: list[bytes] = []
        self.size = 0
        self.until_end = False
        self.reusable = True

    def feed(self, data: bytes) -> None:
        """Parse what has arrived."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.sink.malformed('protocol upgrade')
        except httptools.HttpParserError as error:
            self.sink.malformed(str(error))

    def connection_ended(self) -> None:
        """Take the end of the connection for the end of the body."""
        if self.until_end:
            self._pass_on()

    def on_message_begin(self) -> None:
        """Start a new response."""
        self.response = Response(0)
        self.chunks = []
        self.size = 0
        self.until_end = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self.response.add(name, text)

    def on_headers_complete(self) -> None:
        """Note how the response ends."""
        self.response.status = self.parser.get_status_code()
        if self.response.status < HTTP_FIRST_FINAL:
            return
        fields = self.response.fields
        framed = b'content-length' in fields or b'transfer-encoding' in fields
        if self.bodiless:
            # The parser would wait for the body that the head announces.
            self.reusable = False
            self._pass_on()
        elif not framed and self.response.status not in BODILESS:
            self.reusable = False
            self.until_end = True

    def on_body(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.size += len(chunk)
        if self.size > RESPONSE_LIMIT_BYTES:
            self.sink.malformed('response too long')
            return
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Pass a final response on; interim ones are skipped."""
        if self.response.status < HTTP_FIRST_FINAL:
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        self._pass_on()

    def _pass_on(self) -> None:
        self.until_end = False
        self.response.body = b''.join(self.chunks)
        self.sink.response_ended(self.response)
