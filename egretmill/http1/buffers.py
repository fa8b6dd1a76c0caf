"""Bounds the memory that connections keep, in all and for one caller."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

__all__ = (
    'HEADER_OVERHEAD_BYTES',
    'BufferBudget',
    'CallerMemory',
    'Eviction',
)

#: Memory that a header takes beside its bytes: its objects and their places in
#: list and dictionary.
HEADER_OVERHEAD_BYTES = 400
#: Responses of all connections that are buffered at the same time.
BUFFER_LIMIT_BYTES = 64 << 20
#: What callers' connections may keep together.
CALLER_LIMIT_BYTES = 64 << 20
#: Connections are ended until this fraction of the limit is left, so that the
#: search for them is rare.
EVICTED_TO_FRACTION = 0.9
#: Time between two counts of what connections keep, in seconds.
COUNT_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True)
class BufferBudget:
    """Limits the bytes that all connections of a kind buffer together."""

    limit_bytes: int = BUFFER_LIMIT_BYTES
    used_bytes: int = 0

    def try_add(self, size: int) -> bool:
        """Count buffered bytes; return whether the limit allows them."""
        if self.used_bytes + size > self.limit_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Count bytes as no longer buffered."""
        self.used_bytes -= size


class MemoryUser(Protocol):
    """A connection of a caller."""

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the connection keeps now."""
        raise NotImplementedError

    def release_memory(self) -> None:
        """End what the connection keeps; it may be closed."""
        raise NotImplementedError


@dataclasses.dataclass(frozen=True, slots=True)
class Eviction:
    """Connections that were ended because all kept too much.

    :param before_bytes: what all connections kept before.
    :param after_bytes: what they keep now.
    """

    connections: int
    before_bytes: int
    after_bytes: int


def ignore_eviction(eviction: Eviction) -> None:
    """Ignore an eviction."""


class CallerMemory:
    """Limits what the connections of all callers keep together.

    If that is too much, those that keep the most are ended: the requests of
    other callers are small.

    :param on_evicted: called after connections were ended.
    """

    def __init__(
        self,
        limit_bytes: int = CALLER_LIMIT_BYTES,
        on_evicted: Callable[[Eviction], None] = ignore_eviction,
    ) -> None:
        """Start without connections."""
        self.limit_bytes = limit_bytes
        self.on_evicted = on_evicted
        self.used_bytes = 0
        #: What each connection keeps, as last recorded.
        self.recorded: dict[MemoryUser, int] = {}
        self.is_evicting = False

    def record(self, connection: MemoryUser, kept_bytes: int) -> None:
        """Record what a connection keeps; end others if it is too much."""
        before = self.recorded.get(connection, 0)
        if kept_bytes == before:
            return
        self.used_bytes += kept_bytes - before
        if kept_bytes:
            self.recorded[connection] = kept_bytes
        else:
            del self.recorded[connection]
        if self.used_bytes > self.limit_bytes and not self.is_evicting:
            self.is_evicting = True
            try:
                self._evict()
            finally:
                self.is_evicting = False

    def refresh(self) -> None:
        """Record again what each connection keeps.

        Meanwhile, answers may have been sent, and the kernel may have received
        bytes of connections that are not read.
        """
        for connection in tuple(self.recorded):
            self.record(connection, connection.kept_bytes)

    async def keep_counting(self) -> None:
        """Refresh the records now and then, until cancelled."""
        while True:
            await asyncio.sleep(COUNT_INTERVAL_S)
            self.refresh()

    def _evict(self) -> None:
        """End connections, the largest first."""
        self.refresh()
        before_bytes = self.used_bytes
        if before_bytes <= self.limit_bytes:
            return
        allowed = self.limit_bytes * EVICTED_TO_FRACTION
        by_size = sorted(
            self.recorded.items(), key=lambda row: row[1], reverse=True
        )
        ended = 0
        for connection, _ in by_size:
            if self.used_bytes <= allowed:
                break
            connection.release_memory()
            self.record(connection, connection.kept_bytes)
            ended += 1
        self.on_evicted(Eviction(ended, before_bytes, self.used_bytes))
