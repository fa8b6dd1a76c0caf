"""State of the entry program: version, shares, upstreams, readiness."""

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

#: Maximum number of requests that wait for admission.
QUEUE_CAPACITY = 1000
#: Retries per window that a service may make however few requests it got.
#: The budget's fraction of few requests would be less than one retry for
#: each request in flight.
MIN_RETRIES = 3
# Load reports are fetched from sites that got a request within this time.
SITE_IN_USE_S = 10.0
UPSTREAM_POLICY = 'least-load-latency'


class EntryState:
    """State of one entry program; used on one event loop only."""

    def __init__(
        self,
        settings: HostSettings,
        incarnation: int,
        metrics: Metrics,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without a version, which is not ready."""
        self.settings = settings
        self.incarnation = incarnation
        self.metrics = metrics
        self.now = now
        self.environment: Environment | None = None
        self.host: messages.HostState | None = None
        self.slot: messages.ShareSlot | None = None
        self.upstreams: tuple[messages.UpstreamRecord, ...] = ()
        self.upstreams_digest = ''
        self.applied_bounds: tuple[object, ...] = ()
        self.last_used_at: dict[tuple[str, str], float] = {}
        self.leaving = False
        self.running_requests = 0
        self.holdings = Holdings(settings.name, incarnation)
        self.limits = ShareLimits(self.holdings)
        self.table = UpstreamTable()
        self.retry_budget = RetryBudget(allowance=MIN_RETRIES)
        self.tasks: set[asyncio.Task[None]] = set()
        #: Set when a request was refused because its quota share was empty.
        self.shortage = asyncio.Event()
        self.admission_controller = AdmissionController(
            FairQueue(QUEUE_CAPACITY),
            now,
            self.release_slot,
            expected_service_s=self.table.expected_latency_s,
        )
        self.router = Router(
            self.table,
            settings.failure_domain,
            POLICIES[UPSTREAM_POLICY](),
            random.Random(incarnation),
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the program has a version to serve by."""
        return self.environment is not None

    @property
    def version(self) -> int:
        """Return the version in force, 0 when there is none."""
        return self.environment.version if self.environment else 0

    def apply(self, host: messages.HostState) -> None:
        """Apply a host state from the agent; an older version is ignored."""
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
        """Apply version, upstreams and share slot to routing and quota.

        Nothing is done when none of them has changed.
        """
        now = self.now()
        if host.slot is not None or host.slot_known:
            self.slot = host.slot
        bounds = (
            self.version,
            self.upstreams_digest,
            self.slot,
            host.settled_version,
        )
        if bounds == self.applied_bounds:
            return
        self.applied_bounds = bounds
        self.router.rotation = self.slot.index if self.slot else None
        self.table.apply(environment, self.upstreams, now)
        self.holdings.apply(
            environment,
            self.upstreams,
            self.slot,
            host.settled_version,
            now,
        )
        self.admission_controller.retry_queued()

    def is_confirmed_for(self, route: Route) -> bool:
        """Return whether the version is confirmed as a route needs it."""
        if route.serves_unconfirmed:
            return True
        if self.host is None or self.environment is None:
            return False
        grace_s = self.environment.document.quota.unconfirmed_grace_s
        return self.now() - self.host.confirmed_at <= grace_s

    def begin_attempt(self, grant: Grant) -> None:
        """Count an attempt at its upstream and mark the site as used."""
        now = self.now()
        decision = grant.decision
        self.last_used_at[decision.service, decision.site] = now
        self.table.begin(grant.upstream.name, now)

    def sites_in_use(self) -> set[tuple[str, str]]:
        """Return the services and sites that recently got requests.

        Preferred sites are always included, because the next requests go
        there.
        """
        horizon = self.now() - SITE_IN_USE_S
        recent = {
            site_key
            for site_key, used_at in self.last_used_at.items()
            if used_at >= horizon
        }
        services = self.environment.services if self.environment else ()
        return recent | {
            (service, self.preferred_site(service)) for service in services
        }

    def end_attempt(self, grant: Grant, observation: Observation) -> None:
        """Release the slot of an attempt and record what was observed."""
        self.table.finish(grant.upstream.name, observation, self.now())
        self.release_slot(grant)
        self.admission_controller.retry_queued()

    def release_slot(self, grant: Grant) -> None:
        """Release the slot of a grant that has ended or was never used."""
        self.holdings.release(grant.slot_total, 1, self.now())

    def preferred_site(self, service: str) -> str:
        """Return the nearest site of a service, '' when there is none."""
        if self.environment is None:
            return ''
        domain = self.settings.failure_domain
        sites = site_order(self.environment, service, domain)
        return sites[0][1] if sites else ''

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background; a shutdown waits for it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def peers(self) -> tuple[messages.PeerState, ...]:
        """Return the other entry hosts as the agent last reported them."""
        if self.host is None:
            return ()
        return tuple(
            peer
            for peer in self.host.peers
            if peer.host.name != self.settings.name
        )
