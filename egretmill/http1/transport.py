"""Base class of HTTP connections: socket options and flow control."""

import array
import asyncio
import fcntl
import socket
import termios
from typing import Any

from egretmill import events
from egretmill.http1.usage import ConnectionUsage
from egretmill.logs import log_event

__all__ = ('ConnectionTransport',)

#: The kernel closes a connection whose sent bytes stay unacknowledged for
#: this time, in milliseconds. A receiver behind a network partition sends no
#: reset.
USER_TIMEOUT_MS = 5000


class ConnectionTransport(asyncio.Protocol):
    """Base of connections; ``transport`` is ``None`` unless connected."""

    def __init__(self, usage: ConnectionUsage | None = None) -> None:
        """Create the state of a connection that has no transport yet.

        :param usage: counts the connections of a kind.
        """
        self.loop = asyncio.get_running_loop()
        self.usage = usage or ConnectionUsage()
        self.transport: asyncio.Transport | None = None
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def is_closed(self) -> bool:
        """Return whether nothing can be sent, before or after connecting."""
        return self.transport is None or self.transport.is_closing()

    @property
    def unread_bytes(self) -> int:
        """Return what the kernel holds while reading is paused."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return 0
        if transport.is_reading():
            return 0
        sock = transport.get_extra_info('socket')
        return 0 if sock is None else count_unread(sock)

    def connection_made(self, transport: Any) -> None:
        """Set the socket options."""
        self.transport = transport
        self.usage.open_connections += 1
        sock = transport.get_extra_info('socket')
        if sock is None:
            return
        level = socket.IPPROTO_TCP
        sock.setsockopt(level, socket.TCP_NODELAY, 1)
        sock.setsockopt(level, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        self.transport = None
        self.usage.open_connections -= 1

    def data_received(self, data: bytes) -> None:
        """Count received bytes."""
        self.usage.received_bytes += len(data)

    def pause_writing(self) -> None:
        """Record that the send buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Record that the send buffer has room again."""
        self.writable.set()

    def write(self, content: bytes) -> None:
        """Send bytes; discard them if the connection has ended."""
        if self.transport is not None:
            self.usage.sent_bytes += len(content)
            self.transport.write(content)

    def close(self) -> None:
        """Close the connection after sending the buffered bytes."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def set_reading(self, *, enabled: bool) -> None:
        """Resume or pause reading."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if enabled and not transport.is_reading():
            transport.resume_reading()
        elif not enabled and transport.is_reading():
            transport.pause_reading()


def count_unread(sock: socket.socket) -> int:
    """Return how many received bytes of a socket have not been read."""
    count = array.array('i', (0,))
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    except OSError as error:
        log_event(events.CATALOGUE.UNREAD_UNKNOWN, error=str(error))
        return 0
    return count[0]
