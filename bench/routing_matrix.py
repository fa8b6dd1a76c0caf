"""Matrix of upstream faults and steps: ``python -m bench.routing_matrix``.

Each cell brings one fault at one step of one request, keeps a steady flow
of other requests going in virtual time, ends the fault and checks what the
router did. An empty cell or a problem gives exit status 1.
"""

import dataclasses
import functools
import heapq
import itertools
import random
import sys
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType

import msgspec
from result import Err, Ok, Result

from bench.routing import SERVICE, SLOTS, all_records, make_environment
from egretmill.document import Drain, Environment
from egretmill.errors import Failure
from egretmill.routing import (
    Decision,
    Observation,
    RetryBudget,
    Router,
    UpstreamTable,
    get_policy,
)
from egretmill.routing.router import NONE_TRIED
from egretmill.wire.messages import UpstreamRecord

STEPS = ('before choice', 'chosen', 'sent', 'first byte', 'finished')
HOST_DOMAIN = 'd0'
POLICY = 'least-load-latency'
WARM_UP_S = 5.0
FAULT_S = 20.0
AFTER_S = 40.0
TICK_S = 0.1
REPORT_EVERY_S = 0.5
USUAL_S = 0.1
SLOW_S = 1.0
SILENT_S = 1.0
#: A leaving upstream gets no new work after this time (target).
DRAIN_LIMIT_S = 3.0
#: New requests to a lost upstream after it is known: the probes at 0.5, 1,
#: 2, 4 and 8 s.
MOST_PROBES = 6
#: Longest time until a returned upstream gets work: the longest backoff and
#: one probe.
RETURN_LIMIT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of upstreams and what is expected of the router.

    :param victims: prefix of the names of the upstreams concerned.
    :param answer: seconds and kind of a request during the fault.
    :param sent: kind that ends a request which was already sent.
    :param streaming: kind that ends a request after its first byte.
    :param most_new: most new requests to the victims after the limit.
    :param below_fair: the victim gets less than its part of the requests.
    """

    name: str
    victims: str = 'd0-0'
    answer: tuple[float, str] = (USUAL_S, 'ok')
    sent: str = 'ok'
    streaming: str = 'ok'
    most_new: int | None = None
    below_fair: bool = False
    drain: str = ''
    reports: bool = True
    reports_idle: bool = False


REFUSED = (0.001, 'refused')
LOST = functools.partial(
    Fault,
    answer=REFUSED,
    sent='failed',
    streaming='failed',
    most_new=MOST_PROBES,
    reports=False,
)
FAULTS: Mapping[str, Fault] = MappingProxyType(
    {
        fault.name: fault
        for fault in (
            LOST('killed'),
            Fault(
                'silent',
                answer=(SILENT_S, 'timeout'),
                sent='timeout',
                streaming='timeout',
                most_new=MOST_PROBES,
            ),
            Fault(
                'slow, reports idle',
                answer=(SLOW_S, 'ok'),
                below_fair=True,
                reports_idle=True,
            ),
            Fault(
                'sheds',
                answer=(0.002, 'shed'),
                sent='shed',
                below_fair=True,
            ),
            Fault('drained by document', most_new=0, drain='document'),
            Fault('drained by host list', most_new=0, drain='host list'),
            Fault(
                'drained by own answer',
                answer=(USUAL_S, 'draining'),
                sent='draining',
                streaming='draining',
                most_new=0,
                drain='replaced after',
            ),
            Fault(
                'cold',
                answer=(USUAL_S * 4, 'ok'),
                sent='failed',
                streaming='failed',
                below_fair=True,
                drain='replaced',
            ),
            Fault('reports stopped', reports=False),
            LOST('whole site lost', victims='d0', most_new=3 * MOST_PROBES),
            LOST('region lost', victims='d', most_new=6 * MOST_PROBES),
            Fault('link down', victims='d2', most_new=0, drain='link'),
        )
    }
)


@dataclasses.dataclass(slots=True)
class Cell:
    """Result of one cell."""

    fault: str
    step: str
    request: str = ''
    new_work: int = 0
    back_s: float | None = None
    problems: list[str] = dataclasses.field(default_factory=list)

    def __str__(self) -> str:
        """Return the text of the cell, empty when nothing was observed."""
        if not self.request:
            return ''
        if self.problems:
            return f'PROBLEM {"; ".join(self.problems)}'
        back = '-' if self.back_s is None else f'{self.back_s:.1f}'
        return f'{self.request}, {self.new_work}, {back}'


class MatrixLimits:
    """Slots and link of the world."""

    def __init__(self, world: 'World') -> None:
        self.world = world

    def free_slots(self, service: str, site: str, now: float) -> int:
        """Return the free slots; a link fault needs the far sites."""
        if self.world.fault.drain == 'link' and site in {'d0', 'd1'}:
            return 0
        return 2 * SLOTS - self.world.table.in_flight(service, site)

    def allows_shift(self, from_site: str, to_site: str, now: float) -> bool:
        """Allow every shift."""
        return True

    def allows_link(
        self,
        from_region: str,
        to_region: str,
        now: float,
    ) -> bool:
        """Tell whether the link works."""
        return not (self.world.fault.drain == 'link' and self.world.active)


class World:
    """One deciding host, its upstreams and a flow of requests."""

    def __init__(self, fault: Fault, seed: int) -> None:
        self.fault = fault
        self.now = 0.0
        self.active = False
        self.environment = make_environment()
        self.records = all_records()
        self.table = UpstreamTable()
        self.limits = MatrixLimits(self)
        self.budget = RetryBudget()
        policy = get_policy(POLICY).unwrap()
        rng = random.Random(seed)
        self.router = Router(self.table, HOST_DOMAIN, policy, rng, 0)
        self.running: list[tuple[float, int, str, Observation]] = []
        self.sequence = itertools.count()
        self.log: list[tuple[float, str]] = []
        self.apply()

    def apply(self) -> None:
        """Give document and host list to the table."""
        self.table.apply(self.environment, self.records, self.now)

    def is_victim(self, name: str) -> bool:
        """Tell whether the fault concerns an upstream."""
        if self.fault.name == 'region lost':
            return name.startswith(('d0', 'd1'))
        return name.startswith(self.fault.victims)

    def victim(self) -> str:
        """Return the first upstream that the fault concerns."""
        return next(
            row.name for row in self.records if self.is_victim(row.name)
        )

    def switch_fault(self, *, active: bool) -> None:
        """Begin or end the fault."""
        self.active = active
        name = self.victim()
        if self.fault.drain == 'document':
            self.environment = drained(name if active else '')
        self.records = tuple(
            self.changed(row) if row.name == name else row
            for row in self.records
        )
        self.apply()

    def changed(self, record: UpstreamRecord) -> UpstreamRecord:
        """Return the victim's entry of the host list."""
        if self.fault.drain == 'host list':
            state = 'leaving' if self.active else 'live'
            return msgspec.structs.replace(record, state=state)
        # The next process of the name is listed at another port. It is cold,
        # or it ends the drain that the last process announced.
        replaced = self.fault.drain == 'replaced' and self.active
        ended = self.fault.drain == 'replaced after' and not self.active
        if replaced or ended:
            return msgspec.structs.replace(record, port=record.port + 1)
        return record

    def answer(self, name: str) -> Observation:
        """Return how a request that begins now will end."""
        if self.active and self.is_victim(name):
            return Observation(*self.fault.answer)
        return Observation(USUAL_S, 'ok')

    def begin(self, name: str) -> None:
        """Send a request of the steady flow."""
        self.table.begin(name, self.now)
        self.log.append((self.now, name))
        end = self.answer(name)
        item = (self.now + end.latency_s, next(self.sequence), name, end)
        heapq.heappush(self.running, item)

    def run(self, duration_s: float) -> None:
        """Let the steady flow go on."""
        ticks = round(duration_s / TICK_S)
        for tick in range(ticks):
            self.now += TICK_S
            self.finish_due()
            if not tick % round(REPORT_EVERY_S / TICK_S):
                self.send_reports()
            self.budget.record_request(SERVICE, self.now)
            chosen = self.choose()
            if isinstance(chosen, Ok):
                self.begin(chosen.ok_value.upstream.name)

    def choose(
        self,
        exclude: frozenset[str] = NONE_TRIED,
    ) -> Result[Decision, Failure]:
        """Choose for one request."""
        return self.router.choose(
            SERVICE, self.environment, self.limits, self.now, exclude
        )

    def finish_due(self) -> None:
        """End the requests that are due."""
        while self.running and self.running[0][0] <= self.now:
            end_at, _, name, end = heapq.heappop(self.running)
            self.table.finish(name, end, end_at)

    def send_reports(self) -> None:
        """Report the load of each upstream."""
        for name, view in self.table.views.items():
            struck = self.active and self.is_victim(name)
            if struck and not self.fault.reports:
                continue
            idle = struck and self.fault.reports_idle
            running = 0 if idle else view.in_flight
            self.table.record_report(name, running, False, self.now)


def drained(name: str) -> Environment:
    """Return the environment with a planned drain of an upstream."""
    environment = make_environment()
    drains = (Drain('upstream', name),) if name else ()
    document = msgspec.structs.replace(environment.document, drains=drains)
    return Environment(document, environment.body, 1)


def run_cell(fault_name: str, step: str, seed: int = 1) -> Cell:
    """Run one cell and check it."""
    fault = FAULTS[fault_name]
    world = World(fault, seed)
    cell = Cell(fault_name, step)
    world.run(WARM_UP_S)
    world.log.clear()
    begun_at = world.now
    _bring_fault(world, cell)
    world.run(FAULT_S)
    cell.problems.extend(_check_fault(world, cell, begun_at))
    world.switch_fault(active=False)
    ended_at = world.now
    world.run(AFTER_S)
    cell.problems.extend(_check_return(world, cell, ended_at))
    world.now += SILENT_S
    world.finish_due()
    if any(view.in_flight for view in world.table.views.values()):
        cell.problems.append('requests in flight are left over')
    return cell


def _bring_fault(world: World, cell: Cell) -> None:
    """Bring the fault at the step of a request to the victim."""
    if cell.step == 'before choice':
        world.switch_fault(active=True)
        cell.request = _first_choice(world)
        return
    name = world.victim()
    if cell.step != 'chosen':
        world.table.begin(name, world.now)
    if cell.step == 'finished':
        end = Observation(USUAL_S, 'ok')
        world.table.finish(name, end, world.now)
        world.switch_fault(active=True)
        cell.request = 'ok'
        return
    world.switch_fault(active=True)
    if cell.step == 'chosen':
        world.table.begin(name, world.now)
    latency_s, answer = world.fault.answer
    kinds = {
        'chosen': answer,
        'sent': world.fault.sent,
        'first byte': world.fault.streaming,
    }
    kind = kinds[cell.step]
    world.now += latency_s
    world.finish_due()
    world.table.finish(name, Observation(latency_s, kind), world.now)
    cell.request = _outcome(world, cell, name, kind)


def _first_choice(world: World) -> str:
    chosen = world.choose()
    if isinstance(chosen, Err):
        return str(chosen.err_value.kind)
    name = chosen.ok_value.upstream.name
    return 'victim' if world.is_victim(name) else 'other'


def _outcome(world: World, cell: Cell, name: str, kind: str) -> str:
    """Return what the caller gets; an idempotent request is retried."""
    if kind == 'ok' or cell.step == 'first byte':
        return kind
    if not world.budget.try_spend(SERVICE, world.now):
        cell.problems.append('no retry budget after 5 s of requests')
    retried = world.choose(frozenset((name,)))
    if isinstance(retried, Err):
        return f'{kind}, {retried.err_value.kind}'
    if retried.ok_value.upstream.name == name:
        cell.problems.append('retry at the same upstream')
    return f'{kind}, retried'


def _check_fault(
    world: World,
    cell: Cell,
    begun_at: float,
) -> Iterator[str]:
    fault = world.fault
    known_at = begun_at + DRAIN_LIMIT_S
    work = [name for at, name in world.log if at > known_at]
    cell.new_work = sum(world.is_victim(name) for name in work)
    if fault.most_new is not None and cell.new_work > fault.most_new:
        yield f'{cell.new_work} new requests, {fault.most_new} allowed'
    local = [name for name in work if name.startswith(HOST_DOMAIN)]
    fair = len(local) / 3
    if fault.below_fair and cell.new_work >= fair:
        yield f'{cell.new_work} new requests, fair part {fair:.0f}'
    expected = fault.drain != 'link'
    if bool(work) != expected:
        yield f'{len(work)} requests were sent during the fault'


def _check_return(
    world: World,
    cell: Cell,
    ended_at: float,
) -> Iterator[str]:
    times = [
        at - ended_at
        for at, name in world.log
        if at > ended_at and world.is_victim(name)
    ]
    if not times:
        yield 'no work after the fault'
        return
    cell.back_s = times[0]
    if cell.back_s > RETURN_LIMIT_S:
        yield f'back after {cell.back_s:.1f} s'
    last_s = AFTER_S - REPORT_EVERY_S
    if times[-1] < last_s:
        yield 'not in steady use after the fault'


def cells() -> Iterator[Cell]:
    """Yield every cell of the matrix."""
    for fault in FAULTS:
        for step in STEPS:
            yield run_cell(fault, step)


def main(write: Callable[[str], object] = print) -> int:
    """Print the matrix; each cell has outcome, new work and return."""
    write(
        'outcome of the request, new requests to the upstream later than '
        + f'{DRAIN_LIMIT_S:.0f} s after the fault began, seconds until its '
        + 'first request after the fault'
    )
    write(f'{"fault":<24}{"".join(f"{step:<32}" for step in STEPS)}')
    bad = 0
    rows = itertools.groupby(cells(), key=lambda cell: cell.fault)
    for fault, row in rows:
        texts = []
        for cell in row:
            text = str(cell)
            bad += not text or bool(cell.problems)
            texts.append(f'{text or "EMPTY":<32}')
        write(f'{fault:<24}{"".join(texts)}')
    write(f'{len(FAULTS) * len(STEPS)} cells, {bad} empty or with a problem')
    return int(bad > 0)


if __name__ == '__main__':
    sys.exit(main())
