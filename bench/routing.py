"""Compare routing policies in virtual time: ``python -m bench.routing``.

Seven hosts, each with its own upstream table and a static share of the slots,
send the same traces to simple models of upstreams. Durations are in seconds.
The baseline chooses a random site and a random upstream and retries without a
budget.
"""

import argparse
import collections
import dataclasses
import functools
import heapq
import itertools
import random
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor

import msgspec
from hdrh.histogram import HdrHistogram
from result import Err, Ok, Result

from egretmill.admission import FairQueue, QueuedRequest, TransientFailure
from egretmill.admission.entry import Outcome
from egretmill.document import Environment
from egretmill.errors import ErrorKind, Failure
from egretmill.routing import (
    POLICIES,
    Decision,
    Observation,
    RetryBudget,
    Router,
    UpstreamTable,
    get_policy,
)
from egretmill.wire.messages import UpstreamRecord

BASELINE = 'baseline'
SERVICE = 'board'
LOADS = (0.5, 0.8, 1.0, 1.5)
CASES = (
    'plain',
    'region lost',
    'cold sites',
    'slow, reports idle',
    'one sheds',
    'site sheds',
)
DURATION_S = 24.0
#: Begin and end of faults.
FAULT_INTERVAL_S = (6.0, 14.0)
DRAIN_AT_S = 16.0
WARM_UP_S = 2.0
WORKERS = (3, 3, 2, 2, 2, 2)
SLOTS = 6
DOMAINS = tuple(f'd{number}' for number in range(len(WORKERS)))
#: Domain of each host; the first domain has two.
HOSTS = (0, 0, 1, 2, 3, 4, 5)
REGIONS = ('r0', 'r1', 'r2')
LOST_REGION = 'r2'
OWN_DOMAIN_PART = 0.6
SAME_REGION_S = 0.0005
OTHER_REGION_S = 0.02
CLIENT_LATENCY_S = 0.003
CONNECT_S = 0.001
MEDIAN_SERVICE_S = 0.15
SIGMA = 0.6
TAIL_PART = 0.02
TAIL_FACTOR = 6.0
DEADLINE_S = 3.0
REPORT_INTERVAL_S = 0.5
COLD_FACTOR = 4.0
COLD_DURATION_S = 5.0
SLOW_FACTOR = 5.0
SHED_PART = 0.7
IDEMPOTENT_PART = 0.8
MAX_RETRIES = 2
SHIFT_RATE = 50.0
QUEUE_CAPACITY = 300
#: Fraction of the offered load that each account sends. The last one sends 4
#: times its rate limit.
ACCOUNTS = {
    'large-1': 0.25,
    'large-2': 0.25,
    'small-1': 0.08,
    'small-2': 0.08,
    'small-3': 0.08,
    'small-4': 0.08,
    'small-5': 0.08,
    'excess': 0.1,
}
EXCESS_FACTOR = 4
RATE_MARGIN = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace."""

    at: float
    host: int
    account: str
    service_s: float
    idempotent: bool


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket."""

    rate: float
    burst: float
    tokens: float
    updated_at: float = 0

    def wait_s(self, now: float) -> float:
        """Refill; return the time until a token is available, or 0."""
        gained = (now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_at = now
        return max(0, (1 - self.tokens) / self.rate)

    def take(self) -> None:
        """Take a token."""
        self.tokens -= 1


@dataclasses.dataclass(slots=True)
class RunResults:
    """Results of one run."""

    latency: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, 60000, 3),
    )
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    served_at: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    refusal_kinds: collections.Counter = dataclasses.field(
        default_factory=collections.Counter,
    )
    min_free_slots: float = SLOTS * sum(WORKERS)
    slots_exceeded: int = 0
    shifts_over_cap: int = 0
    attempts: int = 0
    retries_in_shed: int = 0
    requests_in_shed: int = 0
    last_drain_s: float = 0
    choose_s: float = 0
    choices: int = 0


class Simulation:
    """Clock, events, upstreams and hosts of one run."""

    def __init__(
        self,
        case: str,
        policy: str,
        trace: list[Arrival],
        seed: int,
    ) -> None:
        self.case = case
        self.policy = policy
        self.trace = trace
        self.rng = random.Random(seed)
        self.is_fifo = False
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.results = RunResults()
        self.upstreams = {
            record.name: Upstream(self, record) for record in all_records()
        }
        self.environment = make_environment()
        self.hosts = [Host(self, number) for number in range(len(HOSTS))]
        self.sent: collections.Counter = collections.Counter()

    def schedule_after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        event = (self.now + delay_s, next(self.sequence), call)
        heapq.heappush(self.events, event)

    def is_fault_active(self) -> bool:
        """Return whether the fault of the case is active."""
        return FAULT_INTERVAL_S[0] <= self.now < FAULT_INTERVAL_S[1]

    def run(self) -> RunResults:
        """Run the trace and return the figures."""
        for arrival in self.trace:
            host = self.hosts[arrival.host]
            self.schedule_after(
                arrival.at, functools.partial(host.arrive, arrival)
            )
        self.schedule_after(0, self.sample)
        for number, upstream in enumerate(self.upstreams.values()):
            self.schedule_after(number * 0.03, upstream.send_report)
        self.schedule_after(FAULT_INTERVAL_S[0], self.start_fault)
        self.schedule_after(FAULT_INTERVAL_S[1], self.end_fault)
        self.schedule_after(DRAIN_AT_S, self.start_drain)
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[2]()
        return self.results

    def start_fault(self) -> None:
        """Begin the fault of the case."""
        if self.case == 'region lost':
            for upstream in self.upstreams.values():
                if upstream.region == LOST_REGION:
                    upstream.kill()
        if self.case == 'cold sites':
            for host in self.hosts:
                host.apply(all_records())

    def end_fault(self) -> None:
        """End the fault of the case."""
        if self.case == 'region lost':
            for upstream in self.upstreams.values():
                upstream.alive = True

    def start_drain(self) -> None:
        """Drain one upstream; the hosts get their new lists later."""
        leaving = next(iter(self.upstreams.values()))
        leaving.draining = True
        records = all_records('leaving')
        for number, host in enumerate(self.hosts):
            delay_s = 1 + number * 0.25
            self.schedule_after(delay_s, functools.partial(host.apply, records))

    def sample(self) -> None:
        """Record the least number of free slots of any region."""
        if self.now > DURATION_S:
            return
        slots: collections.Counter = collections.Counter()
        used: collections.Counter = collections.Counter()
        for name, upstream in self.upstreams.items():
            slots[upstream.region] += SLOTS
            used[upstream.region] += self.sent[name]
        free = min(slots[region] - used[region] for region in REGIONS)
        if self.now > WARM_UP_S:
            results = self.results
            results.min_free_slots = min(results.min_free_slots, free)
            results.slots_exceeded = max(results.slots_exceeded, -free)
        self.schedule_after(0.05, self.sample)


class Upstream:
    """Model of an upstream with slots, a short queue and faults."""

    def __init__(self, simulation: Simulation, record: UpstreamRecord) -> None:
        self.simulation = simulation
        self.record = record
        self.region = region_of(record.site)
        self.running: dict[Call, None] = {}
        self.queue: collections.deque[Call] = collections.deque()
        self.alive = True
        self.draining = False

    def arrive(self, call: 'Call') -> None:
        """Run, queue or refuse a request."""
        if self.draining:
            delay_s = self.simulation.now - DRAIN_AT_S
            results = self.simulation.results
            results.last_drain_s = max(results.last_drain_s, delay_s)
        refusal = self.refusal()
        if refusal:
            call.answer(refusal)
        elif len(self.running) < SLOTS:
            self.start(call)
        else:
            self.queue.append(call)

    def refusal(self) -> str:
        """Return how a request is refused now; empty if it is accepted."""
        if not self.alive:
            return 'refused'
        if self.draining:
            return 'draining'
        return 'shed' if self.should_shed() else ''

    def should_shed(self) -> bool:
        """Return whether the next request is shed."""
        simulation = self.simulation
        if len(self.queue) >= SLOTS:
            return True
        if not simulation.is_fault_active():
            return False
        name = self.record.name
        if simulation.case == 'one sheds' and name.startswith('d1-0'):
            return simulation.rng.random() < SHED_PART
        return simulation.case == 'site sheds' and name.startswith('d1-')

    def start(self, call: 'Call') -> None:
        """Run a request."""
        self.running[call] = None
        service_s = call.arrival.service_s * self.slowdown()
        on_complete = functools.partial(self.complete, call)
        self.simulation.schedule_after(service_s, on_complete)

    def slowdown(self) -> float:
        """Return the factor by which service times are longer than usual."""
        simulation = self.simulation
        name = self.record.name
        if (
            simulation.case == 'slow, reports idle'
            and simulation.is_fault_active()
        ):
            return SLOW_FACTOR if name.startswith('d1-0') else 1
        if simulation.case == 'cold sites' and name[:2] in {'d2', 'd3'}:
            left_s = FAULT_INTERVAL_S[0] + COLD_DURATION_S - simulation.now
            return 1 + (COLD_FACTOR - 1) * max(0, left_s / COLD_DURATION_S)
        return 1

    def complete(self, call: 'Call') -> None:
        """Answer a request and start the next one."""
        if call not in self.running:
            return
        self.running.pop(call)
        call.answer('ok')
        if self.queue:
            self.start(self.queue.popleft())

    def cancel(self, call: 'Call') -> None:
        """Drop a request whose caller no longer waits."""
        if call in self.queue:
            self.queue.remove(call)
        if call in self.running:
            self.running.pop(call)
            if self.queue:
                self.start(self.queue.popleft())

    def kill(self) -> None:
        """Stop the upstream; all its requests fail."""
        self.alive = False
        calls = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        for call in calls:
            call.answer('failed')

    def send_report(self) -> None:
        """Send the load to every host with a random delay."""
        simulation = self.simulation
        if simulation.now > DURATION_S:
            return
        count = len(self.running) + len(self.queue)
        if self.slowdown() == SLOW_FACTOR:
            count = 0
        for host in simulation.hosts:
            if self.alive:
                lag_s = simulation.rng.uniform(0.02, 0.6)
                report = functools.partial(self.deliver_report, host, count)
                simulation.schedule_after(lag_s, report)
        simulation.schedule_after(REPORT_INTERVAL_S, self.send_report)

    def deliver_report(self, host: 'Host', count: int) -> None:
        """Deliver a load report."""
        now = self.simulation.now
        host.table.record_report(self.record.name, count, False, now)


@dataclasses.dataclass(eq=False, slots=True)
class Call:
    """One attempt of a request at an upstream."""

    host: 'Host'
    arrival: Arrival
    decision: Decision
    tried: frozenset[str]
    started_at: float
    done: bool = False

    @property
    def name(self) -> str:
        """Return the name of the upstream."""
        return self.decision.upstream.name

    @property
    def delay_s(self) -> float:
        """Return the one-way latency."""
        if self.decision.crosses_regions:
            return OTHER_REGION_S
        return SAME_REGION_S

    def answer(self, kind: str) -> None:
        """Send an answer back to the host."""
        deliver_answer = functools.partial(self.host.finish, self, kind)
        self.host.simulation.schedule_after(self.delay_s, deliver_answer)


class RandomRouter:
    """The baseline: a random site with free slots, a random upstream."""

    def __init__(self, table: UpstreamTable, rng: random.Random) -> None:
        self.table = table
        self.rng = rng

    def choose(
        self,
        service: str,
        environment: Environment,
        limits: 'StaticLimits',
        now: float,
        exclude: frozenset[str],
    ) -> Result[Decision, Failure]:
        """Choose at random among listed upstreams that do not drain."""
        domain = DOMAINS[HOSTS[limits.host.number]]
        sites = [
            site
            for site in DOMAINS
            if limits.free_slots(service, site, now) > 0
        ]
        self.rng.shuffle(sites)
        for site in sites:
            views = [
                view
                for view in self.table.upstreams_at(service, site)
                if not view.drains and view.record.name not in exclude
            ]
            if views:
                record = self.rng.choice(views).record
                regions = region_of(domain), region_of(site)
                return Ok(
                    Decision(
                        service, site, record, BASELINE, domain, *regions, ()
                    )
                )
        return Err(Failure(ErrorKind.OVERLOADED))


class StaticLimits:
    """A static share of the slots and of the shift cap for one host."""

    def __init__(self, host: 'Host') -> None:
        self.host = host
        self.used: collections.Counter = collections.Counter()
        self.shares = {
            site: static_slot_shares()[site, host.number] for site in DOMAINS
        }
        rate = SHIFT_RATE / len(HOSTS)
        pairs = itertools.permutations(DOMAINS, 2)
        self.shifts = {pair: TokenBucket(rate, rate, rate) for pair in pairs}

    def free_slots(self, service: str, site: str, now: float) -> int:
        """Return the unused slots of the share."""
        return self.shares[site] - self.used[site]

    def allows_shift(self, from_site: str, to_site: str, now: float) -> bool:
        """Return whether the share of the shift cap allows a request."""
        return not self.shifts[from_site, to_site].wait_s(now)

    def take_shift(self, decision: Decision, now: float) -> bool:
        """Spend shift quota; return whether the shift was under the cap."""
        if not decision.is_shifted:
            return True
        bucket = self.shifts[decision.preferred, decision.site]
        if bucket.wait_s(now):
            return False
        bucket.take()
        return True

    def allows_link(
        self,
        from_region: str,
        to_region: str,
        now: float,
    ) -> bool:
        """Return true: these requests are far below the link capacity."""
        return True


class Host:
    """A host with admission, routing and retries."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.table = UpstreamTable()
        self.limits = StaticLimits(self)
        self.queue = FairQueue(QUEUE_CAPACITY)
        self.budget = RetryBudget()
        self.buckets: dict[str, TokenBucket] = {}
        self.wake_at = 0.0
        rng = random.Random(number)
        self.router = RandomRouter(self.table, rng)
        if simulation.policy != BASELINE:
            policy = get_policy(simulation.policy).unwrap()
            domain = DOMAINS[HOSTS[number]]
            self.router = Router(self.table, domain, policy, rng, number)
        records = all_records()
        if simulation.case == 'cold sites':
            records = tuple(
                row for row in records if row.site not in {'d2', 'd3'}
            )
        self.apply(records)

    def apply(self, records: tuple[UpstreamRecord, ...]) -> None:
        """Apply a host list to the table."""
        simulation = self.simulation
        self.table.apply(simulation.environment, records, simulation.now)

    def arrive(self, arrival: Arrival) -> None:
        """Queue a new request."""
        now = self.simulation.now
        self.budget.record_request(SERVICE, now)
        results = self.simulation.results
        if self.is_site_shedding(now):
            results.requests_in_shed += 1
        attempt = functools.partial(self.attempt, arrival, frozenset())
        expected_s = self.table.expected_latency_s(SERVICE)
        account = 'all' if self.simulation.is_fifo else arrival.account
        waiting = QueuedRequest(
            SERVICE, account, now + DEADLINE_S, attempt, 1, expected_s
        )
        self.count_queue_refusals(self.queue.push(waiting, now))
        self.serve()

    def is_site_shedding(self, now: float) -> bool:
        """Return whether a whole site sheds load now."""
        simulation = self.simulation
        return simulation.case == 'site sheds' and simulation.is_fault_active()

    def attempt(
        self,
        arrival: Arrival,
        tried: frozenset[str],
        now: float,
    ) -> Result[object, Failure]:
        """Reserve what a request needs and send it."""
        bucket = self.bucket(arrival.account)
        wait_s = bucket.wait_s(now)
        if wait_s and not tried:
            return Err(TransientFailure(ErrorKind.RATE_LIMITED, '', wait_s))
        started_at = time.perf_counter()
        chosen = self.router.choose(
            SERVICE, self.simulation.environment, self.limits, now, tried
        )
        self.simulation.results.choose_s += time.perf_counter() - started_at
        self.simulation.results.choices += 1
        if isinstance(chosen, Err):
            return chosen
        if not tried:
            bucket.take()
        self.send(arrival, chosen.ok_value, tried)
        return Ok(None)

    def bucket(self, account: str) -> TokenBucket:
        """Return this host's share of an account's token bucket."""
        if account not in self.buckets:
            offered = ACCOUNTS[account] * capacity_rate() / len(HOSTS)
            rate = offered * RATE_MARGIN * max(LOADS)
            if account == 'excess':
                rate = excess_rate(self.simulation.trace) / len(HOSTS)
            burst = max(1, rate)
            self.buckets[account] = TokenBucket(rate, burst, burst)
        return self.buckets[account]

    def send(
        self,
        arrival: Arrival,
        decision: Decision,
        tried: frozenset[str],
    ) -> None:
        """Send a request to the chosen upstream."""
        simulation = self.simulation
        now = simulation.now
        call = Call(self, arrival, decision, tried, now)
        self.limits.used[decision.site] += 1
        simulation.sent[call.name] += 1
        if not self.limits.take_shift(decision, now):
            simulation.results.shifts_over_cap += 1
        self.table.begin(call.name, now)
        simulation.results.attempts += 1
        upstream = simulation.upstreams[call.name]
        arrive = functools.partial(upstream.arrive, call)
        simulation.schedule_after(call.delay_s + CONNECT_S, arrive)
        left_s = arrival.at + DEADLINE_S - now
        simulation.schedule_after(
            left_s, functools.partial(self.time_out, call)
        )

    def time_out(self, call: Call) -> None:
        """End an attempt that has reached its deadline."""
        if not call.done:
            self.simulation.upstreams[call.name].cancel(call)
            self.finish(call, 'timeout')

    def finish(self, call: Call, kind: str) -> None:
        """Record the end of an attempt; answer or retry."""
        if call.done:
            return
        call.done = True
        now = self.simulation.now
        self.limits.used[call.decision.site] -= 1
        self.simulation.sent[call.name] -= 1
        observation = Observation(now - call.started_at, kind)
        self.table.finish(call.name, observation, now)
        if kind == 'ok':
            self.count_served(call.arrival)
        elif not self.retry(call, kind):
            self.count_refused(call.arrival, kind)
        self.queue.unblock()
        self.serve()

    def retry(self, call: Call, kind: str) -> bool:
        """Retry if allowed and possible; return whether it was sent."""
        now = self.simulation.now
        tried = call.tried | {call.name}
        if kind == 'timeout' or len(tried) > MAX_RETRIES:
            return False
        if kind == 'failed' and not call.arrival.idempotent:
            return False
        if not self.can_retry(now):
            return False
        sent = isinstance(self.attempt(call.arrival, tried, now), Ok)
        if sent and self.is_site_shedding(now):
            self.simulation.results.retries_in_shed += 1
        return sent

    def can_retry(self, now: float) -> bool:
        """Return whether the budget allows a retry; the baseline has none."""
        if self.simulation.policy == BASELINE:
            return True
        return self.budget.try_spend(SERVICE, now)

    def serve(self) -> None:
        """Serve the queue and schedule its next wake-up."""
        now = self.simulation.now
        self.count_queue_refusals(self.queue.serve(now))
        wake_at = self.queue.next_wake()
        if wake_at is None or now < self.wake_at <= wake_at:
            return
        self.wake_at = wake_at
        self.simulation.schedule_after(max(wake_at - now, 0.0001), self.serve)

    def count_queue_refusals(self, outcomes: list[Outcome]) -> None:
        """Count the requests that the queue refused."""
        for waiting, answer in outcomes:
            if isinstance(answer, Err):
                arrival = waiting.attempt.args[0]
                self.count_refused(arrival, answer.err_value.kind)

    def count_served(self, arrival: Arrival) -> None:
        """Count an answer; record latency of accounts within their rate."""
        if arrival.at < WARM_UP_S:
            return
        results = self.simulation.results
        results.served[arrival.account] += 1
        results.served_at[self.number, arrival.account] += 1
        if arrival.account == 'excess':
            return
        latency_s = self.simulation.now - arrival.at + 2 * CLIENT_LATENCY_S
        results.latency.record_value(max(1, round(latency_s * 1000)))

    def count_refused(self, arrival: Arrival, kind: str) -> None:
        """Count a request without an answer."""
        if arrival.at < WARM_UP_S:
            return
        self.simulation.results.refused[arrival.account] += 1
        self.simulation.results.refusal_kinds[str(kind)] += 1


def region_of(site: str) -> str:
    """Return the region of a site; two domains form a region."""
    return REGIONS[DOMAINS.index(site) // 2]


def all_records(first_state: str = 'live') -> tuple[UpstreamRecord, ...]:
    """Return the host list; ``first_state`` is that of its first entry."""
    names = [
        f'{domain}-{worker}'
        for domain, count in zip(DOMAINS, WORKERS, strict=True)
        for worker in range(count)
    ]
    records = [
        UpstreamRecord(
            name,
            SERVICE,
            name[:2],
            '127.0.0.1',
            1,
            SLOTS,
            330,
        )
        for name in names
    ]
    first = msgspec.structs.replace(records[0], state=first_state)
    return (first, *records[1:])


@functools.cache
def make_environment() -> Environment:
    """Return the environment of the bench."""
    rows = [f'[[regions]]\nname = "{region}"' for region in REGIONS]
    for number, domain in enumerate(DOMAINS):
        shares = HOSTS.count(number)
        rows.append(
            f'[[failure_domains]]\nname = "{domain}"\n'
            + f'region = "{region_of(domain)}"\nshare_slots = {shares}\n'
            + f'[[sites]]\nname = "{domain}"\nfailure_domain = "{domain}"'
        )
    sites = ', '.join(f'"{site}"' for site in DOMAINS)
    rows.append(f'[[services]]\nname = "{SERVICE}"\nsites = [{sites}]')
    body = 'routes = []\n' + '\n'.join(rows)
    return Environment.from_bytes(body.encode()).unwrap()


@functools.cache
def static_slot_shares() -> dict[tuple[str, int], int]:
    """Return the static share of slots of each host at each site."""
    shares: collections.Counter = collections.Counter()
    totals: collections.Counter = collections.Counter()
    remote_slots: list[str] = []
    for number, site in enumerate(DOMAINS):
        local_hosts = [
            host for host, domain in enumerate(HOSTS) if domain == number
        ]
        slots = WORKERS[number] * SLOTS
        own_slots = round(slots * OWN_DOMAIN_PART)
        remote_slots.extend(itertools.repeat(site, slots - own_slots))
        for unit in range(own_slots):
            shares[site, local_hosts[unit % len(local_hosts)]] += 1
            totals[local_hosts[unit % len(local_hosts)]] += 1
    random.Random(0).shuffle(remote_slots)
    for remote_site in remote_slots:
        others = [
            host
            for host, domain in enumerate(HOSTS)
            if DOMAINS[domain] != remote_site
        ]
        # All hosts get the same number of requests, so they need about the
        # same number of slots.
        least_loaded = min(others, key=totals.__getitem__)
        shares[remote_site, least_loaded] += 1
        totals[least_loaded] += 1
    return shares


def draw_service_s(rng: random.Random) -> float:
    """Return a random service time with a long tail."""
    factor = TAIL_FACTOR if rng.random() < TAIL_PART else 1
    return factor * MEDIAN_SERVICE_S * rng.lognormvariate(0, SIGMA)


@functools.cache
def mean_service_s() -> float:
    """Return the mean service time."""
    rng = random.Random(0)
    count = 50000
    return sum(draw_service_s(rng) for _ in range(count)) / count


def capacity_rate() -> float:
    """Return the requests per second that all slots can serve."""
    return SLOTS * sum(WORKERS) / mean_service_s()


def make_trace(load: float, case: str, seed: int) -> list[Arrival]:
    """Return the requests of one load, the same for every policy."""
    rng = random.Random(seed)
    rate = capacity_rate() * load
    trace = []
    at = rng.expovariate(rate)
    while at < DURATION_S:
        host = rng.randrange(len(HOSTS))
        is_region_lost = (
            case == 'region lost'
            and FAULT_INTERVAL_S[0] <= at < FAULT_INTERVAL_S[1]
        )
        while is_region_lost and region_of(DOMAINS[HOSTS[host]]) == LOST_REGION:
            host = rng.randrange(len(HOSTS))
        account = rng.choices(list(ACCOUNTS), list(ACCOUNTS.values()))[0]
        idempotent = rng.random() < IDEMPOTENT_PART
        trace.append(
            Arrival(at, host, account, draw_service_s(rng), idempotent)
        )
        at += rng.expovariate(rate)
    return trace


def fair_shares(demands: dict[str, float], total: float) -> dict[str, float]:
    """Return the max-min fair division of a total."""
    shares = {}
    remaining = total
    ordered = sorted(demands.items(), key=lambda row: row[1])
    for position, (account, demand) in enumerate(ordered):
        shares[account] = min(demand, remaining / (len(ordered) - position))
        remaining -= shares[account]
    return shares


def excess_rate(trace: list[Arrival]) -> float:
    """Return the rate limit of the account that exceeds it."""
    duration_s = trace[-1].at - trace[0].at
    return len(trace) / duration_s * ACCOUNTS['excess'] / EXCESS_FACTOR


def account_demands(rows: list[Arrival], excess: float) -> dict[str, float]:
    """Return the number of requests that each account may send.

    :param excess: requests within the rate limit of the last account.
    """
    demands = collections.Counter(row.account for row in rows)
    demands['excess'] = excess
    return demands


def worst_served(trace: list[Arrival], results: RunResults) -> float:
    """Return the lowest ratio of any account's served to its fair share.

    The fair share is the max-min fair division of all served requests.
    """
    measured = [row for row in trace if row.at >= WARM_UP_S]
    excess = excess_rate(trace) * (DURATION_S - WARM_UP_S)
    demands = account_demands(measured, excess)
    shares = fair_shares(demands, results.served.total())
    return min_served_ratio(results.served, shares)


def worst_served_by_host(trace: list[Arrival], results: RunResults) -> float:
    """Return the same ratio, with fair shares computed per host.

    The difference from :func:`worst_served` is caused by the static shares of
    slots, which a queue cannot compensate.
    """
    shares: collections.Counter = collections.Counter()
    excess = excess_rate(trace) * (DURATION_S - WARM_UP_S) / len(HOSTS)
    rows: dict[int, list[Arrival]] = collections.defaultdict(list)
    for row in trace:
        if row.at >= WARM_UP_S:
            rows[row.host].append(row)
    for host, measured in rows.items():
        total = sum(results.served_at[host, account] for account in ACCOUNTS)
        shares.update(fair_shares(account_demands(measured, excess), total))
    return min_served_ratio(results.served, shares)


def min_served_ratio(served: dict[str, int], shares: dict[str, float]) -> float:
    """Return the lowest ratio of served requests to the share."""
    return min(
        served[account] / share for account, share in shares.items() if share
    )


def refused_within_rate(results: RunResults) -> int:
    """Return the refusals of accounts within their rate."""
    return results.refused.total() - results.refused['excess']


def measure(
    case: str,
    load: float,
    policy: str,
    seed: int,
    queue: str,
) -> str:
    """Run one cell and return its line."""
    trace = make_trace(load, case, seed)
    simulation = Simulation(case, policy, trace, seed)
    simulation.is_fifo = queue == 'fifo'
    results = simulation.run()
    offered = sum(
        row.at >= WARM_UP_S and row.account != 'excess' for row in trace
    )
    retries = results.retries_in_shed / max(results.requests_in_shed, 1)
    refused = refused_within_rate(results) / offered
    per_choice = results.choose_s / max(results.choices, 1) * 1e6
    return (
        f'{case:<19}{load:>5.0%} {policy:<19}'
        + f'{results.latency.get_value_at_percentile(50):>7}'
        + f'{results.latency.get_value_at_percentile(99):>7}'
        + f'{results.min_free_slots:>6}{refused:>9.2%}'
        + f'{worst_served(trace, results):>7.3f}'
        + f'{worst_served_by_host(trace, results):>7.3f}'
        + f'{results.served.total():>7}{retries:>9.2%}'
        + f'{results.slots_exceeded:>6}{results.shifts_over_cap:>6}'
        + f'{results.last_drain_s:>7.2f}{per_choice:>7.0f}'
    )


HEADER = (
    'case                load policy              p50_ms p99_ms  free'
    + '  refused  worst   host served  retries  over shift  drain us/dec'
)


def cell_arguments(options: argparse.Namespace) -> Iterator[tuple]:
    """Yield the arguments of every cell."""
    for case in options.case or CASES:
        for load in options.load or LOADS:
            for policy in options.policy or (BASELINE, *POLICIES):
                yield case, load, policy, options.seed, options.queue


def main() -> int:
    """Print one line for each case, load and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--case', action='append', choices=CASES)
    parser.add_argument('--load', action='append', type=float)
    parser.add_argument('--policy', action='append')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--queue', choices=('drr', 'fifo'), default='drr')
    parser.add_argument('--jobs', type=int, default=1)
    options = parser.parse_args()
    print(HEADER)
    columns = zip(*cell_arguments(options), strict=True)
    with ProcessPoolExecutor(options.jobs) as pool:
        for line in pool.map(measure, *columns):
            print(line, flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main())
