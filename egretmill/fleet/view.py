"""One host's copy of the fleet's state, read from the platform's store."""

import dataclasses
import enum
from collections.abc import Callable

from egretmill.fleet.configuration import FleetConfiguration
from egretmill.fleet.freshness import Freshness, boot_time
from egretmill.fleet.lag import CopyLag
from egretmill.fleet.upstreams import Upstream, UpstreamList

__all__ = ('FleetView', 'Topic')

#: Called with an upstream's new record and its previous one, if any.
UpstreamListener = Callable[[Upstream, Upstream | None], None]


def ignore_upstream(upstream: Upstream, previous: Upstream | None) -> None:
    """Ignore a change."""


class Topic(enum.StrEnum):
    """What a host follows in the store, each with a freshness of its own."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'
    ROSTER = 'roster'


@dataclasses.dataclass(slots=True)
class FleetView:
    """The fleet as this host last read it, with the age of each topic.

    :param evacuated: failure domains whose upstreams get no requests.
    :param readmitted_at: boot time at which an evacuation ended, by failure
        domain; its upstreams may be cold.
    """

    configuration: FleetConfiguration | None = None
    configuration_freshness: Freshness = dataclasses.field(
        default_factory=Freshness
    )
    configuration_lag: CopyLag = dataclasses.field(default_factory=CopyLag)
    evacuated: frozenset[str] = frozenset()
    readmitted_at: dict[str, float] = dataclasses.field(default_factory=dict)
    upstreams: UpstreamList = dataclasses.field(default_factory=UpstreamList)
    upstream_freshness: Freshness = dataclasses.field(default_factory=Freshness)
    on_upstream: UpstreamListener = ignore_upstream
    now: Callable[[], float] = boot_time

    @property
    def version(self) -> int:
        """Return the version of the configuration, 0 when there is none."""
        return self.configuration.version if self.configuration else 0

    def apply_configuration(self, configuration: FleetConfiguration) -> bool:
        """Apply a newer configuration; return whether it is newer."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.configuration_lag.record_own_version(configuration.version)
        return True

    def apply_evacuations(self, domains: frozenset[str]) -> frozenset[str]:
        """Set the evacuated failure domains; return those that have changed."""
        readmitted = self.evacuated - domains
        now = self.now()
        for domain in readmitted:
            self.readmitted_at[domain] = now
        changed = self.evacuated ^ domains
        if changed:
            self.upstreams.generation += 1
        self.evacuated = domains
        return changed

    def put_upstream(self, upstream: Upstream) -> Upstream | None:
        """Store a record that is accepted; return the previous one."""
        is_accepted = self.upstreams.accepts(upstream)
        previous = self.upstreams.put(upstream)
        if is_accepted:
            self.on_upstream(self.upstreams.by_name[upstream.name], previous)
        return previous

    def record_leaving(self, name: str, incarnation: int) -> Upstream | None:
        """Record that an upstream is leaving; return its new record.

        :return: ``None`` if it is not registered, or known to be leaving.
        """
        previous = self.upstreams.record_leaving(name, incarnation)
        if previous is None:
            return None
        record = self.upstreams.by_name[name]
        self.on_upstream(record, previous)
        return record

    def configuration_age_s(self) -> float:
        """Return the greatest possible age of the API keys, in seconds."""
        return self.configuration_freshness.age(self.now())

    def configuration_lag_s(self) -> float:
        """Return for how long peers have had a newer configuration."""
        return self.configuration_lag.lag_s(
            self.configuration_freshness, self.now()
        )

    def is_configuration_outdated(self) -> bool:
        """Return whether no request may be decided by the configuration."""
        return self.configuration_lag.is_outdated(
            self.configuration_freshness, self.now()
        )
