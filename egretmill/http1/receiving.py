"""Base of connections from callers: received bytes, and how they are closed."""

import asyncio

from egretmill.http1.handling import RequestHandler
from egretmill.http1.request_reader import RequestReader, RequestSink
from egretmill.http1.transport import ConnectionTransport

__all__ = ('ReceivingConnection',)

#: Bytes that are received at once.
RECEIVE_BYTES = 64 << 10
#: Shared by all connections, as what is received is copied at once.
RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BYTES))
#: Time for a caller to read the answer to a request whose rest is not read
#: before its connection is closed, in seconds. Closing with unread bytes resets
#: the connection, and the answer could be lost.
LINGER_S = 1.0


class ReceivingConnection(
    ConnectionTransport, RequestSink, asyncio.BufferedProtocol
):
    """Parses received bytes in slices; reads no further ones meanwhile."""

    def __init__(self, handler: RequestHandler) -> None:
        """Receive the requests that a handler serves."""
        super().__init__(handler.usage)
        self.handler = handler
        self.reader = RequestReader(self)
        #: Received bytes that are not parsed yet.
        self.unparsed = b''
        #: Bytes are parsed now or wait for that.
        self.is_parsing = False
        #: No further request is taken.
        self.closing = False

    @property
    def has_room(self) -> bool:
        """Return whether another request, or more of one, can be taken."""
        raise NotImplementedError

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the connection keeps now."""
        raise NotImplementedError

    @property
    def can_parse(self) -> bool:
        """Return whether there are bytes to parse, and room for requests."""
        return bool(self.unparsed) and not self.closing and self.has_room

    @property
    def has_partial_head(self) -> bool:
        """Return whether a part of a further request has arrived."""
        return self.reader.reading_head or bool(self.unparsed)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for received bytes."""
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes from the buffer."""
        self.data_received(bytes(RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, unless the connection is closing."""
        super().data_received(data)
        if self.closing or self.transport is None:
            return
        self.unparsed += data
        self.resume_reading()

    def parse_slice(self) -> None:
        """Parse a small part of the received bytes."""
        size = self.reader.slice_bytes(self.unparsed)
        received = self.unparsed[:size]
        self.unparsed = self.unparsed[size:]
        try:
            self.reader.feed(received)
        except Exception:
            self.reset()
            raise
        self.handler.memory.record(self, self.kept_bytes)

    def input_parsed(self) -> None:
        """Read on, unless there is no room for further requests."""
        self.is_parsing = False
        if self.is_closed:
            return
        if self.closing:
            self.unparsed = b''
        self.handler.memory.record(self, self.kept_bytes)
        can_read = self.closing or (not self.unparsed and self.has_room)
        self.set_reading(enabled=can_read)

    def resume_reading(self) -> None:
        """Parse and read on if there is room for further requests."""
        if self.is_parsing or self.is_closed:
            return
        if not self.can_parse:
            self.input_parsed()
            return
        self.is_parsing = True
        self.handler.intake.parse(self)
        if self.is_parsing:
            self.set_reading(enabled=False)

    def pause_writing(self) -> None:
        """Pause reading while the caller does not read its answers."""
        super().pause_writing()
        self.set_reading(enabled=False)

    def resume_writing(self) -> None:
        """Resume reading when the caller reads its answers again."""
        super().resume_writing()
        self.resume_reading()

    def give_up(self) -> None:
        """Close the connection without waiting for its caller."""
        self.closing = True
        if self.writable.is_set():
            self.close()
        else:
            self.reset()

    def cut_input(self) -> None:
        """Take no further request, and no more of the current one."""
        self.closing = True
        self.unparsed = b''
        self.reader.close()

    def linger(self) -> None:
        """Close soon; drop what the caller sends until then."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write_eof()
        self.set_reading(enabled=True)
        self.loop.call_later(LINGER_S, self.give_up)
