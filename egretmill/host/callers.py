"""Open connections of callers, and which of them can be closed."""

import itertools
from collections.abc import Callable, Iterator

from egretmill.http1 import ServerConnection

__all__ = ('CallerConnections',)


class CallerConnections:
    """Open connections of callers, the oldest first.

    :param limit: number of connections for which there are descriptors.
    """

    def __init__(self, limit: int, now: Callable[[], float]) -> None:
        """Start without connections."""
        self.limit = limit
        self.now = now
        self.open: dict[ServerConnection, None] = {}
        #: Those without a request at work and since when, the longest first.
        self.idle: dict[ServerConnection, float] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self.open)

    def __iter__(self) -> Iterator[ServerConnection]:
        """Iterate over the connections."""
        return iter(self.open)

    @property
    def room(self) -> int:
        """Return how many more callers may connect."""
        return self.limit - len(self.open)

    def add(self, connection: ServerConnection) -> None:
        """Track a new connection, which is idle."""
        self.open[connection] = None
        self.idle[connection] = self.now()

    def remove(self, connection: ServerConnection) -> None:
        """Stop tracking a closed connection."""
        self.open.pop(connection, None)
        self.idle.pop(connection, None)

    def mark_busy(self, connection: ServerConnection) -> None:
        """Record that a request of the connection is at work."""
        self.idle.pop(connection, None)

    def mark_idle(self, connection: ServerConnection) -> None:
        """Record the end of a request; others may still be at work."""
        if connection in self.open and not connection.is_serving:
            self.idle[connection] = self.now()

    def close_idle(self, count: int, min_idle_s: float = 0) -> int:
        """Close idle connections; return how many were closed.

        :param count: how many to close at most.
        :param min_idle_s: how long they must have been idle, in seconds.
        """
        idle_since = self.now() - min_idle_s
        idle = (
            connection
            for connection, since in self.idle.items()
            if since <= idle_since and not connection.is_busy
        )
        closed = tuple(itertools.islice(idle, count))
        for connection in closed:
            connection.shut_down()
        return len(closed)
