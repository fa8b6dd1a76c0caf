"""Compares policies for sharing account totals on the same traces.

Run as ``python -m bench.shares [trace ...]``. Time is virtual.
"""

import collections
import dataclasses
import functools
import random
import sys
from collections.abc import Iterator, Mapping

from bench.quota_fleet import DOMAINS, Fleet, Host, create_environment
from egretmill.quota import Policy, Taken

SEED = 20261204
DURATION_S = 120.0
WAIT_S = 0.2
#: Time in which hosts acquire their slots and fill their token buckets.
WARM_UP_S = 10.0
SHORTEST_RETRY_S = 0.001
OUTAGE_S = 3600.0
HOSTS = sum(slots for _, _, slots in DOMAINS)
LARGE_TOTAL = (70.0, 35)
SKEWED = (0.4, 0.25, 0.15, 0.1, 0.05, 0.03, 0.02)
EVEN = (1 / HOSTS,) * HOSTS
#: The only host of its failure domain.
LOADED_HOST = 3
ALL_ON_ONE = tuple(float(index == LOADED_HOST) for index in range(HOSTS))
POLICIES = {
    'static split': Policy(lending_enabled=False),
    'loans, no renewal': Policy(renewal_enabled=False),
    'loans, renewed': Policy(),
}


@dataclasses.dataclass(frozen=True)
class Source:
    """Requests of one account: rate per second and where they arrive."""

    account: str
    rate_per_s: float
    weights: tuple[float, ...]


@dataclasses.dataclass(frozen=True)
class Trace:
    """Arrivals and faults.

    :param lost: host that fails after a third of the trace; its callers
        move to other hosts.
    :param cut: host whose failure domain is isolated in the middle third.
    :param starts_at: virtual time of the first arrival; no host has reached
        the platform since 0.
    """

    accounts: Mapping[str, tuple[float, int]]
    sources: tuple[Source, ...]
    lost: int | None = None
    cut: int | None = None
    starts_at: float = WARM_UP_S


def _single_account_trace(
    weights: tuple[float, ...], rate: float = 63.0, **faults
) -> Trace:
    return Trace({'a': LARGE_TOTAL}, (Source('a', rate, weights),), **faults)


def _many_accounts_trace() -> Trace:
    accounts = {'greedy': LARGE_TOTAL}
    sources = [Source('greedy', LARGE_TOTAL[0] * 4, EVEN)]
    for index in range(HOSTS):
        name = f'other-{index}'
        accounts[name] = (20.0, 20)
        weights = SKEWED[index:] + SKEWED[:index]
        sources.append(Source(name, 14.0, weights))
    return Trace(accounts, tuple(sources))


TRACES = {
    'all on one host, 90%': _single_account_trace(ALL_ON_ONE),
    'skewed, 90%': _single_account_trace(SKEWED),
    'even, 90%': _single_account_trace(EVEN),
    'one of eight at 4x': _many_accounts_trace(),
    'small, 2/s burst 4, one host': Trace(
        {'a': (2.0, 4)},
        (Source('a', 1.8, ALL_ON_ONE),),
    ),
    'small, 2/s burst 4, skewed': Trace(
        {'a': (2.0, 4)},
        (Source('a', 1.8, SKEWED),),
    ),
    'a host lost, skewed': _single_account_trace(SKEWED, lost=1),
    'loaded domain cut off': _single_account_trace(ALL_ON_ONE, cut=LOADED_HOST),
    'hour without platform, skewed': _single_account_trace(
        SKEWED,
        starts_at=OUTAGE_S - DURATION_S,
    ),
}


@dataclasses.dataclass(frozen=True, order=True)
class Arrival:
    """One request."""

    at: float
    account: str
    host: int


def arrivals(trace: Trace) -> list[Arrival]:
    """Return the random arrivals of a trace, sorted by time."""
    rng = random.Random(SEED)
    found = [
        arrival
        for source in trace.sources
        for arrival in _arrivals_of(source, trace, rng)
    ]
    return sorted(found)


def _arrivals_of(
    source: Source,
    trace: Trace,
    rng: random.Random,
) -> Iterator[Arrival]:
    at = trace.starts_at
    lost_at = trace.starts_at + DURATION_S / 3
    while (at := at + rng.expovariate(source.rate_per_s)) < (
        trace.starts_at + DURATION_S
    ):
        host = rng.choices(range(HOSTS), source.weights)[0]
        if host == trace.lost and at >= lost_at:
            others = [index for index in range(HOSTS) if index != host]
            host = rng.choice(others)
        yield Arrival(at, source.account, host)


class Meter:
    """Measures the largest excess over rate x time + burst of any window."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.level = 0.0
        self.burst = burst
        self.at = 0.0
        self.excess = 0.0

    def admit(self, now: float) -> None:
        """Count one admitted request."""
        drained = (now - self.at) * self.rate
        self.level = max(0.0, self.level - drained) + 1
        self.at = now
        self.excess = max(self.excess, self.level - self.burst)


def count_entitled(
    trace: Trace, requests: list[Arrival]
) -> collections.Counter:
    """Count the requests that a central token bucket admits.

    Requests may wait as long as in the fleet.
    """
    counts: collections.Counter = collections.Counter()
    token_levels = {name: (0.0, row[1]) for name, row in trace.accounts.items()}
    for request in requests:
        rate, burst = trace.accounts[request.account]
        at, tokens = token_levels[request.account]
        tokens = min(burst, tokens + (request.at - at) * rate)
        # A negative balance represents the waiting requests.
        if (1 - tokens) / rate <= WAIT_S:
            counts[request.account] += 1
            tokens -= 1
        token_levels[request.account] = (request.at, tokens)
    return counts


class Replay:
    """Runs one trace under one policy."""

    def __init__(self, trace: Trace, policy: Policy) -> None:
        self.trace = trace
        self.fleet = Fleet(create_environment(dict(trace.accounts)), policy)
        self.fleet.on_loan = self._retry_all
        self.served: collections.Counter = collections.Counter()
        self.meters = {
            name: Meter(*row) for name, row in trace.accounts.items()
        }
        self.waiting: dict[tuple[int, str], collections.deque] = {}
        self.retry_times: dict[tuple[int, str], float] = {}
        self.hosts = list(self.fleet.hosts.values())

    def run(self, requests: list[Arrival]) -> None:
        """Run the arrivals and the faults."""
        trace = self.trace
        fleet = self.fleet
        for host in self.hosts:
            fleet.apply(host, 1)
        fleet.run(trace.starts_at - WARM_UP_S)
        fleet.start()
        third_s = DURATION_S / 3
        if trace.lost is not None:
            fleet.schedule(trace.starts_at + third_s, self._fail_host)
        if trace.cut is not None:
            domain = self.hosts[trace.cut].domain
            cut = functools.partial(fleet.cut_domains.add, domain)
            reconnect = functools.partial(fleet.cut_domains.discard, domain)
            fleet.schedule(trace.starts_at + third_s, cut)
            fleet.schedule(trace.starts_at + third_s * 2, reconnect)
        for request in requests:
            fleet.schedule(request.at, functools.partial(self._arrive, request))
        fleet.run(trace.starts_at + DURATION_S + WAIT_S)

    def _fail_host(self) -> None:
        self.hosts[self.trace.lost].alive = False

    def _arrive(self, request: Arrival) -> None:
        host = self.hosts[request.host]
        key = (request.host, request.account)
        queue = self.waiting.setdefault(key, collections.deque())
        self._retry_waiting(host, request.account)
        if not self._try_take(host, request.account, waited=False):
            queue.append(self.fleet.now + WAIT_S)

    def _try_take(self, host: Host, account: str, *, waited: bool) -> bool:
        if not host.alive:
            return False
        total = f'account/{account}'
        found = self.fleet.try_take(host, total, waited=waited)
        if isinstance(found, Taken):
            self.served[account] += 1
            self.meters[account].admit(self.fleet.now)
            return True
        self._retry_after(host, account, found.after_s)
        return False

    def _retry_after(
        self,
        host: Host,
        account: str,
        after_s: float | None,
    ) -> None:
        now = self.fleet.now
        next_retry_at = self.retry_times.get((host.index, account), 0)
        if after_s is None or after_s > WAIT_S or next_retry_at > now:
            return
        retry_at = now + max(after_s, SHORTEST_RETRY_S)
        self.retry_times[host.index, account] = retry_at
        retry = functools.partial(self._retry_waiting, host, account)
        self.fleet.schedule(retry_at, retry)

    def _retry_waiting(self, host: Host, account: str) -> None:
        queue = self.waiting.get((host.index, account), ())
        while queue and queue[0] < self.fleet.now:
            queue.popleft()
        while queue and self._try_take(host, account, waited=True):
            queue.popleft()

    def _retry_all(self, host: Host) -> None:
        for account in self.trace.accounts:
            self._retry_waiting(host, account)


def report(name: str, trace: Trace) -> Iterator[str]:
    """Yield the table rows of one trace."""
    requests = arrivals(trace)
    entitled_counts = count_entitled(trace, requests)
    for label, policy in POLICIES.items():
        replay = Replay(trace, policy)
        replay.run(requests)
        wrongful_refusals = sum(
            max(0, entitled_counts[account] - replay.served[account])
            for account in entitled_counts
        )
        worst_ratio = min(
            replay.served[account] / entitled_counts[account]
            for account in entitled_counts
        )
        excess = max(meter.excess for meter in replay.meters.values())
        cells = (
            name,
            label,
            len(requests),
            sum(entitled_counts.values()),
            sum(replay.served.values()),
            wrongful_refusals,
            f'{min(worst_ratio, 1.0):.4f}',
            f'{excess:.6f}',
            f'{replay.fleet.requests_sent / DURATION_S:.1f}',
        )
        yield '| {0} |'.format(' | '.join(map(str, cells)))


def main() -> None:
    """Print the table."""
    names = sys.argv[1:] or list(TRACES)
    print(
        '| trace | policy | requests | entitled | served | wrongful'
        ' refusals | worst account | excess | questions/s |',
    )
    print('|---|---|---|---|---|---|---|---|---|')
    for name in names:
        for row in report(name, TRACES[name]):
            print(row, flush=True)


if __name__ == '__main__':
    main()
