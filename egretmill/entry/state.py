"""What the entry program knows: version, shares, upstreams, readiness."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine

from egretmill.admission import AdmissionController, FairQueue
from egretmill.document import Environment, Route
from egretmill.entry.admission import Grant
from egretmill.entry.limits import ShareLimits
from egretmill.host_link import newer_environment
from egretmill.metrics import Metrics
from egretmill.quota.holdings import Holdings
from egretmill.routing import (
    POLICIES,
    Observation,
    RetryBudget,
    Router,
    UpstreamTable,
)
from egretmill.routing.sites import site_order
from egretmill.settings import HostSettings
from egretmill.wire import messages

__all__ = ('EntryState',)

#: Most requests that wait for admission.
QUEUE_CAPACITY = 1000
#: Retries of a service in a window that need no recent requests: a part of
#: few requests is less than one retry for each request in flight.
LEAST_RETRIES = 3
# Load reports are read for sites that got a request within this time.
IN_USE_S = 10.0
UPSTREAM_POLICY = 'least-load-latency'


class EntryState:
    """All state of one entry program; changed on one loop only."""

    def __init__(
        self,
        settings: HostSettings,
        incarnation: int,
        metrics: Metrics,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without a version: the program is not ready."""
        self.settings = settings
        self.incarnation = incarnation
        self.metrics = metrics
        self.now = now
        self.environment: Environment | None = None
        self.host: messages.HostState | None = None
        self.slot: messages.ShareSlot | None = None
        self.upstreams: tuple[messages.UpstreamRecord, ...] = ()
        self.upstreams_digest = ''
        self.applied: tuple[object, ...] = ()
        self.used_at: dict[tuple[str, str], float] = {}
        self.leaving = False
        self.running = 0
        self.holdings = Holdings(settings.name, incarnation)
        self.limits = ShareLimits(self.holdings)
        self.table = UpstreamTable()
        self.budget = RetryBudget(allowance=LEAST_RETRIES)
        self.tasks: set[asyncio.Task[None]] = set()
        #: Set when a request was refused for lack of a share.
        self.short = asyncio.Event()
        self.gate = AdmissionController(
            FairQueue(QUEUE_CAPACITY),
            now,
            self.give_back,
            expected_service_s=self.table.expected_latency_s,
        )
        self.router = Router(
            self.table,
            settings.failure_domain,
            POLICIES[UPSTREAM_POLICY](),
            random.Random(incarnation),
        )

    @property
    def ready(self) -> bool:
        """Tell whether the program has a version to serve by."""
        return self.environment is not None

    @property
    def version(self) -> int:
        """Return the version in force here, 0 when there is none."""
        return self.environment.version if self.environment else 0

    def apply(self, host: messages.HostState) -> None:
        """Take over what the agent knows; a version never goes back."""
        newer = newer_environment(host, self.version, self.metrics)
        self.environment = newer or self.environment
        self.host = host
        if host.upstreams is not None:
            self.upstreams = host.upstreams
            self.upstreams_digest = host.upstreams_digest
        if self.environment is not None:
            self.apply_limits(self.environment, host)

    def apply_limits(
        self,
        environment: Environment,
        host: messages.HostState,
    ) -> None:
        """Take over what bounds decisions, if any of it has changed."""
        now = self.now()
        if host.slot is not None or host.slot_known:
            self.slot = host.slot
        bounds = (
            self.version,
            self.upstreams_digest,
            self.slot,
            host.settled_version,
        )
        if bounds == self.applied:
            return
        self.applied = bounds
        self.router.rotation = self.slot.index if self.slot else None
        self.table.apply(environment, self.upstreams, now)
        self.holdings.apply(
            environment,
            self.upstreams,
            self.slot,
            host.settled_version,
            now,
        )
        self.gate.retry_queued()

    def is_confirmed_for(self, route: Route) -> bool:
        """Tell whether the version is fresh enough for a route."""
        if route.serves_unconfirmed:
            return True
        if self.host is None or self.environment is None:
            return False
        grace_s = self.environment.document.quota.unconfirmed_grace_s
        return self.now() - self.host.confirmed_at <= grace_s

    def begin(self, grant: Grant) -> None:
        """Note that an attempt is sent to its upstream."""
        now = self.now()
        decision = grant.decision
        self.used_at[decision.service, decision.site] = now
        self.table.begin(grant.upstream.name, now)

    def sites_in_use(self) -> set[tuple[str, str]]:
        """Return the services and sites that got requests lately.

        Preferred sites count always, because they get the next ones.
        """
        horizon = self.now() - IN_USE_S
        recent = {place for place, at in self.used_at.items() if at >= horizon}
        services = self.environment.services if self.environment else ()
        return recent | {
            (service, self.preferred_site(service)) for service in services
        }

    def finish(self, grant: Grant, observation: Observation) -> None:
        """Give back what an attempt held and learn from its end."""
        self.table.finish(grant.upstream.name, observation, self.now())
        self.give_back(grant)
        self.gate.retry_queued()

    def give_back(self, grant: Grant) -> None:
        """Free the slot of a grant that has ended or was never used."""
        self.holdings.release(grant.slots, 1, self.now())

    def preferred_site(self, service: str) -> str:
        """Return the nearest site of a service, empty when unknown."""
        if self.environment is None:
            return ''
        domain = self.settings.failure_domain
        order = site_order(self.environment, service, domain)
        return order[0][1] if order else ''

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run work in the background; a shutdown waits for it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def peers(self) -> tuple[messages.PeerState, ...]:
        """Return the other entry hosts."""
        if self.host is None:
            return ()
        return tuple(
            peer
            for peer in self.host.peers
            if peer.host.name != self.settings.name
        )
