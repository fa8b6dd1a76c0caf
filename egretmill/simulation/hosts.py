"""Simulated hosts: what each of them knows, and how it decides."""

import dataclasses

from egretmill.placement import (
    NoCapacity,
    NoUpstream,
    RoundTrips,
    SelectedUpstream,
    ServiceTimes,
    UpstreamLoad,
    UpstreamSelector,
    UrgentWaits,
)
from egretmill.placement.rendezvous import rendezvous_order
from egretmill.simulation.policies import Policy
from egretmill.simulation.upstreams import Request

__all__ = ('SERVICE', 'SimulatedHost')

SERVICE = 'service'


@dataclasses.dataclass(eq=False, slots=True)
class SimulatedHost:
    """A host that knows its own requests and the loads in responses."""

    region: str
    policy: Policy
    loads: dict[str, UpstreamLoad]
    round_trips: RoundTrips
    service_times: dict[str, ServiceTimes] = dataclasses.field(
        default_factory=dict,
    )
    urgent_waits: UrgentWaits = dataclasses.field(default_factory=UrgentWaits)
    orders: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict,
    )

    def choose(
        self, request: Request, now: float
    ) -> SelectedUpstream | NoCapacity | NoUpstream:
        """Choose an upstream for a request."""
        route = request.route
        times = self.times_of(request)
        self.urgent_waits.record(
            SERVICE,
            route.name,
            route.priority,
            times.max_wait_s(route.target_s),
            now,
        )
        selector = UpstreamSelector(
            request.object_key,
            self.round_trips,
            times,
            route.target_s,
            request.asked_at + route.timeout_s - now,
            True,
            now,
        )
        if self.policy.urgent_waits:
            limit_s = self.urgent_waits.limit_s(SERVICE, route.priority, now)
            selector = dataclasses.replace(selector, wait_limit_s=limit_s)
        return selector.choose(self.order(request.object_key))

    def order(self, object_key: str) -> list[UpstreamLoad]:
        """Return the loads in the object's preference order."""
        names = self.orders.get(object_key)
        if names is None:
            names = self.compute_order(object_key)
            self.orders[object_key] = names
        return [self.loads[name] for name in names]

    def compute_order(self, object_key: str) -> tuple[str, ...]:
        """Return the names of the upstreams in the preference order."""
        ordered = rendezvous_order(
            object_key, (load.record for load in self.loads.values())
        )
        return tuple(record.name for record in ordered)

    def times_of(self, request: Request) -> ServiceTimes:
        """Return the service times of the request's route."""
        route = request.route
        return self.service_times.setdefault(
            route.name,
            ServiceTimes.from_target(route.target_s, route.timeout_s),
        )

    def record_response(
        self, request: Request, selected: SelectedUpstream, now: float
    ) -> None:
        """Learn from a response."""
        response_s = now - request.sent_at
        if selected.has_free_slot:
            service_s = response_s - selected.rtt_s
            times = self.times_of(request)
            times.add(service_s, now, warm=selected.is_warm)
        selected.load.record_response(
            request.object_key, response_s, selected.expected_s, now
        )
