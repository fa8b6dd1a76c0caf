"""The answer to a look-up: entry hosts in the order of preference."""

import dataclasses
from collections.abc import Mapping, Sequence

from result import Err, Ok, Result

from egretmill.document import Environment
from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.placement import (
    UNSET,
    Candidate,
    Placement,
    caller_bucket,
)
from egretmill.wire.messages import HostRecord, PeerState

__all__ = ('Directory', 'LookupAnswer', 'TTL_S')

#: How long a caller may use an answer.
TTL_S = 5


@dataclasses.dataclass(slots=True)
class LookupAnswer:
    """Entry hosts for a caller, the preferred one first.

    ``site`` and ``domain`` are the caller's own, empty when unknown;
    ``tier`` tells where the first host is: ``domain``, ``region``,
    ``other`` or ``unplaced`` for callers without a domain.
    """

    hosts: list[HostRecord]
    degraded: bool
    site: str
    domain: str
    tier: str


class Directory:
    """Answers look-ups from one state of the fleet; immutable."""

    def __init__(
        self,
        environment: Environment,
        hosts: Sequence[HostRecord],
        degraded: bool,
        earlier: 'Directory | None' = None,
    ) -> None:
        """Place callers on the hosts that are to be named.

        :param degraded: no host is usable and all of them are named.
        :param earlier: the directory before a change of hosts.
        """
        self.environment = environment
        self.hosts = tuple(hosts)
        self.degraded = degraded
        candidates = [
            Candidate(host.name, host.failure_domain) for host in hosts
        ]
        self.regions = regions(environment)
        self.services = environment.services
        self.domain_by_site: dict[str | None, str] = {
            name: row.failure_domain for name, row in environment.sites.items()
        }
        self.placement = Placement(
            candidates,
            self.regions,
            {},
            earlier.placement if earlier else None,
        )

    @classmethod
    def from_state(
        cls,
        environment: Environment,
        peers: Sequence[PeerState],
        earlier: 'Directory | None' = None,
    ) -> Result['Directory', Failure]:
        """Build from what the agent knows of the entry hosts.

        :returns: ``not_ready`` while no host is known at all.
        """
        if not peers:
            return Err(Failure(ErrorKind.NOT_READY, 'no entry host is known'))
        hosts = usable_hosts(environment, peers)
        if hosts:
            return Ok(cls(environment, hosts, False, earlier))
        every = [peer.host for peer in peers]
        return Ok(cls(environment, every, True, earlier))

    def fits(
        self,
        environment: Environment,
        peers: Sequence[PeerState],
    ) -> bool:
        """Tell whether a state leads to the same answers as this one."""
        if environment is not self.environment or self.degraded:
            return False
        return usable_hosts(environment, peers) == self.hosts

    def answer(
        self,
        service: str,
        client: str,
        site: str | None,
    ) -> Result[LookupAnswer, Failure]:
        """Choose the entry hosts for a caller.

        :param client: the caller's address.
        :param site: the site of the caller, ``None`` when unknown.
        """
        if service not in self.services:
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE, service))
        own = self.domain_by_site.get(site, '')
        chosen = self.placement.choose(own, caller_bucket(client))
        hosts = self.hosts
        named = [hosts[index] for index in chosen if index != UNSET]
        tier = self.tier(own, named[0].failure_domain)
        return Ok(LookupAnswer(named, self.degraded, site or '', own, tier))

    def tier(self, own: str, assigned: str) -> str:
        """Tell how near the assigned domain is to the caller's own."""
        if not own:
            return 'unplaced'
        if own == assigned:
            return 'domain'
        same = self.regions.get(own) == self.regions.get(assigned)
        return 'region' if same else 'other'


def usable_hosts(
    environment: Environment,
    peers: Sequence[PeerState],
) -> tuple[HostRecord, ...]:
    """Return the hosts that callers may be sent to."""
    drained = environment.drained
    return tuple(peer.host for peer in peers if is_usable(peer, drained))


def is_usable(
    peer: PeerState,
    drained: frozenset[tuple[str, str]],
) -> bool:
    """Tell whether callers may be sent to a host."""
    if peer.leaving or ('host', peer.host.name) in drained:
        return False
    return peer.reachable and peer.entry_ready


def regions(environment: Environment) -> Mapping[str, str]:
    """Return the region of each failure domain of the document."""
    return {
        name: row.region for name, row in environment.failure_domains.items()
    }
