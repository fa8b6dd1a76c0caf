"""Parses the bytes that an upstream sends into responses."""

from typing import Protocol

import httptools

from egretmill.http1.buffers import (
    HEADER_OVERHEAD_BYTES,
    BufferBudget,
)
from egretmill.http1.messages import Response

__all__ = ('MAX_HEADERS', 'ResponseReader', 'ResponseSink')

#: Longest response body; responses are buffered in memory.
RESPONSE_LIMIT_BYTES = 16 << 20
#: Longest head of a response, with the interim responses before it. The same
#: holds for the trailers, and for chunk framing without a byte of the body.
HEAD_LIMIT_BYTES = 64 << 10
#: Headers of one response, its trailers included.
MAX_HEADERS = 256
#: Bytes of chunk framing that are accepted for each byte of a body, since
#: chunks of one byte are valid.
CHUNK_OVERHEAD_RATIO = 8
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
BODILESS_STATUSES = frozenset((204, 304))


class ResponseSink(Protocol):
    """Receives the parsed responses of one connection."""

    def response_received(self, response: Response) -> None:
        """Handle a complete response."""
        raise NotImplementedError

    def response_rejected(self, detail: str) -> None:
        """Handle a response that is malformed or too long."""
        raise NotImplementedError


class RejectedResponseError(Exception):
    """A response is no valid answer, or exceeds a limit."""


class ResponseReader:
    """Parser of the responses to one call, with its callbacks.

    All that is kept of a response counts in the budget, whether it is complete
    or not. Trailers are dropped.

    :param budget: buffered bytes of all connections.
    :param bodiless: the response has no body, whatever its headers say.
    :param reads_until_close: the body ends when the connection is closed.
    :param reusable: the connection can carry another call.
    """

    def __init__(
        self, sink: ResponseSink, budget: BufferBudget, *, bodiless: bool
    ) -> None:
        """Create a parser that reports to a sink."""
        self.sink = sink
        self.budget = budget
        self.bodiless = bodiless
        self.parser = httptools.HttpResponseParser(self)
        self.response = Response(0)
        self.body = bytearray()
        #: Headers and trailers of the response so far.
        self.header_count = 0
        self.header_bytes = 0
        #: Bytes of heads, chunk framing and trailers, and those of them that
        #: have arrived since the last byte of a body.
        self.framing_bytes = 0
        self.unbroken_framing_bytes = 0
        self.is_head_complete = False
        #: Bytes that are counted in the budget.
        self.counted_bytes = 0
        self.reads_until_close = False
        self.reusable = True

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        The parser itself accepts heads, chunk extensions and trailers of any
        length.
        """
        self.framing_bytes += len(data)
        self.unbroken_framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.sink.response_rejected('protocol upgrade')
        except httptools.HttpParserCallbackError as error:
            self.sink.response_rejected(str(error.__context__ or error))
        except httptools.HttpParserError as error:
            self.sink.response_rejected(str(error))
        allowed = HEAD_LIMIT_BYTES + CHUNK_OVERHEAD_RATIO * len(self.body)
        if (
            self.framing_bytes > allowed
            or self.unbroken_framing_bytes > HEAD_LIMIT_BYTES
        ):
            self.sink.response_rejected('head or framing too long')
        elif not self._count_kept_bytes():
            self.sink.response_rejected('too many buffered responses')

    def close(self) -> None:
        """Drop a response that will not be completed."""
        self.budget.release(self.counted_bytes)
        self.counted_bytes = 0
        self.header_count = 0
        self.header_bytes = 0
        self.body = bytearray()
        self.response = Response(0)

    def connection_closed(self) -> None:
        """End a response whose body extends to the close."""
        if self.reads_until_close:
            self._deliver()

    def on_message_begin(self) -> None:
        """Start a new response."""
        self.close()
        self.is_head_complete = False
        self.reads_until_close = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header, up to the limit; drop a trailer.

        :raises RejectedResponseError: when there are too many.
        """
        self.header_count += 1
        if self.header_count > MAX_HEADERS:
            raise RejectedResponseError('too many headers')
        if not self.is_head_complete:
            self.header_bytes += len(name) + len(text) + HEADER_OVERHEAD_BYTES
            self.response.add_header(name, text)

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is recognized.

        :raises RejectedResponseError: when the status is none of HTTP.
        """
        self.is_head_complete = True
        self.response.status = self.parser.get_status_code()
        if not FIRST_STATUS <= self.response.status <= LAST_STATUS:
            raise RejectedResponseError(f'status {self.response.status}')
        if self.response.status < FIRST_FINAL_STATUS:
            return
        fields = self.response.fields
        has_framing_header = (
            b'content-length' in fields or b'transfer-encoding' in fields
        )
        if self.bodiless:
            # The parser would wait for the body that the headers announce.
            self.reusable = False
            self._deliver()
        elif (
            not has_framing_header
            and self.response.status not in BODILESS_STATUSES
        ):
            self.reusable = False
            self.reads_until_close = True

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk of the body, up to the limit.

        :raises RejectedResponseError: when the body is too long.
        """
        self.framing_bytes -= len(chunk)
        self.unbroken_framing_bytes = 0
        if len(self.body) + len(chunk) > RESPONSE_LIMIT_BYTES:
            raise RejectedResponseError('response too long')
        self.body += chunk

    def on_message_complete(self) -> None:
        """Deliver a final response; skip an interim one (1xx)."""
        if self.response.status < FIRST_FINAL_STATUS:
            return
        if not self.parser.should_keep_alive():
            self.reusable = False
        self._deliver()

    def _count_kept_bytes(self) -> bool:
        """Count what is kept now; return whether the budget allows it."""
        kept_bytes = (
            len(self.body) + self.header_bytes + self.unbroken_framing_bytes
        )
        added_bytes = kept_bytes - self.counted_bytes
        if not self.budget.try_add(added_bytes):
            return False
        self.counted_bytes = kept_bytes
        return True

    def _deliver(self) -> None:
        self.reads_until_close = False
        self.response.body = bytes(self.body)
        self.sink.response_received(self.response)
