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
        #: Those without an unanswered request and since when, the longest
        #: first.
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

    @property
    def has_unused(self) -> bool:
        """Return whether there is a connection without an awaited answer."""
        return any(not connection.queue for connection in self.open)

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
        """Record the answer to a request; others may still be at work.

        The rest of an answered request can still arrive.
        """
        if connection in self.open and not connection.queue:
            self.idle.pop(connection, None)
            self.idle[connection] = self.now()

    def close_idle(
        self,
        count: int,
        min_idle_s: float = 0,
        *,
        includes_receiving: bool = False,
    ) -> int:
        """Close idle connections; return how many were closed.

        :param count: how many to close at most.
        :param min_idle_s: how long they must have been idle, in seconds.
        :param includes_receiving: if these do not suffice, close those that
            are idle but for a part of a request whose answer is not awaited: a
            head without its end, or the rest of an answered request.
        """
        idle_since = self.now() - min_idle_s
        unused = self._unused_since(idle_since, receiving=False)
        if includes_receiving:
            receiving = self._unused_since(idle_since, receiving=True)
            unused = itertools.chain(unused, receiving)
        closed = tuple(itertools.islice(unused, count))
        for connection in closed:
            connection.give_up()
        return len(closed)

    def _unused_since(
        self, idle_since: float, *, receiving: bool
    ) -> Iterator[ServerConnection]:
        """Yield open connections without an unanswered request."""
        for connection, since in self.idle.items():
            if since > idle_since or connection.is_closed or connection.queue:
                continue
            if connection.is_busy == receiving:
                yield connection
