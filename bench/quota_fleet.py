"""A fleet of quota holders in virtual time, for measurements and tests."""

import dataclasses
import functools
import heapq
import itertools
from collections.abc import Callable, Sequence

from egretmill.document import Environment
from egretmill.quota import Holdings, Policy, Refused, Taken
from egretmill.wire.messages import Borrow, Loans, ShareSlot, UpstreamRecord

__all__ = ('DOMAINS', 'Fleet', 'Host', 'create_environment')

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
#: One-way latency within a region and between regions.
NEAR_S = 0.0005
FAR_S = 0.02
CALL_TIMEOUT_S = 0.1
TICK_S = 0.02


def create_environment(
    accounts: dict[str, tuple[float, int]],
    version: int = 1,
    time_limit_ms: int = 3000,
) -> Environment:
    """Return an environment with the rate and burst of each account."""
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


def create_upstreams(number: int, slots: int = 2) -> tuple[UpstreamRecord, ...]:
    """Return upstreams of the service, all at its only site."""
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


@dataclasses.dataclass(eq=False)
class Host:
    """An entry program of the fleet and its location.

    :param clock_rate: rate of the host's clock; 1 is exact.
    :param paused_until: the process runs nothing before this time.
    """

    name: str
    domain: str
    region: str
    holdings: Holdings
    slot: ShareSlot | None
    alive: bool = True
    incarnation: int = 1
    clock_rate: float = 1.0
    paused_until: float = 0.0

    @property
    def index(self) -> int:
        """Return the number of the share slot, -1 without one."""
        return self.slot.index if self.slot else -1


class Fleet:
    """Hosts, the messages between them and one virtual clock.

    :ivar deliveries: returns the extra delay of each delivery of a message;
        empty if the message is lost, two delays if it is duplicated.
    :ivar on_step: called at each step in the lifecycle of a share.
    :ivar on_loan: called when a host has received a loan.
    """

    def __init__(
        self,
        environment: Environment,
        policy: Policy,
        upstreams: tuple[UpstreamRecord, ...] = (),
        tick_s: float = TICK_S,
    ) -> None:
        self.tick_s = tick_s
        self.environment = environment
        self.policy = policy
        self.upstreams = upstreams
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.hosts: dict[str, Host] = {}
        self.cut_domains: set[str] = set()
        self.requests_sent = 0
        self.on_loan: Callable[[Host], None] = _ignore
        self.on_step: Callable[[str, Host], None] = _ignore
        self.deliveries: Callable[[str, Host, Host], Sequence[float]] = (
            _deliver_once
        )
        for domain, region, slots in DOMAINS:
            for _ in range(slots):
                self._add_host(domain, region)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.event_numbers), action))

    def run(self, until: float) -> None:
        """Run all scheduled actions up to a time."""
        while self.events and self.events[0][0] <= until:
            when, _, action = heapq.heappop(self.events)
            self.now = when
            action()
        self.now = until

    def start(self) -> None:
        """Apply the environment to each host and start its timer."""
        for host in self.hosts.values():
            self.apply(host, self.environment.version)
            self.start_timer(host)

    def start_timer(self, host: Host) -> None:
        """Check regularly whether a host should request loans."""
        offset_s = host.index * self.tick_s / len(self.hosts)
        tick = functools.partial(self._tick, host, host.incarnation)
        self.schedule(self.now + offset_s, tick)

    def clock(self, host: Host) -> float:
        """Return the reading of a host's clock."""
        return self.now * host.clock_rate

    def can_run(self, host: Host, action: Callable[[], None]) -> bool:
        """Return whether a host runs now; if paused, reschedule the action."""
        if self.now < host.paused_until:
            self.schedule(host.paused_until, action)
            return False
        return host.alive

    def apply(self, host: Host, settled_version: int) -> None:
        """Apply environment, upstreams and share slot to a host."""
        host.holdings.apply(
            self.environment,
            self.upstreams,
            host.slot,
            settled_version,
            self.clock(host),
        )

    def try_take(
        self,
        host: Host,
        total: str,
        *,
        waited: bool = False,
    ) -> Taken | Refused:
        """Try to take one unit; request loans at once if that fails.

        :param waited: the request has waited; request no loans again.
        """
        now = self.clock(host)
        result = host.holdings.try_take(total, 1, now, waited=waited)
        if isinstance(result, Taken):
            self.on_step('take', host)
        elif not waited:
            self.request_loans(host)
        return result

    def request_loans(self, host: Host) -> None:
        """Send the loan requests that a host is due to make."""
        loan_requests = host.holdings.create_loan_requests(
            self.clock(host), self.peers(host)
        )
        self.send_requests(host, loan_requests)

    def send_requests(
        self, host: Host, loan_requests: list[tuple[str, Borrow]]
    ) -> None:
        """Send loan requests to peers."""
        for name, borrow in loan_requests:
            self.requests_sent += 1
            sent_at = self.clock(host)
            _Call(self, host, self.hosts[name], borrow, sent_at).start()

    def peers(self, host: Host) -> list[str]:
        """Return the reachable peers of a host, nearest first."""
        reachable = [
            peer for peer in self.hosts.values() if self.can_reach(host, peer)
        ]
        reachable.sort(key=lambda peer: latency_s(host, peer))
        return [peer.name for peer in reachable if peer is not host]

    def can_reach(self, host: Host, peer: Host) -> bool:
        """Return whether messages of a host arrive at a peer."""
        if not host.alive or not peer.alive:
            return False
        if host.domain == peer.domain:
            return True
        return not self.cut_domains & {host.domain, peer.domain}

    def _add_host(self, domain: str, region: str) -> None:
        index = len(self.hosts)
        name = f'entry-{index}'
        holdings = Holdings(name, 1, self.policy)
        total = sum(slots for _, _, slots in DOMAINS)
        slot = ShareSlot(index, total, LEASE_S, 0.0)
        self.hosts[name] = Host(name, domain, region, holdings, slot)

    def _tick(self, host: Host, incarnation: int) -> None:
        tick = functools.partial(self._tick, host, incarnation)
        if host.incarnation == incarnation and self.can_run(host, tick):
            self.request_loans(host)
            self.schedule(self.now + self.tick_s, tick)


@dataclasses.dataclass
class _Call:
    """A loan request in flight and its answer.

    :ivar open: neither answered nor timed out.
    """

    fleet: Fleet
    host: Host
    peer: Host
    borrow: Borrow
    sent_at: float
    open: bool = True

    def start(self) -> None:
        """Send the request and schedule its timeout."""
        fleet = self.fleet
        fleet.schedule(fleet.now + CALL_TIMEOUT_S, self._time_out)
        for delay_s in fleet.deliveries('question', self.host, self.peer):
            fleet.schedule(
                fleet.now + self._latency_s() + delay_s, self._arrive
            )
        step = 'ask'
        if self.borrow.renews:
            step = 'renew' if self.borrow.duration_s else 'give back'
        fleet.on_step(step, self.host)

    def _latency_s(self) -> float:
        return latency_s(self.host, self.peer)

    def _arrive(self) -> None:
        fleet = self.fleet
        if not fleet.can_run(self.peer, self._arrive):
            return
        if not fleet.can_reach(self.host, self.peer):
            return
        loans = self.peer.holdings.lend(self.borrow, fleet.clock(self.peer))
        receive = functools.partial(self._receive, loans)
        for delay_s in fleet.deliveries('answer', self.peer, self.host):
            fleet.schedule(fleet.now + self._latency_s() + delay_s, receive)
        if loans.loans:
            fleet.on_step('lend', self.peer)
            fleet.on_step('answer in flight', self.host)

    def _receive(self, loans: Loans) -> None:
        fleet = self.fleet
        receive = functools.partial(self._receive, loans)
        if not fleet.can_run(self.host, receive):
            return
        if not fleet.can_reach(self.host, self.peer):
            return
        now = fleet.clock(self.host)
        self.open = False
        self.host.holdings.receive_loans(self.borrow, loans, self.sent_at, now)
        if loans.loans:
            fleet.on_step('receive', self.host)
            fleet.on_loan(self.host)

    def _time_out(self) -> None:
        fleet = self.fleet
        if fleet.can_run(self.host, self._time_out) and self.open:
            self.open = False
            self.host.holdings.record_unanswered(
                self.borrow, fleet.clock(self.host)
            )


def _ignore(*_: object) -> None:
    """Ignore an event."""


def _deliver_once(kind: str, sender: Host, receiver: Host) -> Sequence[float]:
    return (0.0,)


def latency_s(host: Host, peer: Host) -> float:
    """Return the one-way latency between two hosts."""
    return NEAR_S if host.region == peer.region else FAR_S
