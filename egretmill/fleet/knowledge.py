"""The knowledge of one host, as read from the platform's store."""

import dataclasses
import enum
from collections.abc import Callable

from egretmill.fleet.configuration import FleetConfiguration
from egretmill.fleet.freshness import Proof, boot_time
from egretmill.fleet.upstreams import Upstream, UpstreamList

__all__ = ('Knowledge', 'Topic')

#: Called with an upstream and the record before it.
UpstreamListener = Callable[[Upstream, Upstream | None], None]


def ignore_upstream(upstream: Upstream, before: Upstream | None) -> None:
    """Take no notice of a change."""


class Topic(enum.StrEnum):
    """What a host follows in the store, each with a proof of its age."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    ROSTER = 'roster'


@dataclasses.dataclass(slots=True)
class Knowledge:
    """Configuration, evacuations and upstreams with the proofs of their age.

    :param evacuated: failure domains whose upstreams get nothing.
    :param readmitted_at: boot time at which an evacuation ended, by failure
        domain; its upstreams may be cold.
    """

    configuration: FleetConfiguration | None = None
    configuration_proof: Proof = dataclasses.field(default_factory=Proof)
    evacuated: frozenset[str] = frozenset()
    readmitted_at: dict[str, float] = dataclasses.field(default_factory=dict)
    upstreams: UpstreamList = dataclasses.field(default_factory=UpstreamList)
    upstream_proof: Proof = dataclasses.field(default_factory=Proof)
    on_upstream: UpstreamListener = ignore_upstream
    now: Callable[[], float] = boot_time

    @property
    def version(self) -> int:
        """Return the version in force here, 0 when there is none."""
        return self.configuration.version if self.configuration else 0

    def adopt(self, configuration: FleetConfiguration) -> bool:
        """Put a newer version in force; return whether it is newer."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        return True

    def evacuate(self, domains: frozenset[str]) -> frozenset[str]:
        """Set the evacuated failure domains; return what has changed."""
        ended = self.evacuated - domains
        now = self.now()
        for domain in ended:
            self.readmitted_at[domain] = now
        changed = self.evacuated ^ domains
        if changed:
            self.upstreams.edition += 1
        self.evacuated = domains
        return changed

    def put_upstream(self, upstream: Upstream) -> Upstream | None:
        """Take a record of an upstream; return the one before."""
        before = self.upstreams.put(upstream)
        self.on_upstream(upstream, before)
        return before

    def keyed_age(self) -> float:
        """Return how old the knowledge of keys can be, in seconds."""
        return self.configuration_proof.age(self.now())
