"""Counts open connections and the bytes that pass through them."""

import dataclasses

__all__ = ('ConnectionUsage',)


@dataclasses.dataclass(slots=True)
class ConnectionUsage:
    """Connections of one kind, and their bytes since the start.

    :param open_connections: connections that are open now.
    """

    open_connections: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0
