"""A fleet of quota holdings in virtual time, for measurements and tests."""

import dataclasses
import functools
import heapq
import itertools
from collections.abc import Callable

from egretmill.document import Environment
from egretmill.quota import Holdings, Policy, Refused, Taken
from egretmill.wire.messages import Borrow, Loans, ShareSlot, UpstreamRecord

__all__ = ('DOMAINS', 'Fleet', 'Host', 'document')

#: Failure domain, region and number of share slots: 7 hosts.
DOMAINS = (
    ('tbilisi-a', 'tbilisi', 2),
    ('tbilisi-b', 'tbilisi', 1),
    ('kutaisi-a', 'kutaisi', 1),
    ('kutaisi-b', 'kutaisi', 1),
    ('batumi-a', 'batumi', 1),
    ('batumi-b', 'batumi', 1),
)
LEASE_S = 4200.0
#: One way between failure domains of a region and between regions.
NEAR_S = 0.00025
FAR_S = 0.01
CALL_TIMEOUT_S = 0.1
TICK_S = 0.02


def document(
    accounts: dict[str, tuple[float, int]],
    version: int = 1,
    time_limit_ms: int = 3000,
) -> Environment:
    """Return an environment with these rates and bursts."""
    regions = dict.fromkeys(region for _, region, _ in DOMAINS)
    lines = [f'[[regions]]\nname = "{name}"' for name in regions]
    for name, region, slots in DOMAINS:
        lines.append(
            f'[[failure_domains]]\nname = "{name}"\nregion = "{region}"\n'
            f'share_slots = {slots}\n[[sites]]\nname = "{name}"\n'
            f'failure_domain = "{name}"',
        )
    lines.append('[[services]]\nname = "rota"\nsites = ["tbilisi-a"]')
    lines.append('[[links]]\nregions = ["tbilisi", "kutaisi"]')
    lines.append('megabits_per_s = 800')
    lines.append(
        '[[routes]]\npath = "/rota"\nservice = "rota"\nmethods = ["GET"]\n'
        f'time_limit_ms = {time_limit_ms}',
    )
    for name, (rate, burst) in accounts.items():
        lines.append(
            f'[[accounts]]\nname = "{name}"\nrate_per_s = {rate}\n'
            f'burst = {burst}',
        )
    body = '\n'.join(lines).encode()
    return Environment.from_bytes(body, version=version).unwrap()


def upstreams(number: int, slots: int = 2) -> tuple[UpstreamRecord, ...]:
    """Return upstreams of the service at its site."""
    return tuple(
        UpstreamRecord(
            f'w{index}',
            'rota',
            'tbilisi-a',
            '127.0.0.1',
            9000 + index,
            slots,
            64,
        )
        for index in range(number)
    )


@dataclasses.dataclass
class Host:
    """An entry program of the fleet and its place."""

    name: str
    index: int
    domain: str
    region: str
    holdings: Holdings
    slot: ShareSlot
    alive: bool = True
    incarnation: int = 1


class Fleet:
    """Hosts, their messages and one virtual clock."""

    def __init__(
        self,
        environment: Environment,
        policy: Policy,
        workers: tuple[UpstreamRecord, ...] = (),
    ) -> None:
        self.environment = environment
        self.policy = policy
        self.workers = workers
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.hosts: dict[str, Host] = {}
        self.cut: set[str] = set()
        self.questions = 0
        self.on_loan: Callable[[Host], None] = lambda host: None
        for domain, region, slots in DOMAINS:
            for _ in range(slots):
                self._add(domain, region)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self.events, (when, next(self.order), action))

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until:
            when, _, action = heapq.heappop(self.events)
            self.now = when
            action()
        self.now = until

    def start(self) -> None:
        """Give each host its slot and start its timer."""
        for host in self.hosts.values():
            self.apply(host)
            tick = functools.partial(self._tick, host)
            self.at(host.index * TICK_S / len(self.hosts), tick)

    def apply(self, host: Host) -> None:
        """Hand the state of the agent to a host."""
        host.holdings.apply(
            self.environment,
            self.workers,
            host.slot,
            self.environment.version,
            self.now,
        )

    def take(
        self,
        host: Host,
        total: str,
        *,
        waited: bool = False,
    ) -> Taken | Refused:
        """Try to take one, and ask peers at once when that fails."""
        result = host.holdings.try_take(total, 1, self.now, waited=waited)
        if isinstance(result, Refused) and not waited:
            self.ask(host)
        return result

    def ask(self, host: Host) -> None:
        """Send what a host wishes to ask now."""
        wishes = host.holdings.wishes(self.now, self.peers(host))
        for name, borrow in wishes:
            self.questions += 1
            _Call(self, host, self.hosts[name], borrow, self.now).start()

    def peers(self, host: Host) -> list[str]:
        """Return the peers that a host believes reachable, nearest first."""
        reachable = [
            peer for peer in self.hosts.values() if self.reach(host, peer)
        ]
        reachable.sort(key=lambda peer: latency_s(host, peer))
        return [peer.name for peer in reachable if peer is not host]

    def reach(self, host: Host, peer: Host) -> bool:
        """Tell whether messages of a host arrive at a peer."""
        if not host.alive or not peer.alive:
            return False
        if host.domain == peer.domain:
            return True
        return not self.cut & {host.domain, peer.domain}

    def _add(self, domain: str, region: str) -> None:
        index = len(self.hosts)
        name = f'entry-{index}'
        holdings = Holdings(name, 1, self.policy)
        total = sum(slots for _, _, slots in DOMAINS)
        slot = ShareSlot(index, total, LEASE_S, 0.0)
        self.hosts[name] = Host(name, index, domain, region, holdings, slot)

    def _tick(self, host: Host) -> None:
        if host.alive:
            self.ask(host)
            self.at(self.now + TICK_S, functools.partial(self._tick, host))


@dataclasses.dataclass
class _Call:
    """A question on its way, and its answer."""

    fleet: Fleet
    host: Host
    peer: Host
    borrow: Borrow
    sent_at: float

    def start(self) -> None:
        """Send the question."""
        self.fleet.at(self.sent_at + self._one_way_s(), self._arrive)

    def _one_way_s(self) -> float:
        return latency_s(self.host, self.peer)

    def _arrive(self) -> None:
        now = self.fleet.now
        if not self.fleet.reach(self.host, self.peer):
            self.fleet.at(self.sent_at + CALL_TIMEOUT_S, self._fail)
            return
        loans = self.peer.holdings.lend(self.borrow, now)
        receive = functools.partial(self._receive, loans)
        self.fleet.at(now + self._one_way_s(), receive)

    def _receive(self, loans: Loans) -> None:
        if not self.fleet.reach(self.host, self.peer):
            self.fleet.at(self.sent_at + CALL_TIMEOUT_S, self._fail)
            return
        now = self.fleet.now
        self.host.holdings.receive(self.borrow, loans, self.sent_at, now)
        if loans.loans:
            self.fleet.on_loan(self.host)

    def _fail(self) -> None:
        self.host.holdings.failed(self.borrow, self.fleet.now)


def latency_s(host: Host, peer: Host) -> float:
    """Return the latency of one way between two hosts."""
    return NEAR_S if host.region == peer.region else FAR_S
