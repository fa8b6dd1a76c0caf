"""Selects the entry hosts that a caller should use."""

import dataclasses
from collections.abc import Iterator, Sequence

from egretmill.host.capacity import find_large
from egretmill.host.state import HostState
from egretmill.peers.datagrams import Heartbeat

__all__ = ('DIRECTORY_CACHE_S', 'EntryHost', 'choose_hosts', 'entry_hosts')

#: Callers cache an answer for this time, in seconds. It bounds how long they
#: use a host that is down; a shorter time means more look-ups.
DIRECTORY_CACHE_S = 2.0
#: Hosts in one answer.
MAX_HOSTS = 64
#: Hosts that suffice for the callers of a failure domain: if one is lost, the
#: other remains until the next look-up.
MIN_HOSTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """A host that accepts callers, with its location.

    :param capacity_per_s: capacity in requests per second.
    """

    address: str
    failure_domain: str
    region: str
    capacity_per_s: float = 1


def choose_hosts(
    hosts: Sequence[EntryHost],
    region: str,
    failure_domain: str,
) -> tuple[str, ...]:
    """Choose among the ready hosts for a caller's location.

    Prefer the large hosts of its failure domain if they suffice, then those
    of its region: requests that are bound to the region must not be routed
    through another. Return all hosts if the region has none.
    """
    same_region = [row for row in hosts if row.region == region]
    for group in _preferred_groups(same_region, failure_domain):
        if len(group) >= MIN_HOSTS:
            return _addresses(group)
    return _addresses(same_region or hosts)


def _preferred_groups(
    same_region: Sequence[EntryHost],
    failure_domain: str,
) -> Iterator[Sequence[EntryHost]]:
    """Yield groups of hosts in order of preference."""
    large = large_hosts(same_region)
    yield [row for row in large if row.failure_domain == failure_domain]
    if len(large) < len(same_region):
        yield large
    yield [row for row in same_region if row.failure_domain == failure_domain]


def large_hosts(hosts: Sequence[EntryHost]) -> Sequence[EntryHost]:
    """Return the hosts that callers may be spread over evenly.

    A caller picks one of the named hosts at random, so one that is far
    smaller than the others would be full first.
    """
    large = find_large({row.address: row.capacity_per_s for row in hosts})
    return [row for row in hosts if row.address in large]


def _addresses(hosts: Sequence[EntryHost]) -> tuple[str, ...]:
    return tuple(sorted(row.address for row in hosts)[:MAX_HOSTS])


def entry_hosts(
    state: HostState,
    region: str,
    failure_domain: str,
) -> tuple[str, ...]:
    """Return the entry hosts for a caller; this host if no other is ready.

    Hosts that cannot confirm the API keys refuse almost all requests, so they
    are named only if there are no others.
    """
    now = state.now()
    peers = [
        peer
        for peer in state.peers.live_peers(now)
        if peer.heartbeat is not None and peer.heartbeat.ready
    ]
    confirmed = [
        _peer_entry(peer.heartbeat)
        for peer in peers
        if state.confirms_keys(
            peer.heartbeat.knowledge_age + now - peer.last_received_at
        )
    ]
    if state.is_ready and state.confirms_keys(state.view.configuration_age_s()):
        confirmed.append(_own_entry(state))
    if confirmed:
        return choose_hosts(confirmed, region, failure_domain)
    ready = [_peer_entry(peer.heartbeat) for peer in peers]
    if state.is_ready or not ready:
        ready.append(_own_entry(state))
    return choose_hosts(ready, region, failure_domain)


def _peer_entry(heartbeat: Heartbeat) -> EntryHost:
    return EntryHost(
        heartbeat.entry,
        heartbeat.failure_domain,
        heartbeat.region,
        heartbeat.room,
    )


def _own_entry(state: HostState) -> EntryHost:
    settings = state.settings
    return EntryHost(
        str(settings.entry),
        settings.failure_domain,
        settings.region,
        settings.capacity.requests_per_s,
    )
