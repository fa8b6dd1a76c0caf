"""Changes of upstreams that a designated reader sends to the other hosts."""

import dataclasses
from collections.abc import Callable, Iterator

from egretmill.fleet.upstreams import Upstream
from egretmill.peers.datagrams import RemovedUpstream, UpstreamChanges

__all__ = ('ChangeBuffer',)

#: Keeps a datagram below the usual packet size of 1,500 bytes.
MAX_RECORDS_PER_DATAGRAM = 5
#: With more changes, as at the first read, nothing is sent: the other hosts
#: read the store themselves.
MAX_CHANGES = 60


def never_read() -> int:
    """Return the store version before the first read."""
    return 0


@dataclasses.dataclass(slots=True)
class ChangeBuffer:
    """Collects changes until they are sent.

    :param version: returns the store version that was last read.
    """

    host: str
    version: Callable[[], int] = never_read
    changed: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    removed: dict[str, RemovedUpstream] = dataclasses.field(
        default_factory=dict
    )

    def add_changed(self, upstream: Upstream) -> None:
        """Add a changed or new upstream."""
        self.removed.pop(upstream.name, None)
        self.changed[upstream.name] = upstream

    def add_removed(self, upstream: Upstream, version: int) -> None:
        """Add an upstream that is no longer registered.

        :param version: store version as of which it is not.
        """
        self.changed.pop(upstream.name, None)
        self.removed[upstream.name] = RemovedUpstream(
            upstream.name, upstream.incarnation, version, upstream.beat
        )

    def discard(self, name: str) -> None:
        """Discard the change of an upstream, which another host has sent."""
        self.changed.pop(name, None)
        self.removed.pop(name, None)

    def clear(self) -> None:
        """Discard the collected changes, which another host sends."""
        self.changed.clear()
        self.removed.clear()

    def drain(self) -> Iterator[UpstreamChanges]:
        """Yield the collected changes as messages and empty the buffer."""
        changed = tuple(self.changed.values())
        removed = tuple(self.removed.values())
        self.clear()
        if len(changed) + len(removed) > MAX_CHANGES:
            return
        version = self.version()
        for start in range(0, len(changed), MAX_RECORDS_PER_DATAGRAM):
            batch = changed[start : start + MAX_RECORDS_PER_DATAGRAM]
            yield UpstreamChanges(self.host, version, list(batch))
        if removed:
            yield UpstreamChanges(self.host, version, [], list(removed))

    def is_newer(self, changes: UpstreamChanges) -> bool:
        """Return whether changes are newer than what was read here."""
        return changes.version > self.version()

    def is_newer_record(self, record: Upstream | RemovedUpstream) -> bool:
        """Return whether a record is newer than what was read here.

        A message after an outage of its sender holds older records as well.
        """
        return not record.version or record.version > self.version()
