"""Model of hosts that place requests on shared upstreams, in virtual time.

Upstreams have slots, a queue, a memory of objects and reject what exceeds
their queue. Hosts know only their own requests and the load in responses.
Times are seconds.
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
    SelectedUpstream,
    ServiceTimes,
    UpstreamLoad,
    UpstreamSelector,
    rendezvous_order,
)
from egretmill.placement.observations import ObservationKind

__all__ = ('Load', 'Outcome', 'play')

TRIP_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What callers ask of one service.

    :param per_s: requests per second in each of the phases.
    :param phase_s: length of a phase.
    :param work_s: work of a request at a cold upstream.
    :param warm_part: part of the work that is left at a warm one.
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
    """What callers got in one phase."""

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
    placed: SelectedUpstream | None = None
    sent_at: float = 0


class Server:
    """An upstream with a first-come queue."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.running = 0
        self.waiting: collections.deque[Job] = collections.deque()
        self.known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def work_s(self, job: Job, rng: random.Random) -> float:
        """Return the work of a job and remember its object."""
        part = self.load.warm_part if job.object_key in self.known else 1
        self.known[job.object_key] = None
        self.known.move_to_end(job.object_key)
        return self.load.work_s * part * rng.lognormvariate(0, 0.15)


class Model:
    """One run."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.now = 0.0
        self.records = [
            Upstream(f'u{n}', 1, 's', '', 0, 'd', 'r', load.slots)
            for n in range(load.upstreams)
        ]
        self.servers = {row.name: Server(load) for row in self.records}
        self.views = [
            {row.name: UpstreamLoad(row) for row in self.records}
            for _ in range(load.hosts)
        ]
        self.times = [
            ServiceTimes.from_target(load.target_s, load.timeout_s)
            for _ in range(load.hosts)
        ]
        self.orders: dict[str, tuple[str, ...]] = {}
        self.outcomes = [Outcome() for _ in load.per_s]

    def run(self) -> list[Outcome]:
        """Play all phases."""
        for phase, per_s in enumerate(self.load.per_s):
            at = phase * self.load.phase_s
            end = at + self.load.phase_s
            while at < end:
                at += self.rng.expovariate(per_s)
                self.at(at, Arrival(self, phase).ask)
        while self.events:
            when, _, call = heapq.heappop(self.events)
            self.now = when
            call()
        return self.outcomes

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.order), call))

    def order_of(self, object_key: str, host: int) -> list[UpstreamLoad]:
        """Return a host's views in the order of an object."""
        if object_key not in self.orders:
            ordered = rendezvous_order(object_key, self.records)
            self.orders[object_key] = tuple(row.name for row in ordered)
        views = self.views[host]
        return [views[name] for name in self.orders[object_key]]

    def place(self, job: Job) -> None:
        """Let a host decide."""
        placement = UpstreamSelector(
            job.object_key,
            'r',
            self.times[job.host],
            self.load.target_s,
            self.load.timeout_s,
            True,
            self.now,
        )
        placed = placement.choose(self.order_of(job.object_key, job.host))
        outcome = self.outcomes[job.phase]
        if not isinstance(placed, SelectedUpstream):
            outcome.refused += 1
            return
        job.placed = placed
        job.sent_at = self.now
        placed.load.begin(self.now, job.object_key)
        self.at(self.now + TRIP_S, Arrived(self, job).arrive)

    def start(self, server: Server, job: Job) -> None:
        """Run a job on a free slot."""
        server.running += 1
        ends_at = self.now + server.work_s(job, self.rng)
        self.at(ends_at, Arrived(self, job).finish)

    def answer(self, job: Job, server: Server, *, ran: bool) -> None:
        """Tell host and caller."""
        placed = job.placed
        if placed is None:
            return
        report = LoadReport(
            server.running,
            len(server.waiting),
            self.load.slots,
        )
        kind = ObservationKind.OK if ran else ObservationKind.SHED
        placed.load.finish(kind, self.now)
        placed.load.record_report(report, self.now)
        outcome = self.outcomes[job.phase]
        if not ran:
            outcome.rejected += 1
            return
        took_s = self.now - job.sent_at
        if placed.has_free_slot:
            self.times[job.host].add(took_s, warm=placed.is_warm)
        placed.load.record_response(
            job.object_key,
            took_s,
            placed.expected_s,
            self.now,
        )
        total_s = self.now - job.asked_at
        if total_s <= self.load.target_s:
            outcome.in_target += 1
        elif total_s <= self.load.timeout_s:
            outcome.late += 1


@dataclasses.dataclass(slots=True)
class Arrival:
    """A caller that asks."""

    model: Model
    phase: int

    def ask(self) -> None:
        """Ask a random host for a random object."""
        model = self.model
        model.outcomes[self.phase].asked += 1
        host = model.rng.randrange(model.load.hosts)
        key = str(model.rng.randrange(model.load.objects))
        model.place(Job(host, key, model.now, self.phase))


@dataclasses.dataclass(slots=True)
class Arrived:
    """A job at its upstream."""

    model: Model
    job: Job

    @property
    def server(self) -> Server:
        """Return the upstream."""
        placed = self.job.placed
        name = placed.load.record.name if placed else ''
        return self.model.servers[name]

    def arrive(self) -> None:
        """Run, wait or be rejected."""
        server = self.server
        load = self.model.load
        if server.running < load.slots:
            self.model.start(server, self.job)
        elif len(server.waiting) < load.queue:
            server.waiting.append(self.job)
        else:
            self.model.answer(self.job, server, ran=False)

    def finish(self) -> None:
        """Answer and start the next."""
        server = self.server
        server.running -= 1
        if server.waiting:
            self.model.start(server, server.waiting.popleft())
        self.model.answer(self.job, server, ran=True)


def play(load: Load, seed: int = 1) -> list[Outcome]:
    """Play a load; the same seed gives the same outcome."""
    return Model(load, seed).run()


def main() -> None:
    """Print the outcome of a calm and an overloaded service."""
    for outcome in play(Load((300, 600, 1000, 1000, 300))):
        print(outcome)


if __name__ == '__main__':
    main()
