"""Answers to look-ups: the entry hosts of a caller, in preference order."""

import dataclasses
from collections.abc import Mapping, Sequence

from result import Err, Ok, Result

from egretmill.document import Environment
from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.placement import (
    NO_CANDIDATE,
    Candidate,
    Placement,
    caller_bucket,
)
from egretmill.wire.messages import HostRecord, PeerState

__all__ = ('ANSWER_TTL_S', 'Directory', 'LookupAnswer')

#: Seconds for which a caller may cache an answer.
ANSWER_TTL_S = 5


@dataclasses.dataclass(slots=True)
class LookupAnswer:
    """Entry hosts for a caller, the preferred one first.

    ``site`` and ``domain`` are the caller's own, empty when unknown.
    ``tier`` is the locality of the first host: in the caller's failure
    domain (``domain``) or region (``region``), or elsewhere (``other``);
    ``unplaced`` for callers of unknown domain.
    """

    hosts: list[HostRecord]
    degraded: bool
    site: str
    domain: str
    tier: str


class Directory:
    """Answers look-ups for one document and one set of hosts; immutable."""

    def __init__(
        self,
        environment: Environment,
        hosts: Sequence[HostRecord],
        degraded: bool,
        previous: 'Directory | None' = None,
    ) -> None:
        """Prepare the placement of callers on hosts.

        :param hosts: the hosts that answers may contain.
        :param degraded: no host is usable, so ``hosts`` has all of them.
        :param previous: the directory before a change of hosts, whose
            rankings are reused.
        """
        self.environment = environment
        self.hosts = tuple(hosts)
        self.degraded = degraded
        candidates = [
            Candidate(host.name, host.failure_domain) for host in hosts
        ]
        self.regions = region_by_domain(environment)
        self.services = environment.services
        self.domain_by_site: dict[str | None, str] = {
            name: row.failure_domain for name, row in environment.sites.items()
        }
        self.placement = Placement(
            candidates,
            self.regions,
            {},
            previous.placement if previous else None,
        )

    @classmethod
    def from_state(
        cls,
        environment: Environment,
        peers: Sequence[PeerState],
        previous: 'Directory | None' = None,
    ) -> Result['Directory', Failure]:
        """Build a directory from the states of the entry hosts.

        If no host is usable, answers contain all of them.

        :returns: ``not_ready`` while no host is known at all.
        """
        if not peers:
            return Err(Failure(ErrorKind.NOT_READY, 'no entry host is known'))
        hosts = usable_hosts(environment, peers)
        if hosts:
            return Ok(cls(environment, hosts, False, previous))
        all_hosts = [peer.host for peer in peers]
        return Ok(cls(environment, all_hosts, True, previous))

    def is_current_for(
        self,
        environment: Environment,
        peers: Sequence[PeerState],
    ) -> bool:
        """Return whether a new directory would give the same answers."""
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
        :returns: ``unknown_service`` for a service not in the document.
        """
        if service not in self.services:
            return Err(Failure(ErrorKind.UNKNOWN_SERVICE, service))
        own_domain = self.domain_by_site.get(site, '')
        indices = self.placement.choose(own_domain, caller_bucket(client))
        hosts = self.hosts
        preferred_hosts = [
            hosts[index] for index in indices if index != NO_CANDIDATE
        ]
        tier = self.classify_tier(own_domain, preferred_hosts[0].failure_domain)
        return Ok(
            LookupAnswer(
                preferred_hosts, self.degraded, site or '', own_domain, tier
            )
        )

    def classify_tier(self, own_domain: str, assigned_domain: str) -> str:
        """Return the locality of the assigned domain for a caller."""
        if not own_domain:
            return 'unplaced'
        if own_domain == assigned_domain:
            return 'domain'
        same_region = self.regions.get(own_domain) == self.regions.get(
            assigned_domain
        )
        return 'region' if same_region else 'other'


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
    """Return whether callers may be sent to a host."""
    if peer.leaving or ('host', peer.host.name) in drained:
        return False
    return peer.reachable and peer.entry_ready


def region_by_domain(environment: Environment) -> Mapping[str, str]:
    """Return the region of each failure domain in the document."""
    return {
        name: row.region for name, row in environment.failure_domains.items()
    }
