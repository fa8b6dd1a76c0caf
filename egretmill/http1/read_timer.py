"""Time limits of what a caller sends on a connection."""

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from egretmill.http1.server import ServerConnection

__all__ = ('ReadTimer',)

#: Shortest time between two timeout checks of a connection, in seconds.
MIN_CHECK_INTERVAL_S = 1.0
HTTP_REQUEST_TIMEOUT = 408


class ReadTimer:
    """Times out slow request heads and idle connections.

    The timer is not rescheduled for each request; when it fires early, it
    waits for the time that remains.
    """

    def __init__(self, connection: 'ServerConnection') -> None:
        """Create the timer of a connection; :meth:`arm` starts it."""
        self.connection = connection
        self.loop = connection.loop
        self.started_at = self.loop.time()
        self.timer_handle: asyncio.TimerHandle | None = None

    def arm(self, limit_s: float) -> None:
        """Restart the timeout."""
        self.started_at = self.loop.time()
        if self.timer_handle is None:
            self.timer_handle = self.loop.call_later(
                limit_s, self.check_timeout
            )

    def cancel(self) -> None:
        """Cancel the timer."""
        if self.timer_handle is not None:
            self.timer_handle.cancel()

    def check_timeout(self) -> None:
        """Close the connection if its timeout has passed."""
        self.timer_handle = None
        connection = self.connection
        if connection.transport is None:
            return
        reading = connection.reader.reading_head
        limits = connection.handler.limits
        limit_s = limits.header_s if reading else limits.idle_s
        remaining_s = self.started_at + limit_s - self.loop.time()
        if remaining_s > 0 or connection.is_serving:
            wait_s = max(remaining_s, MIN_CHECK_INTERVAL_S)
            self.timer_handle = self.loop.call_later(wait_s, self.check_timeout)
        elif reading:
            connection.reject(HTTP_REQUEST_TIMEOUT, 'head came too slowly')
        else:
            connection.shut_down()
