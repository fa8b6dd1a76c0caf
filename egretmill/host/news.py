"""Changes of the list of upstreams that a host on duty passes on."""

import dataclasses
from collections.abc import Callable, Iterator

from egretmill.fleet.upstreams import Upstream
from egretmill.peers.beat import Gone, UpstreamNews

__all__ = ('NewsDesk',)

#: Records of one datagram; it stays below the usual 1,500 bytes of a packet.
MOST_RECORDS = 5
#: With more changes, as at the first read, others read the store themselves.
MOST_CHANGES = 60


def no_version() -> int:
    """Return the version of a list that was never read."""
    return 0


@dataclasses.dataclass(slots=True)
class NewsDesk:
    """Collects changes until they are sent.

    :param version: tells the version of the store that was read last.
    """

    host: str
    version: Callable[[], int] = no_version
    changed: dict[str, Upstream] = dataclasses.field(default_factory=dict)
    gone: dict[str, Gone] = dataclasses.field(default_factory=dict)

    def put(self, upstream: Upstream) -> None:
        """Note a changed record."""
        self.gone.pop(upstream.name, None)
        self.changed[upstream.name] = upstream

    def drop(self, upstream: Upstream) -> None:
        """Note an upstream that is not registered any more."""
        self.changed.pop(upstream.name, None)
        self.gone[upstream.name] = Gone(upstream.name, upstream.incarnation)

    def forget(self) -> None:
        """Drop what was collected; another host passes it on."""
        self.changed.clear()
        self.gone.clear()

    def take(self) -> Iterator[UpstreamNews]:
        """Yield what was collected, in datagrams."""
        changed = tuple(self.changed.values())
        gone = tuple(self.gone.values())
        self.forget()
        if len(changed) + len(gone) > MOST_CHANGES:
            return
        version = self.version()
        for start in range(0, len(changed), MOST_RECORDS):
            batch = changed[start : start + MOST_RECORDS]
            yield UpstreamNews(self.host, version, list(batch))
        if gone:
            yield UpstreamNews(self.host, version, [], list(gone))

    def is_new(self, news: UpstreamNews) -> bool:
        """Tell whether news are younger than what was read here."""
        return news.version > self.version()
