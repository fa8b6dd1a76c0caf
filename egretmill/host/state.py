"""What one host knows and holds; changed on one loop only."""

import dataclasses
from collections.abc import Callable

import xxhash

from egretmill.fleet.configuration import FleetConfiguration, Route
from egretmill.fleet.freshness import Proof, boot_time
from egretmill.fleet.knowledge import Knowledge, Topic
from egretmill.fleet.upstreams import Upstream
from egretmill.host.dialect import Dialect
from egretmill.host.metrics import HostMetrics
from egretmill.host.settings import HostSettings
from egretmill.host.tokens import TokenDesk
from egretmill.host.upstreams import UpstreamPool
from egretmill.http1 import ConnectionLimits
from egretmill.peers.table import PeerTable
from egretmill.placement.work import ServiceTimes
from egretmill.placement.retries import RetryBudget
from egretmill.shares.accounts import AccountLimits, Tolerance
from egretmill.shares.loans import LoanBook
from egretmill.shares.roster import STALE_FRACTION, FleetShare

__all__ = ('HostState',)

#: Part of the fleet's budget for retries that hosts plan with; the rest is
#: for requests that are counted at an upstream but not here.
RETRY_PLANNED_PART = 0.8
#: Part of the tolerated excess over a rate that hosts use to smooth its
#: division; the rest covers clocks and messages on their way.
TOLERANCE_USED_PART = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class HostState:
    """All state of one host process.

    :param incarnation: differs after each start, grows.
    :param suspects: hosts whose entries in the roster will be removed unless
        they object.
    """

    settings: HostSettings
    dialect: Dialect
    metrics: HostMetrics
    knowledge: Knowledge
    share: FleetShare
    loans: LoanBook
    accounts: AccountLimits
    peers: PeerTable
    budget: RetryBudget
    pool: UpstreamPool
    tokens: TokenDesk
    work: dict[str, ServiceTimes] = dataclasses.field(default_factory=dict)
    incarnation: int = 0
    suspects: frozenset[str] = frozenset()
    leaving: bool = False
    limits: ConnectionLimits = ConnectionLimits()
    now: Callable[[], float] = boot_time

    @classmethod
    def from_settings(
        cls,
        settings: HostSettings,
        dialect: Dialect,
    ) -> 'HostState':
        """Build the state of a host that knows nothing yet."""
        bounds = settings.bounds
        outdated_part = 0 if bounds.fail_closed else STALE_FRACTION
        share = FleetShare(settings.name, stale_fraction=outdated_part)
        loans = LoanBook()
        tolerance = Tolerance(
            bounds.limit_requests * TOLERANCE_USED_PART,
            bounds.limit_part * TOLERANCE_USED_PART,
        )
        knowledge = Knowledge()
        pool = UpstreamPool(
            knowledge,
            share,
            settings.failure_domain,
            settings.region,
        )
        knowledge.on_upstream = pool.update
        accounts = AccountLimits(share, loans, tolerance)
        peers = PeerTable(settings.name)
        return cls(
            settings,
            dialect,
            HostMetrics(),
            knowledge,
            share,
            loans,
            accounts,
            peers,
            RetryBudget(
                ratio=bounds.retry_part * RETRY_PLANNED_PART,
                window_s=bounds.retry_window_s,
            ),
            pool,
            TokenDesk(accounts, peers, settings.region, boot_time),
        )

    @property
    def configuration(self) -> FleetConfiguration | None:
        """Return the configuration in force here."""
        return self.knowledge.configuration

    @property
    def ready(self) -> bool:
        """Tell whether callers should come."""
        if self.leaving or self.configuration is None:
            return False
        return self.share.fraction(self.now()) > 0

    def adopt(self, configuration: FleetConfiguration) -> bool:
        """Put a newer configuration in force."""
        if not self.knowledge.adopt(configuration):
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
        self.metrics.version.set(configuration.version)
        return True

    def share_retries(self) -> None:
        """Divide the fleet's allowance of retries by the roster."""
        planned = self.settings.bounds.retry_allowance * RETRY_PLANNED_PART
        fraction = self.share.fraction(self.now())
        self.budget.allowance = planned * fraction

    def times_for(self, route: Route) -> ServiceTimes:
        """Return the work times of a route."""
        found = self.work.get(route.name)
        if found is None:
            found = ServiceTimes.from_target(
                route.target_latency_s,
                route.timeout_s,
            )
            self.work[route.name] = found
        return found

    def on_duty(self) -> bool:
        """Tell whether this host follows the store for the others."""
        return self.peers.on_duty(self.now())

    def digest(self, topic: Topic) -> int:
        """Return what equal knowledge on other hosts has in common."""
        match topic:
            case Topic.CONFIGURATION:
                domains = ','.join(sorted(self.knowledge.evacuated))
                text = f'{self.knowledge.version}/{domains}'
            case Topic.UPSTREAMS:
                return self.knowledge.upstreams.digest
            case Topic.ROSTER:
                members = ','.join(sorted(self.share.members))
                text = f'{members}/{",".join(sorted(self.suspects))}'
        return xxhash.xxh3_64_intdigest(text.encode()) >> 1

    def proof(self, topic: Topic) -> Proof:
        """Return how current the knowledge is known to be."""
        match topic:
            case Topic.CONFIGURATION:
                return self.knowledge.configuration_proof
            case Topic.UPSTREAMS:
                return self.knowledge.upstream_proof
            case Topic.ROSTER:
                return self.share.proof

    def upstream_gone(self, upstream: Upstream) -> None:
        """Drop an upstream that is not registered any more."""
        self.pool.forget(upstream)
