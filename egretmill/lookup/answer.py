"""The answer to a look-up: entry hosts in the order of preference."""

import dataclasses
from collections.abc import Mapping, Sequence

from result import Err, Ok, Result

from egretmill.document import Environment
from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.placement import Candidate, Placement, caller_hash
from egretmill.wire.messages import HostRecord, PeerState

__all__ = ('Directory', 'LookupAnswer', 'MAX_HOSTS', 'TTL_S')

#: How long a caller may use an answer.
TTL_S = 5
#: Hosts named in one answer. At most four are of the first domain and two
#: of each other one, so that an answer survives the loss of a region.
MAX_HOSTS = 8
HOSTS_OF_OTHER_DOMAIN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Entry hosts for a caller, the preferred one first.

    ``site`` and ``domain`` are the caller's own, empty when unknown;
    ``tier`` tells where the first host is: ``domain``, ``region``,
    ``other`` or ``unplaced`` for callers without a domain.
    """

    hosts: tuple[HostRecord, ...]
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
    ) -> None:
        """Place callers on the hosts that are to be named.

        :param degraded: no host is usable and all of them are named.
        """
        self.environment = environment
        self.hosts = tuple(hosts)
        self.degraded = degraded
        candidates = [
            Candidate(host.name, host.failure_domain) for host in hosts
        ]
        self.placement = Placement(candidates, regions(environment), {})

    @classmethod
    def from_state(
        cls,
        environment: Environment,
        peers: Sequence[PeerState],
    ) -> Result['Directory', Failure]:
        """Build from what the agent knows of the entry hosts.

        :returns: ``not_ready`` while no host is known at all.
        """
        if not peers:
            return Err(Failure(ErrorKind.NOT_READY, 'no entry host is known'))
        hosts = usable_hosts(environment, peers)
        if hosts:
            return Ok(cls(environment, hosts, degraded=False))
        every = [peer.host for peer in peers]
        return Ok(cls(environment, every, degraded=True))

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
        if service not in self.environment.services:
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE, service))
        own = self.domain_of(site)
        hashed = caller_hash(client)
        domains = self.placement.domains(own, hashed)
        tier = self.tier(own, domains[0])
        chosen = tuple(self.choose(domains, hashed))
        return Ok(LookupAnswer(chosen, self.degraded, site or '', own, tier))

    def choose(self, domains: Sequence[str], hashed: int) -> list[HostRecord]:
        """Name the best hosts of each domain in turn."""
        placed = self.placement.hosts(domains[0], hashed)
        chosen = [self.hosts[index] for index in placed]
        for domain in domains[1:]:
            if len(chosen) >= MAX_HOSTS:
                break
            others = self.placement.hosts(domain, hashed)
            for index in others[:HOSTS_OF_OTHER_DOMAIN]:
                chosen.append(self.hosts[index])
        return chosen[:MAX_HOSTS]

    def domain_of(self, site: str | None) -> str:
        """Return the failure domain of a site, empty when unknown."""
        found = self.environment.sites.get(site or '')
        return found.failure_domain if found else ''

    def tier(self, own: str, assigned: str) -> str:
        """Tell how near the assigned domain is to the caller's own."""
        if not own:
            return 'unplaced'
        if own == assigned:
            return 'domain'
        region_of = self.placement.regions
        same = region_of.get(own) == region_of.get(assigned)
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
