"""Load and idle connections of all upstreams."""

import functools
from collections.abc import Mapping

from result import Ok, Result

from egretmill.fleet.configuration import Service
from egretmill.fleet.view import FleetView
from egretmill.fleet.upstreams import Upstream
from egretmill.host.descriptors import DescriptorPlan
from egretmill.host.memory import MemoryPlan
from egretmill.host.settings import HostSettings
from egretmill.host.upstream_pauses import UpstreamPauses
from egretmill.http1 import (
    BufferBudget,
    CallFailure,
    ClientConnection,
    ConnectionUsage,
    IdleConnections,
    connect,
)
from egretmill.placement.load import UpstreamLoad
from egretmill.placement.rendezvous import rendezvous_order
from egretmill.placement.round_trips import RoundTrips
from egretmill.shares.roster import FleetShare, owners_of

__all__ = ('UpstreamPool',)

#: Cached rendezvous orders; one per object, service and set of regions.
MAX_CACHED_ORDERS = 4096
#: Hosts that divide the rate of one cold upstream: with more, each would get
#: less than one request per second.
COLD_RATE_OWNERS = 4
#: Idle connections that are kept per upstream.
MAX_IDLE_CONNECTIONS = 8

OrderKey = tuple[str, str, frozenset[str], bool]


class UpstreamPool:
    """Load and idle connections of each upstream that this host knows."""

    def __init__(
        self,
        view: FleetView,
        share: FleetShare,
        settings: HostSettings,
    ) -> None:
        """Start without upstreams, for a host with these settings."""
        self.view = view
        self.share = share
        self.settings = settings
        self.plan = DescriptorPlan.from_limit(settings.descriptors)
        self.loads: dict[str, UpstreamLoad] = {}
        self.services: Mapping[str, Service] = {}
        self.pauses = UpstreamPauses(self.loads)
        self.idle: dict[str, IdleConnections] = {}
        self.cached_orders: dict[OrderKey, tuple[UpstreamLoad, ...]] = {}
        self.generation = -1
        memory = MemoryPlan.from_limit(settings.memory_bytes)
        self.buffers = BufferBudget(memory.upstreams)
        self.usage = ConnectionUsage()
        self.round_trips = RoundTrips()

    def update(self, upstream: Upstream, before: Upstream | None) -> None:
        """Apply a record; a new incarnation resets the upstream's state."""
        load = self.loads.get(upstream.name)
        if load is None:
            load = UpstreamLoad(upstream)
            self.loads[upstream.name] = load
            load.pause = self.pauses.take(upstream)
        elif load.record.identity != upstream.identity:
            load.restart(upstream)
            self.close_idle(upstream.name)
        load.record = upstream
        self._update_cold_start(load, upstream)

    def apply_services(self, services: Mapping[str, Service]) -> None:
        """Apply the limits of the services' upstreams."""
        self.services = services

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream that is no longer registered."""
        load = self.loads.pop(upstream.name, None)
        if load is not None:
            self.pauses.keep(upstream, load.pause, self.view.now())
        self.close_idle(upstream.name)

    def readmit(self, domain: str, now: float) -> None:
        """Treat the upstreams of a failure domain as cold.

        They got no requests while the domain was evacuated.
        """
        for load in self.loads.values():
            if load.record.failure_domain == domain:
                self.suspect_cold(load, now)

    def suspect_cold(self, load: UpstreamLoad, now: float) -> None:
        """Treat an upstream as cold for the longest time that a start takes."""
        service = self.services.get(load.record.service)
        if service is not None and service.cold_per_s:
            load.suspected_cold_at_report = load.record.beat
            load.slow_start.mark_cold(now + service.cold_start_s, now)
            load.slow_start.set_rate(self.cold_rate(load.record, service))

    def cold_rate(self, upstream: Upstream, service: Service) -> float:
        """Return the requests per second that this host may send to it."""
        owners = owners_of(upstream.name, COLD_RATE_OWNERS, self.share.members)
        if self.share.host not in owners:
            return 0
        return service.cold_per_s / len(owners)

    def preference_order(
        self,
        service: str,
        object_key: str,
        home_regions: frozenset[str],
        *,
        near_first: bool = False,
    ) -> tuple[UpstreamLoad, ...]:
        """Return the upstreams that may run a request, the preferred one first.

        :param home_regions: regions that may run it; empty allows all.
        :param near_first: upstreams of the host's failure domain come first,
            then those of its region; for large bodies.
        """
        generation = self.view.upstreams.generation
        if (
            generation != self.generation
            or len(self.cached_orders) > MAX_CACHED_ORDERS
        ):
            self.cached_orders.clear()
            self.generation = generation
        key = (service, object_key, home_regions, near_first)
        order = self.cached_orders.get(key)
        if order is None:
            order = self._compute_order(key)
            self.cached_orders[key] = order
        return order

    def is_eligible(self, load: UpstreamLoad) -> bool:
        """Return whether a chosen upstream may still get a request."""
        record = load.record
        return (
            self.loads.get(record.name) is load
            and not record.is_leaving
            and record.failure_domain not in self.view.evacuated
            and not load.pause.wait_s(self.view.now())
        )

    async def acquire(
        self,
        load: UpstreamLoad,
        now: float,
        timeout_s: float,
        max_idle_s: float,
    ) -> Result[ClientConnection, CallFailure]:
        """Return an idle connection or open a new one.

        :param timeout_s: for opening a connection.
        :param max_idle_s: longest idle time of a reused connection.
        """
        idle = self.idle.get(load.record.name)
        connection = idle.take(now, max_idle_s) if idle else None
        if connection is not None:
            return Ok(connection)
        record = load.record
        if self.usage.descriptors >= self.plan.upstreams:
            self.close_all_idle()
        opened = await connect(
            record.address,
            record.port,
            timeout_s,
            self.buffers,
            self.usage,
        )
        if isinstance(opened, Ok):
            self.round_trips.add(record.region, self.view.now() - now)
        return opened

    def release(self, load: UpstreamLoad, connection: ClientConnection) -> None:
        """Keep a connection for the next request, or close it."""
        if not connection.is_usable:
            return
        current = self.loads.get(load.record.name)
        if current is not load or load.record.is_leaving:
            connection.abort()
            return
        idle = self.idle.get(load.record.name)
        if idle is None:
            idle = IdleConnections(MAX_IDLE_CONNECTIONS)
            self.idle[load.record.name] = idle
        idle.put(connection)

    def close_all_idle(self) -> None:
        """Close the idle connections of all upstreams."""
        for name in tuple(self.idle):
            self.close_idle(name)

    def close_idle(self, name: str) -> None:
        """Close the idle connections of an upstream."""
        idle = self.idle.pop(name, None)
        if idle is not None:
            idle.close()

    def close_unused_since(self, name: str, sent_at: float) -> None:
        """Close idle connections after a call to an upstream got no answer.

        :param sent_at: when the call was sent.
        """
        idle = self.idle.get(name)
        if idle is not None:
            idle.close_unused_since(sent_at)

    def _compute_order(self, key: OrderKey) -> tuple[UpstreamLoad, ...]:
        service, object_key, home_regions, near_first = key
        evacuated = self.view.evacuated
        eligible = [
            upstream
            for upstream in self.view.upstreams.candidates(service)
            if upstream.failure_domain not in evacuated
            and (not home_regions or upstream.region in home_regions)
        ]
        ordered = rendezvous_order(object_key, eligible)
        if near_first:
            distance = functools.partial(_distance, self.settings)
            ordered = tuple(sorted(ordered, key=distance))
        return tuple(self.loads[upstream.name] for upstream in ordered)

    def _update_cold_start(
        self, load: UpstreamLoad, upstream: Upstream
    ) -> None:
        service = self.services.get(upstream.service)
        now = self.view.now()
        if upstream.cold_s <= 0:
            if (
                load.slow_start.cold_until
                and upstream.beat > load.suspected_cold_at_report + 1
            ):
                load.slow_start.mark_warm()
            return
        if service is not None and service.cold_per_s:
            load.slow_start.mark_cold(now + upstream.cold_s, now)
            load.slow_start.set_rate(self.cold_rate(upstream, service))


def _distance(settings: HostSettings, upstream: Upstream) -> int:
    if upstream.failure_domain == settings.failure_domain:
        return 0
    return 1 if upstream.region == settings.region else 2
