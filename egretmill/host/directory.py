"""Which entry hosts a caller should use."""

import dataclasses
from collections.abc import Sequence

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


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """A host that takes callers, with its place."""

    address: str
    failure_domain: str
    region: str


def choose_hosts(
    hosts: Sequence[EntryHost],
    region: str,
    domain: str,
) -> tuple[str, ...]:
    """Choose among the ready hosts for a caller at a place.

    The hosts of its failure domain, if they are enough; those of its
    region, because a host elsewhere must not get what has its home there;
    all hosts when the region has none.
    """
    same_domain = [row for row in hosts if row.failure_domain == domain]
    same_region = [row for row in hosts if row.region == region]
    chosen = same_region or hosts
    if len(same_domain) >= ENOUGH_HOSTS:
        chosen = same_domain
    return tuple(sorted(row.address for row in chosen)[:MOST_HOSTS])


def entry_hosts(
    state: HostState,
    region: str,
    domain: str,
) -> tuple[str, ...]:
    """Return the entry hosts for a caller; this host if no other is known."""
    now = state.now()
    hosts = [
        EntryHost(peer.beat.entry, peer.beat.failure_domain, peer.beat.region)
        for peer in state.peers.alive(now)
        if peer.beat is not None and peer.beat.ready
    ]
    settings = state.settings
    if state.ready or not hosts:
        own = EntryHost(
            str(settings.entry),
            settings.failure_domain,
            settings.region,
        )
        hosts.append(own)
    return choose_hosts(hosts, region, domain)
