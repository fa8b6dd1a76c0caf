"""Transports of connections: options, reading, writing, closing."""

import asyncio
import socket
from typing import Any

__all__ = ('ConnectionTransport',)

#: Unacknowledged bytes end the connection after this time, in milliseconds;
#: a receiver behind a network partition sends no reset.
USER_TIMEOUT_MS = 5000


class ConnectionTransport(asyncio.Protocol):
    """Base of connections; ``transport`` is ``None`` once it has ended."""

    def __init__(self) -> None:
        """Wait for the transport."""
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def ended(self) -> bool:
        """Tell whether nothing can be sent any more."""
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: Any) -> None:
        """Set the options of the socket."""
        self.transport = transport
        connected = transport.get_extra_info('socket')
        if connected is None:
            return
        level = socket.IPPROTO_TCP
        connected.setsockopt(level, socket.TCP_NODELAY, 1)
        connected.setsockopt(level, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def pause_writing(self) -> None:
        """Note that the other side reads too slowly."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Note that the other side has caught up."""
        self.writable.set()

    def write(self, content: bytes) -> None:
        """Send bytes; they are dropped when the connection has ended."""
        if self.transport is not None:
            self.transport.write(content)

    def close(self) -> None:
        """Close the connection after what was written."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def set_reading(self, *, reads: bool) -> None:
        """Read on, or pause."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if reads and not transport.is_reading():
            transport.resume_reading()
        elif not reads and transport.is_reading():
            transport.pause_reading()
