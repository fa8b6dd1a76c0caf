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
    """Times out slow requests and idle connections.

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
        handle = self.timer_handle
        if handle is not None and handle.when() > self.started_at + limit_s:
            handle.cancel()
            handle = None
        if handle is None:
            self.timer_handle = self.loop.call_later(
                limit_s, self.check_timeout
            )

    def arm_after_answer(self) -> None:
        """Restart the timeout unless further answers are due."""
        limits = self.connection.handler.limits
        if self.connection.awaits_rest:
            self.arm(limits.discard_s)
        elif not self.connection.is_serving:
            self.arm(limits.idle_s)

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
        limit_s = self._limit_s()
        wait_s = MIN_CHECK_INTERVAL_S
        if limit_s is not None:
            wait_s = self.started_at + limit_s - self.loop.time()
        if wait_s > 0:
            self.timer_handle = self.loop.call_later(
                max(wait_s, MIN_CHECK_INTERVAL_S), self.check_timeout
            )
        elif connection.reader.reading_head:
            connection.reject(HTTP_REQUEST_TIMEOUT, 'head came too slowly')
        else:
            connection.give_up()

    def _limit_s(self) -> float | None:
        """Return the limit in force; ``None`` while the caller waits."""
        connection = self.connection
        limits = connection.handler.limits
        if connection.awaits_rest:
            return limits.discard_s
        if connection.is_serving:
            return None
        if connection.reader.reading_head:
            return limits.header_s
        return limits.idle_s
