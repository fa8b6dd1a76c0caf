"""Hosts, upstreams, store and callers of one run, and the faults on them."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import signal

from soak.callers import Caller
from soak.hosts import HostPlace, HostProcess
from soak.links import DatagramPair, Direction, LinkFaults, TcpLink
from soak.operator import ROSTER_TABLE, ROUTES, Operator, StoreView
from soak.plan import Fault, FaultKind
from soak.record import Record
from soak.upstreams import Answering, SoakUpstream

__all__ = ('SoakFleet',)

REGIONS = {'west-a': 'west', 'west-b': 'west', 'east-a': 'east'}
DOMAINS = tuple(REGIONS)
UPSTREAMS_PER_SERVICE = 3
#: Callers of a host.
CALLERS = 4
GRACE_S = 6.0
READY_S = 20.0
#: Leaving upstreams serve on for this time, in seconds.
SERVE_ON_S = 3.0
#: A restarted process comes back after this time, in seconds.
RESTART_S = 0.3
DELAY_S = 0.08
HTTP_UNAVAILABLE = 503
HTTP_TOO_MANY = 429
ANSWERS = {
    FaultKind.ANSWER_SLOWLY: Answering.SLOWLY,
    FaultKind.ANSWER_NEVER: Answering.NEVER,
    FaultKind.ANSWER_LOST: Answering.LOST,
    FaultKind.ANSWER_CUT: Answering.CUT,
    FaultKind.ANSWER_TWICE: Answering.TWICE,
    FaultKind.ANSWER_GARBLED: Answering.GARBLED,
    FaultKind.ANSWER_SHEDDING: Answering.SHEDDING,
}
#: Faults after which hosts still count as in touch.
HARMLESS = frozenset(
    (
        FaultKind.KEY_WITHDRAWN,
        FaultKind.CONFIGURATION,
        FaultKind.EVACUATION,
        FaultKind.CROWD,
        FaultKind.UPSTREAM_DRAIN,
        FaultKind.UPSTREAM_CRASH,
        FaultKind.UPSTREAM_REUSE,
        FaultKind.UPSTREAM_REBORN,
        FaultKind.RELOAD,
        *ANSWERS,
    ),
)


class SoakFleet:
    """Everything that runs; opened and closed by one stack."""

    def __init__(self, folder: pathlib.Path, seed: int, size: int) -> None:
        """Prepare a run with a number of hosts."""
        self.places = [
            HostPlace(number, f'h{number}', domain, REGIONS[domain])
            for number, domain in zip(range(size), itertools.cycle(DOMAINS))
        ]
        self.folder = folder
        self.rng = random.Random(seed)
        self.record = Record()
        self.clock = asyncio.get_running_loop()
        self.operator = Operator(self.record, self.clock.time)
        self.hosts: dict[str, HostProcess] = {}
        self.entries: dict[str, TcpLink] = {}
        self.store_links: dict[str, TcpLink] = {}
        self.pairs: dict[frozenset[str], DatagramPair] = {}
        self.upstreams: dict[str, SoakUpstream] = {}
        self.upstream_links: dict[str, TcpLink] = {}
        self.callers: list[Caller] = []
        self.numbers = itertools.count(1)
        self.stack = contextlib.AsyncExitStack()
        self.restarting: set[str] = set()
        self.overdue: list[str] = []

    async def open(self) -> None:
        """Start all and wait until the hosts are ready."""
        for place in self.places:
            host = HostProcess(place, self.folder)
            self.hosts[place.name] = host
            self.stack.push_async_callback(host.kill)
        await self.open_pairs()
        for route in ROUTES:
            for number in range(UPSTREAMS_PER_SERVICE):
                domain = DOMAINS[number % len(DOMAINS)]
                await self.add_upstream(route.service, domain)
        self.operator.publish()
        for host in self.hosts.values():
            await self.open_host(host)
        async with asyncio.timeout(READY_S):
            for host in self.hosts.values():
                await self.wait_ready(host)
        for number in range(CALLERS * len(self.hosts)):
            rng = random.Random(self.rng.random())
            caller = Caller(
                number, self.hosts, self.entries, self.operator, rng
            )
            self.callers.append(caller)
            task = asyncio.create_task(caller.run())
            self.stack.callback(task.cancel)

    async def open_pairs(self) -> None:
        """Put a datagram proxy between each two hosts."""
        for names in itertools.combinations(self.hosts, 2):
            pair = DatagramPair(
                {name: self.hosts[name].endpoint('peers') for name in names},
            )
            await pair.open()
            self.stack.callback(pair.close)
            self.pairs[frozenset(names)] = pair

    async def open_host(self, host: HostProcess) -> None:
        """Start a host behind its links."""
        name = host.place.name
        view = StoreView(self.operator.store, name, self.pairs)
        self.stack.callback(view.http.stop)
        self.store_links[name] = await self.open_link(view.address)
        self.entries[name] = await self.open_link(host.endpoint('entry'))
        # An entry of an earlier run: hosts need not wait for a lease.
        entry = {'address': host.address, 'port': host.ports['peers']}
        content = json.dumps(entry).encode()
        self.operator.store.put(ROSTER_TABLE, name, content)
        host.write_settings(self.store_links[name].address, REGIONS)
        await host.start()

    async def open_link(self, target: tuple[str, int]) -> TcpLink:
        """Open a link that closes with the run."""
        link = TcpLink(target)
        await link.open()
        self.stack.callback(link.close)
        return link

    async def wait_ready(self, host: HostProcess) -> None:
        """Wait until a host is ready."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    *host.endpoint('readiness'),
                )
                writer.write(b'GET /egretmill/readiness HTTP/1.0\r\n\r\n')
                head = await reader.readuntil(b'\r\n')
                writer.close()
                if b' 200 ' in head:
                    return
            await asyncio.sleep(0.05)

    async def add_upstream(self, service: str, domain: str) -> str:
        """Start and register an upstream behind its link."""
        name = f'u{next(self.numbers)}'
        await self.start_upstream(name, service, domain)
        return name

    async def start_upstream(
        self,
        name: str,
        service: str,
        domain: str,
        link: TcpLink | None = None,
    ) -> None:
        """Start an incarnation under a name, at a new or a given address."""
        upstream = SoakUpstream(
            name,
            service,
            domain,
            next(self.numbers),
            self.record,
            self.clock,
            random.Random(self.rng.random()),
        )
        port = await upstream.open()
        self.stack.callback(upstream.crash)
        if link is None:
            link = await self.open_link(('127.0.0.1', port))
        link.target = ('127.0.0.1', port)
        self.upstreams[name] = upstream
        self.upstream_links[name] = link
        self.operator.register(upstream, link.address)

    async def play(self, fault: Fault) -> None:
        """Let a fault happen and end."""
        started_at = self.clock.time()
        try:
            await self.apply(fault)
        finally:
            span = (started_at, self.clock.time())
            self.record.faults.append((*span, fault.kind.value))
            if fault.kind not in HARMLESS:
                self.record.disturbed.append(span)

    async def apply(self, fault: Fault) -> None:
        """Choose what a fault applies to."""
        family = fault.kind.value.partition('_')[0]
        if fault.kind in ANSWERS:
            await self.spoil_answers(fault)
            return
        match family:
            case 'host' | 'all' | 'reload':
                await self.fail_host(fault)
            case 'store':
                await self.fail_store(fault)
            case 'peers':
                await self.cut_peers(fault)
            case 'entry':
                name = self.pick(self.entries, fault)
                await self.fail_link(self.entries[name], fault)
            case 'upstream':
                await self.fail_upstream(fault)
            case _:
                await self.operate(fault)

    def pick(self, things: dict, fault: Fault) -> str:
        """Choose one of the things by name."""
        names = sorted(things)
        return names[fault.pick % len(names)]

    async def fail_host(self, fault: Fault) -> None:
        """Signal hosts and start them again."""
        chosen = [self.pick(self.hosts, fault)]
        if fault.kind is FaultKind.ALL_KILL:
            chosen = list(self.hosts)
        match fault.kind:
            case FaultKind.HOST_PAUSE:
                host = self.hosts[chosen[0]]
                host.pause()
                await asyncio.sleep(fault.for_s)
                host.resume()
            case FaultKind.RELOAD:
                self.hosts[chosen[0]].signal(signal.SIGHUP)
            case _:
                graceful = fault.kind is FaultKind.HOST_TERM
                await asyncio.gather(
                    *(self.restart(name, graceful) for name in chosen),
                )

    async def restart(self, name: str, graceful: bool) -> None:
        """End a process and start it again, one restart at a time."""
        if name in self.restarting:
            return
        self.restarting.add(name)
        host = self.hosts[name]
        try:
            if not graceful:
                await host.kill()
            elif not await host.terminate(GRACE_S):
                self.overdue.append(name)
            await asyncio.sleep(RESTART_S)
            await host.start()
            async with asyncio.timeout(READY_S):
                await self.wait_ready(host)
        except TimeoutError:
            # Left to the check of recovery; the store may be away.
            return
        finally:
            self.restarting.discard(name)

    async def fail_store(self, fault: Fault) -> None:
        """Let the store or the way of one host to it fail."""
        name = self.pick(self.store_links, fault)
        link = self.store_links[name]
        if fault.kind in {
            FaultKind.STORE_CUT,
            FaultKind.STORE_CUT_BACK,
            FaultKind.STORE_DELAY,
            FaultKind.STORE_RESET,
        }:
            await self.fail_link(link, fault)
            return
        faults = self.operator.store.faults
        match fault.kind:
            case FaultKind.STORE_DOWN:
                faults.status = HTTP_UNAVAILABLE
            case FaultKind.STORE_LIMIT:
                faults.status = HTTP_TOO_MANY
            case FaultKind.STORE_SILENT:
                faults.silent = True
            case FaultKind.STORE_LOST:
                faults.lose_answers = 3
                faults.late_s = fault.for_s / 2
            case FaultKind.STORE_MALFORMED:
                faults.malformed = True
            case FaultKind.STORE_FORGETS:
                self.operator.store.forget()
            case _:
                await self.lapse(fault)
                return
        await asyncio.sleep(fault.for_s)
        faults.status = 0
        faults.silent = False
        faults.malformed = False
        faults.lose_answers = 0

    async def lapse(self, fault: Fault) -> None:
        """Let entries lapse during an outage; they return after it."""
        faults = self.operator.store.faults
        faults.status = HTTP_UNAVAILABLE
        await asyncio.sleep(fault.for_s / 2)
        lapsed = [
            upstream
            for name, upstream in sorted(self.upstreams.items())
            if name not in self.record.left
        ]
        lapsed = lapsed[fault.pick % 3 :: 3]
        for upstream in lapsed:
            self.operator.store.remove('servers', upstream.name)
        await asyncio.sleep(fault.for_s / 2)
        faults.status = 0
        await asyncio.sleep(1)
        for upstream in lapsed:
            if upstream.name not in self.record.left:
                link = self.upstream_links[upstream.name]
                self.operator.register(upstream, link.address)

    async def fail_link(self, link: TcpLink, fault: Fault) -> None:
        """Cut, slow down or reset a link."""
        way = fault.kind.value
        if way.endswith('reset'):
            link.reset()
            return
        if way.endswith('delay'):
            link.faults = LinkFaults(delay_s=DELAY_S)
        elif way.endswith('back'):
            link.faults = LinkFaults(lost=frozenset((Direction.BACK,)))
        else:
            link.faults = LinkFaults(lost=frozenset(Direction))
        await asyncio.sleep(fault.for_s)
        link.faults = LinkFaults()

    async def cut_peers(self, fault: Fault) -> None:
        """Lose the datagrams between two hosts, or one way only."""
        pairs = sorted(self.pairs, key=sorted)
        pair = self.pairs[pairs[fault.pick % len(pairs)]]
        names = sorted(pair.hosts)
        one_way = fault.kind is FaultKind.PEERS_CUT_ONE_WAY
        pair.lost = frozenset(names[:1] if one_way else names)
        await asyncio.sleep(fault.for_s)
        pair.lost = frozenset()

    async def fail_upstream(self, fault: Fault) -> None:
        """Cut, crash, replace or drain an upstream."""
        present = {
            name: row
            for name, row in self.upstreams.items()
            if name not in self.record.left
        }
        name = self.pick(present, fault)
        upstream = present[name]
        match fault.kind:
            case FaultKind.UPSTREAM_CRASH | FaultKind.UPSTREAM_REUSE:
                await self.replace(upstream, fault)
            case FaultKind.UPSTREAM_REBORN:
                upstream.crash()
                link = self.upstream_links[name]
                link.reset()
                await self.start_upstream(
                    name, upstream.service, upstream.domain, link
                )
            case FaultKind.UPSTREAM_DRAIN:
                await self.drain(upstream)
            case _:
                await self.fail_link(self.upstream_links[name], fault)

    async def replace(self, upstream: SoakUpstream, fault: Fault) -> None:
        """Crash an upstream; another takes its place or its address."""
        upstream.crash()
        link = self.upstream_links[upstream.name]
        link.reset()
        await self.add_upstream(upstream.service, upstream.domain)
        if fault.kind is FaultKind.UPSTREAM_REUSE:
            others = [
                route.service
                for route in ROUTES
                if route.service != upstream.service
            ]
            await self.start_upstream(
                f'u{next(self.numbers)}',
                others[fault.pick % len(others)],
                upstream.domain,
                link,
            )
        await asyncio.sleep(fault.for_s)
        self.operator.unregister(upstream.name)

    async def drain(self, upstream: SoakUpstream) -> None:
        """Let an upstream leave; another comes first."""
        await self.add_upstream(upstream.service, upstream.domain)
        link = self.upstream_links[upstream.name]
        self.operator.register(upstream, link.address, 'draining')
        await asyncio.sleep(SERVE_ON_S)
        upstream.crash()
        self.operator.unregister(upstream.name)

    async def spoil_answers(self, fault: Fault) -> None:
        """Let an upstream spoil a part of its answers."""
        upstream = self.upstreams[self.pick(self.upstreams, fault)]
        upstream.answering = ANSWERS[fault.kind]
        upstream.share = 0.5 if fault.pick % 2 else 1
        await asyncio.sleep(fault.for_s)
        upstream.answering = Answering.NORMALLY

    async def operate(self, fault: Fault) -> None:
        """Do planned work, or let more callers come."""
        match fault.kind:
            case FaultKind.KEY_WITHDRAWN:
                self.operator.withdraw_key(
                    self.pick(self.operator.accounts, fault),
                )
            case FaultKind.CONFIGURATION:
                for _ in range(fault.pick % 3 + 1):
                    self.operator.publish()
                    await asyncio.sleep(0.1)
            case FaultKind.EVACUATION:
                domain = DOMAINS[fault.pick % len(DOMAINS)]
                self.operator.evacuate(domain, ends=False)
                await asyncio.sleep(fault.for_s)
                self.operator.evacuate(domain, ends=True)
            case _:
                for caller in self.callers:
                    caller.most_s = 0.01
                await asyncio.sleep(fault.for_s)
                for caller in self.callers:
                    caller.most_s = 0.12

    async def close(self) -> None:
        """End all; only processes of this run."""
        await self.stack.aclose()
