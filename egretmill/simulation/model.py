"""Event loop of the simulation: callers, hosts and upstreams."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence

from egretmill.fleet.upstreams import Upstream
from egretmill.placement import (
    LoadReport,
    NoCapacity,
    RoundTrips,
    SelectedUpstream,
    UpstreamLoad,
)
from egretmill.placement.observations import ObservationKind
from egretmill.simulation.hosts import SERVICE, SimulatedHost
from egretmill.simulation.outcomes import Outcome, PhaseOutcomes
from egretmill.simulation.policies import Policy
from egretmill.simulation.upstreams import Request, SimulatedUpstream
from egretmill.simulation.workload import RegionLoad, Workload

__all__ = ('simulate',)

#: Callers come back after Retry-After, within this part of the time left.
MAX_RETURN_RATIO = 1 / 3
MIN_RETRY_AFTER_S = 0.05


class Simulation:
    """One run of a workload with a policy."""

    def __init__(
        self,
        workload: Workload,
        policy: Policy,
        loads: Sequence[float],
        phase_s: float,
        seed: int,
    ) -> None:
        self.workload = workload
        self.loads = loads
        self.phase_s = phase_s
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.now = 0.0
        self.phases = [PhaseOutcomes() for _ in loads]
        records = list(_make_records(workload))
        self.upstreams = {
            record.name: SimulatedUpstream(workload, record.region)
            for record in records
        }
        self.hosts = [
            self.make_hosts(region, policy, records)
            for region in workload.regions
        ]

    def make_hosts(
        self, region: RegionLoad, policy: Policy, records: Sequence[Upstream]
    ) -> list[SimulatedHost]:
        """Return a region's hosts, which know all round trips."""
        round_trips = RoundTrips()
        for other in self.workload.regions:
            rtt_s = self.workload.round_trip_s(region.name, other.name)
            round_trips.add(other.name, rtt_s)
        return [
            SimulatedHost(
                region.name,
                policy,
                {record.name: UpstreamLoad(record) for record in records},
                round_trips,
            )
            for _ in range(region.hosts)
        ]

    def run(self) -> list[PhaseOutcomes]:
        """Run all phases and the requests that are left at their end."""
        total_per_s = sum(route.per_s for route in self.workload.routes)
        for phase, load in enumerate(self.loads):
            at = phase * self.phase_s
            end = at + self.phase_s
            while at < end:
                at += self.rng.expovariate(total_per_s * load)
                request = self.make_request(phase, at)
                self.schedule(at, functools.partial(self.receive, request))
        while self.events:
            when, _, action = heapq.heappop(self.events)
            self.now = when
            action()
        return self.phases

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.event_numbers), action))

    def make_request(self, phase: int, at: float) -> Request:
        """Return the request of a random caller."""
        workload = self.workload
        route = self.rng.choices(
            workload.routes, [route.per_s for route in workload.routes]
        )[0]
        weights = workload.caller_weights(at)
        region = self.rng.choices(range(len(weights)), weights)[0]
        host = self.rng.randrange(len(self.hosts[region]))
        number = self.rng.randrange(route.objects)
        object_key = f'{route.name}/{region}/{number}'
        return Request(route, region, host, object_key, at, phase)

    def receive(self, request: Request) -> None:
        """Count a request of a caller and place it."""
        for outcome in self.outcomes_of(request):
            outcome.asked += 1
            outcome.owed += request.route.worth
        self.place(request)

    def outcomes_of(self, request: Request) -> Sequence[Outcome]:
        """Return the outcomes that a request counts for."""
        region = self.workload.regions[request.region].name
        return self.phases[request.phase].of(request.route.name, region)

    def place(self, request: Request) -> None:
        """Choose an upstream for a request and send it there."""
        host = self.hosts[request.region][request.host]
        selected = host.choose(request, self.now)
        if not isinstance(selected, SelectedUpstream):
            wait_s = 0.0
            if isinstance(selected, NoCapacity):
                wait_s = selected.wait_s
            self.refuse(request, wait_s)
            return
        request.selected = selected
        request.sent_at = self.now
        selected.load.begin(self.now, request.object_key)
        self.schedule(
            self.now + selected.rtt_s / 2, lambda: self.arrive(request)
        )

    def refuse(self, request: Request, wait_s: float) -> None:
        """Refuse a request; its caller may return."""
        if request.returned >= self.workload.returns:
            for outcome in self.outcomes_of(request):
                outcome.refused += 1
            return
        request.returned += 1
        for outcome in self.outcomes_of(request):
            outcome.returned += 1
        deadline_at = request.asked_at + request.route.timeout_s
        wait_s = max(wait_s, MIN_RETRY_AFTER_S)
        wait_s = min(wait_s, (deadline_at - self.now) * MAX_RETURN_RATIO)
        self.schedule(self.now + wait_s, lambda: self.place(request))

    def arrive(self, request: Request) -> None:
        """Run, queue or reject a request at its upstream."""
        upstream = self.upstream_of(request)
        if upstream.running < self.workload.slots:
            self.start(request)
        elif len(upstream.waiting) < self.workload.queue:
            upstream.waiting.append(request)
        else:
            self.respond(request, ObservationKind.SHED)

    def start(self, request: Request) -> None:
        """Run a request on a free slot."""
        upstream = self.upstream_of(request)
        upstream.running += 1
        ends_at = self.now + upstream.service_s(request, self.rng)
        self.schedule(ends_at, lambda: self.finish(request))

    def finish(self, request: Request) -> None:
        """Respond and start the next request."""
        upstream = self.upstream_of(request)
        upstream.running -= 1
        if upstream.waiting:
            self.start(upstream.waiting.popleft())
        self.respond(request, ObservationKind.OK)

    def respond(self, request: Request, kind: ObservationKind) -> None:
        """Send a response with a load report to the host."""
        upstream = self.upstream_of(request)
        report = LoadReport(
            upstream.running, len(upstream.waiting), self.workload.slots
        )
        rtt_s = self.workload.round_trip_s(
            upstream.region, self.workload.regions[request.region].name
        )
        self.schedule(
            self.now + rtt_s / 2,
            lambda: self.deliver(request, kind, report),
        )

    def deliver(
        self, request: Request, kind: ObservationKind, report: LoadReport
    ) -> None:
        """Deliver a response to the host and the caller."""
        selected = request.selected
        if selected is None:
            return
        selected.load.finish(kind, self.now)
        selected.load.record_report(report, self.now)
        if kind is ObservationKind.SHED:
            for outcome in self.outcomes_of(request):
                outcome.rejected += 1
            self.refuse(request, 0)
            return
        host = self.hosts[request.region][request.host]
        host.record_response(request, selected, self.now)
        elapsed_s = self.now - request.asked_at
        for outcome in self.outcomes_of(request):
            outcome.warm += request.ran_warm
            if elapsed_s <= request.route.target_s:
                outcome.in_target += 1
                outcome.earned += request.route.worth
            else:
                outcome.late += 1
                outcome.earned += request.route.late_worth

    def upstream_of(self, request: Request) -> SimulatedUpstream:
        """Return the upstream that was chosen for a request."""
        if request.selected is None:
            raise ValueError('the request has not been sent')
        return self.upstreams[request.selected.load.record.name]


def _make_records(workload: Workload) -> Iterator[Upstream]:
    for region in workload.regions:
        for number in range(region.upstreams):
            name = f'{region.name}-{number}'
            yield Upstream(
                name, 1, SERVICE, '', 0, '', region.name, workload.slots
            )


def simulate(
    workload: Workload,
    policy: Policy,
    loads: Sequence[float],
    phase_s: float = 6.0,
    seed: int = 1,
) -> list[PhaseOutcomes]:
    """Simulate phases of load; the same seed gives the same outcomes.

    :param loads: one factor on the workload's rates per phase.
    """
    return Simulation(workload, policy, loads, phase_s, seed).run()
