"""Idle connections to one peer, which are kept for further calls."""

import collections

from egretmill.http1.client import ClientConnection

__all__ = ('IdleConnections',)

#: A connection is reused until this time before the idle timeout that the
#: peer states, in seconds.
IDLE_TIMEOUT_MARGIN_S = 1.0


class IdleConnections:
    """Connections to one peer that carry no call, the last used one last.

    :param limit: number of connections that are kept.
    """

    def __init__(self, limit: int) -> None:
        """Start without connections."""
        self.limit = limit
        self.connections: collections.deque[ClientConnection] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self.connections)

    def take(self, now: float, max_idle_s: float) -> ClientConnection | None:
        """Return a connection that can carry a call; drop unusable ones.

        :param max_idle_s: longest idle time of a reused connection.
        """
        while self.connections:
            connection = self.connections.pop()
            if not connection.is_usable:
                continue
            if _is_reusable(connection, now, max_idle_s):
                return connection
            connection.abort()
        return None

    def put(self, connection: ClientConnection) -> None:
        """Keep a connection after a call, unless it has been closed."""
        if not connection.is_usable:
            return
        self.connections.append(connection)
        if len(self.connections) > self.limit:
            self.connections.popleft().abort()

    def close_unused_since(self, sent_at: float) -> None:
        """Close the connections that have carried nothing since a time.

        A call that was sent then got no answer, so the path of these may be
        broken as well; each would cost another call its time limit.
        """
        current = tuple(self.connections)
        self.connections.clear()
        for connection in current:
            if connection.idle_since < sent_at:
                connection.abort()
            else:
                self.connections.append(connection)

    def close(self) -> None:
        """Close all connections."""
        while self.connections:
            self.connections.pop().abort()


def _is_reusable(
    connection: ClientConnection,
    now: float,
    max_idle_s: float,
) -> bool:
    idle_s = now - connection.idle_since
    if connection.keep_alive_s is not None:
        max_idle_s = min(
            max_idle_s, connection.keep_alive_s - IDLE_TIMEOUT_MARGIN_S
        )
    return idle_s <= max_idle_s
