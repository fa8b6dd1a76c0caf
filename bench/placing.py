"""Simulates hosts that place requests on shared upstreams, in virtual time.

Upstreams have slots, a bounded queue and a cache of objects; they reject
requests when the queue is full. Hosts know only their own requests and the
load that responses report. Times are in seconds.
"""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from egretmill.fleet.upstreams import Upstream
from egretmill.placement import (
    LoadReport,
    RoundTrips,
    SelectedUpstream,
    ServiceTimes,
    UpstreamLoad,
    UpstreamSelector,
    rendezvous_order,
)
from egretmill.placement.observations import ObservationKind

__all__ = ('Load', 'Outcome', 'simulate')

ONE_WAY_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load on one service and the size of the fleet.

    :param per_s: requests per second in each of the phases.
    :param phase_s: length of a phase.
    :param work_s: service time of a request at a cold upstream.
    :param warm_part: fraction of this time at a warm upstream.
    """

    per_s: tuple[float, ...]
    phase_s: float = 5.0
    hosts: int = 7
    upstreams: int = 14
    slots: int = 6
    queue: int = 18
    objects: int = 66
    work_s: float = 0.36
    warm_part: float = 0.3
    target_s: float = 0.25
    timeout_s: float = 1.2


@dataclasses.dataclass(slots=True)
class Outcome:
    """Counts of requests and their outcomes in one phase."""

    asked: int = 0
    in_target: int = 0
    late: int = 0
    refused: int = 0
    rejected: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """A request of a caller."""

    host: int
    object_key: str
    asked_at: float
    phase: int
    selected: SelectedUpstream | None = None
    sent_at: float = 0


class UpstreamModel:
    """An upstream with a FIFO queue."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.running = 0
        self.waiting: collections.deque[Job] = collections.deque()
        self.warm_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def work_s(self, job: Job, rng: random.Random) -> float:
        """Return the service time of a job and mark its object as warm."""
        part = self.load.warm_part if job.object_key in self.warm_objects else 1
        self.warm_objects[job.object_key] = None
        self.warm_objects.move_to_end(job.object_key)
        return self.load.work_s * part * rng.lognormvariate(0, 0.15)


class Model:
    """One simulation run."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.now = 0.0
        self.records = [
            Upstream(f'u{n}', 1, 's', '', 0, 'd', 'r', load.slots)
            for n in range(load.upstreams)
        ]
        self.servers = {row.name: UpstreamModel(load) for row in self.records}
        self.views = [
            {row.name: UpstreamLoad(row) for row in self.records}
            for _ in range(load.hosts)
        ]
        self.service_times = [
            ServiceTimes.from_target(load.target_s, load.timeout_s)
            for _ in range(load.hosts)
        ]
        self.orders: dict[str, tuple[str, ...]] = {}
        self.outcomes = [Outcome() for _ in load.per_s]

    def run(self) -> list[Outcome]:
        """Run all phases."""
        for phase, per_s in enumerate(self.load.per_s):
            at = phase * self.load.phase_s
            end = at + self.load.phase_s
            while at < end:
                at += self.rng.expovariate(per_s)
                self.schedule(at, Arrival(self, phase).send_request)
        while self.events:
            when, _, action = heapq.heappop(self.events)
            self.now = when
            action()
        return self.outcomes

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.event_numbers), action))

    def ordered_loads(self, object_key: str, host: int) -> list[UpstreamLoad]:
        """Return a host's upstream loads in the object's rendezvous order."""
        if object_key not in self.orders:
            ordered = rendezvous_order(object_key, self.records)
            self.orders[object_key] = tuple(row.name for row in ordered)
        views = self.views[host]
        return [views[name] for name in self.orders[object_key]]

    def place_job(self, job: Job) -> None:
        """Choose an upstream for a job and send it there."""
        selector = UpstreamSelector(
            job.object_key,
            RoundTrips(),
            self.service_times[job.host],
            self.load.target_s,
            self.load.timeout_s,
            True,
            self.now,
        )
        selected = selector.choose(self.ordered_loads(job.object_key, job.host))
        outcome = self.outcomes[job.phase]
        if not isinstance(selected, SelectedUpstream):
            outcome.refused += 1
            return
        job.selected = selected
        job.sent_at = self.now
        selected.load.begin(self.now, job.object_key)
        self.schedule(self.now + ONE_WAY_S, SentJob(self, job).arrive)

    def start_job(self, server: UpstreamModel, job: Job) -> None:
        """Run a job on a free slot."""
        server.running += 1
        ends_at = self.now + server.work_s(job, self.rng)
        self.schedule(ends_at, SentJob(self, job).finish)

    def answer(self, job: Job, server: UpstreamModel, *, ran: bool) -> None:
        """Deliver the answer of an upstream to host and caller."""
        selected = job.selected
        if selected is None:
            return
        report = LoadReport(
            server.running,
            len(server.waiting),
            self.load.slots,
        )
        kind = ObservationKind.OK if ran else ObservationKind.SHED
        selected.load.finish(kind, self.now)
        selected.load.record_report(report, self.now)
        outcome = self.outcomes[job.phase]
        if not ran:
            outcome.rejected += 1
            return
        response_s = self.now - job.sent_at
        if selected.has_free_slot:
            self.service_times[job.host].add(response_s, warm=selected.is_warm)
        selected.load.record_response(
            job.object_key,
            response_s,
            selected.expected_s,
            self.now,
        )
        total_s = self.now - job.asked_at
        if total_s <= self.load.target_s:
            outcome.in_target += 1
        elif total_s <= self.load.timeout_s:
            outcome.late += 1


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that arrives from a caller."""

    model: Model
    phase: int

    def send_request(self) -> None:
        """Request a random object from a random host."""
        model = self.model
        model.outcomes[self.phase].asked += 1
        host = model.rng.randrange(model.load.hosts)
        key = str(model.rng.randrange(model.load.objects))
        model.place_job(Job(host, key, model.now, self.phase))


@dataclasses.dataclass(slots=True)
class SentJob:
    """A job that was sent to its upstream."""

    model: Model
    job: Job

    @property
    def server(self) -> UpstreamModel:
        """Return the upstream."""
        selected = self.job.selected
        name = selected.load.record.name if selected else ''
        return self.model.servers[name]

    def arrive(self) -> None:
        """Run, queue or reject the job."""
        server = self.server
        load = self.model.load
        if server.running < load.slots:
            self.model.start_job(server, self.job)
        elif len(server.waiting) < load.queue:
            server.waiting.append(self.job)
        else:
            self.model.answer(self.job, server, ran=False)

    def finish(self) -> None:
        """Answer the job and start the next one."""
        server = self.server
        server.running -= 1
        if server.waiting:
            self.model.start_job(server, server.waiting.popleft())
        self.model.answer(self.job, server, ran=True)


def simulate(load: Load, seed: int = 1) -> list[Outcome]:
    """Simulate a load; the same seed gives the same outcomes."""
    return Model(load, seed).run()


def main() -> None:
    """Print the outcomes of phases below and above the capacity."""
    for outcome in simulate(Load((300, 600, 1000, 1000, 300))):
        print(outcome)


if __name__ == '__main__':
    main()
