"""Counts open connections and the bytes that pass through them."""

import dataclasses

__all__ = ('ConnectionUsage',)


@dataclasses.dataclass(slots=True)
class ConnectionUsage:
    """Connections of one kind, and their bytes since the start.

    :param open_connections: connections that are open now.
    :param opening: connections that are being opened; each has a descriptor.
    """

    open_connections: int = 0
    opening: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0

    @property
    def descriptors(self) -> int:
        """Return how many descriptors the connections have."""
        return self.open_connections + self.opening
