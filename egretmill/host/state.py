"""All state of one host; changed on one event loop only."""

import dataclasses
import functools
import itertools
import math
from collections.abc import Callable

import xxhash

from egretmill.fleet.configuration import FleetConfiguration, Route
from egretmill.fleet.freshness import Freshness, boot_time
from egretmill.fleet.view import FleetView, Topic
from egretmill.fleet.upstreams import Upstream
from egretmill.host.dialect import Dialect
from egretmill.host.metrics import HostMetrics
from egretmill.host.settings import HostSettings
from egretmill.host.remote_tokens import RemoteTokens
from egretmill.host.upstream_limits import UpstreamLimits
from egretmill.host.upstreams import UpstreamPool
from egretmill.http1 import ConnectionLimits
from egretmill.peers.table import PeerTable
from egretmill.placement.service_times import ServiceTimes
from egretmill.placement.urgency import UrgentWaits
from egretmill.placement.retries import RetryBudget
from egretmill.shares.accounts import AccountLimits, Tolerance
from egretmill.shares.loans import LoanBook
from egretmill.shares.roster import STALE_FRACTION, FleetShare

__all__ = ('HostState',)

#: Fraction of the fleet's retry budget that hosts use; the rest is for requests
#: that are counted at an upstream but not here.
PLANNED_RETRY_FRACTION = 0.8
#: Margin before the deadline for revoking a key, for a request on its way to
#: the upstream, in seconds.
REVOCATION_MARGIN_S = 0.3
#: Fraction of the tolerated excess over a rate that hosts use to smooth its
#: division; the rest covers clock differences and messages in transit.
USED_TOLERANCE_FRACTION = 0.5
#: Cached digests of rosters; each heartbeat states the current one.
ROSTER_DIGESTS_CACHE_SIZE = 8


#: Authority, path prefix and name of a route, and a service.
WorkKey = tuple[str, str, str, str]


def ignore_upstream(upstream: Upstream) -> None:
    """Ignore an upstream."""


@dataclasses.dataclass(eq=False, slots=True)
class HostState:
    """State of one host process, with its components.

    :param incarnation: increases with each start.
    :param suspects: hosts whose roster entries will be removed unless they
        clear the suspicion.
    :param leaving: the host is shutting down.
    :param serves_until: boot time from which requests that no upstream has got
        are refused, because they could still be at work when the host ends.
    :param accepting: connections of callers can be accepted.
    :param accept_failures: connections that could not be accepted so far.
    :param work: service times of the requests of routes, by route and service.
    :param awaited_bodies: requests that wait for their body to arrive.
    """

    settings: HostSettings
    dialect: Dialect
    metrics: HostMetrics
    view: FleetView
    share: FleetShare
    loans: LoanBook
    accounts: AccountLimits
    peers: PeerTable
    budget: RetryBudget
    pool: UpstreamPool
    tokens: RemoteTokens
    limits_of_upstreams: UpstreamLimits
    work: dict[WorkKey, ServiceTimes] = dataclasses.field(default_factory=dict)
    urgent_waits: UrgentWaits = dataclasses.field(default_factory=UrgentWaits)
    incarnation: int = 0
    suspects: frozenset[str] = frozenset()
    leaving: bool = False
    serves_until: float = math.inf
    accepting: bool = True
    accept_failures: int = 0
    awaited_bodies: int = 0
    #: Called with the record of an upstream that says that it is leaving.
    on_leaving: Callable[[Upstream], None] = ignore_upstream
    limits: ConnectionLimits = ConnectionLimits()
    now: Callable[[], float] = boot_time

    @classmethod
    def from_settings(
        cls,
        settings: HostSettings,
        dialect: Dialect,
    ) -> 'HostState':
        """Build the state of a host that has read nothing yet."""
        bounds = settings.bounds
        stale_fraction = 0 if bounds.fail_closed else STALE_FRACTION
        share = FleetShare(settings.name, stale_fraction=stale_fraction)
        loans = LoanBook()
        tolerance = Tolerance(
            bounds.excess_requests * USED_TOLERANCE_FRACTION,
            bounds.excess_fraction * USED_TOLERANCE_FRACTION,
        )
        view = FleetView()
        pool = UpstreamPool(view, share, settings)
        view.on_upstream = pool.update
        accounts = AccountLimits(share, loans, tolerance)
        peers = PeerTable(settings.name)
        return cls(
            settings,
            dialect,
            HostMetrics(),
            view,
            share,
            loans,
            accounts,
            peers,
            RetryBudget(
                ratio=bounds.retry_fraction * PLANNED_RETRY_FRACTION,
                window_s=bounds.retry_window_s,
            ),
            pool,
            RemoteTokens(accounts, peers, settings.region, boot_time),
            UpstreamLimits(pool.loads, share),
        )

    @property
    def configuration(self) -> FleetConfiguration | None:
        """Return the current configuration, if any."""
        return self.view.configuration

    @property
    def is_ready(self) -> bool:
        """Return whether callers should use this host."""
        if self.leaving or not self.accepting or self.configuration is None:
            return False
        return self.share.fraction(self.now()) > 0

    @property
    def serves(self) -> bool:
        """Return whether there is time to serve a request before the end."""
        return self.now() < self.serves_until

    def confirms_keys(self, age_s: float) -> bool:
        """Return whether keys are valid that were confirmed that long ago."""
        bounds = self.settings.bounds
        if not bounds.fail_closed:
            return True
        return age_s <= bounds.revoke_s - REVOCATION_MARGIN_S

    def apply_configuration(self, configuration: FleetConfiguration) -> bool:
        """Apply a configuration; return whether it is newer."""
        if not self.view.apply_configuration(configuration):
            return False
        self.accounts.apply(configuration.accounts(), self.now())
        limits = configuration.limits
        self.limits = ConnectionLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_s,
            limits.idle_s,
        )
        self.pool.apply_services(configuration.services)
        self.work = _keep_current(self.work, configuration)
        self.metrics.version.set(configuration.version)
        return True

    def record_accept_failures(self, count: int) -> None:
        """Count connections that could not be accepted."""
        self.accept_failures += count
        self.metrics.accept_failures.inc(count)

    def update_retry_allowance(self) -> None:
        """Set the own share of the fleet's retry allowance."""
        planned = self.settings.bounds.retry_allowance * PLANNED_RETRY_FRACTION
        fraction = self.share.fraction(self.now())
        self.budget.allowance = planned * fraction

    def service_times_for(self, route: Route, service: str) -> ServiceTimes:
        """Return a route's times at a service, at first from its target."""
        key = _work_key(route, service)
        service_times = self.work.get(key)
        if service_times is None:
            service_times = ServiceTimes.from_target(
                route.target_latency_s,
                route.timeout_s,
            )
            self.work[key] = service_times
        return service_times

    def is_designated_reader(self) -> bool:
        """Return whether this host reads the store for the others."""
        return self.peers.is_designated_reader(self.now())

    def digest(self, topic: Topic) -> int:
        """Return a digest to compare the own data with other hosts' data."""
        match topic:
            case Topic.CONFIGURATION:
                domains = ','.join(sorted(self.view.evacuated))
                return _digest_text(f'{self.view.version}/{domains}')
            case Topic.UPSTREAMS:
                return self.view.upstreams.digest
            case Topic.ROSTER:
                return _roster_digest(
                    self.share.members, self.share.candidates, self.suspects
                )

    def freshness(self, topic: Topic) -> Freshness:
        """Return how fresh the data of a topic is."""
        match topic:
            case Topic.CONFIGURATION:
                return self.view.configuration_freshness
            case Topic.UPSTREAMS:
                return self.view.upstream_freshness
            case Topic.ROSTER:
                return self.share.freshness

    def remove_upstream(self, upstream: Upstream) -> None:
        """Remove the state of an upstream that is no longer registered."""
        self.pool.remove(upstream)


def _keep_current(
    work: dict[WorkKey, ServiceTimes], configuration: FleetConfiguration
) -> dict[WorkKey, ServiceTimes]:
    """Drop the times of removed routes, which may come back as others."""
    kept = {}
    for route in itertools.chain.from_iterable(configuration.routes.values()):
        for destination in route.destinations:
            key = _work_key(route, destination.service)
            service_times = work.get(key)
            if service_times is not None:
                kept[key] = service_times
    return kept


def _work_key(route: Route, service: str) -> WorkKey:
    return route.authority, route.prefix, route.name, service


@functools.lru_cache(maxsize=ROSTER_DIGESTS_CACHE_SIZE)
def _roster_digest(*names: frozenset[str]) -> int:
    return _digest_text('/'.join(','.join(sorted(group)) for group in names))


def _digest_text(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1
