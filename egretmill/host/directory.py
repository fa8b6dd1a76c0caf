"""Which entry hosts a caller should use."""

import dataclasses
from collections.abc import Iterator, Sequence

from egretmill.host.state import HostState

__all__ = ('CACHE_S', 'EntryHost', 'choose_hosts', 'entry_hosts')

#: Callers keep an answer for this time; bounds how long they use a host that
#: has gone, against one look-up per caller and time.
CACHE_S = 2.0
#: Most hosts that an answer names.
MOST_HOSTS = 64
#: Hosts of a failure domain that are enough for its callers: one that is
#: lost leaves another until the next look-up.
ENOUGH_HOSTS = 2
#: Room of a small host as a part of the largest one's: with less, an even
#: spread fills it while the others are at a quarter of their load.
LEAST_PART = 0.25
#: Part of all room that the large hosts must hold to take all callers.
MOST_PART = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """A host that takes callers, with its place.

    :param room: requests per second that it bears.
    """

    address: str
    failure_domain: str
    region: str
    room: float = 1


def choose_hosts(
    hosts: Sequence[EntryHost],
    region: str,
    domain: str,
) -> tuple[str, ...]:
    """Choose among the ready hosts for a caller at a place.

    The large hosts of its failure domain, if they are enough; those of its
    region, because a host elsewhere must not get what has its home there;
    all hosts when the region has none.
    """
    same_region = [row for row in hosts if row.region == region]
    for chosen in _places(same_region, domain):
        if len(chosen) >= ENOUGH_HOSTS:
            return _addresses(chosen)
    return _addresses(same_region or hosts)


def _places(
    same_region: Sequence[EntryHost],
    domain: str,
) -> Iterator[Sequence[EntryHost]]:
    """Yield the hosts to name, the best choice first."""
    large = large_hosts(same_region)
    yield [row for row in large if row.failure_domain == domain]
    if len(large) < len(same_region):
        yield large
    yield [row for row in same_region if row.failure_domain == domain]


def large_hosts(hosts: Sequence[EntryHost]) -> Sequence[EntryHost]:
    """Return the hosts that callers may be spread over evenly.

    A caller takes one of the named hosts at random, so one that is far
    smaller than the others would be full first. Small ones stay when the
    others do not hold most of the room.
    """
    largest = max((row.room for row in hosts), default=0)
    large = [row for row in hosts if row.room >= largest * LEAST_PART]
    total = sum(row.room for row in hosts)
    if sum(row.room for row in large) < total * MOST_PART:
        return hosts
    return large


def _addresses(hosts: Sequence[EntryHost]) -> tuple[str, ...]:
    return tuple(sorted(row.address for row in hosts)[:MOST_HOSTS])


def entry_hosts(
    state: HostState,
    region: str,
    domain: str,
) -> tuple[str, ...]:
    """Return the entry hosts for a caller; this host if no other is known."""
    now = state.now()
    hosts = [
        EntryHost(
            peer.beat.entry,
            peer.beat.failure_domain,
            peer.beat.region,
            peer.beat.room,
        )
        for peer in state.peers.alive(now)
        if peer.beat is not None and peer.beat.ready
    ]
    settings = state.settings
    if state.ready or not hosts:
        own = EntryHost(
            str(settings.entry),
            settings.failure_domain,
            settings.region,
            settings.capacity.room,
        )
        hosts.append(own)
    return choose_hosts(hosts, region, domain)
