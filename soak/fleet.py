"""Hosts, upstreams, store and callers of one run; injects faults into them."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import signal

from soak.callers import Caller
from soak.hosts import HostProcess, HostSpec
from soak.links import HostLink, Direction, LinkFaults, TcpLink
from soak.operator import ROSTER_TABLE, ROUTES, Operator, StoreView
from soak.plan import Fault, FaultKind
from soak.record import Record
from soak.upstreams import AnswerMode, SoakUpstream

__all__ = ('SoakFleet',)

REGIONS = {'west-a': 'west', 'west-b': 'west', 'east-a': 'east'}
DOMAINS = tuple(REGIONS)
UPSTREAMS_PER_SERVICE = 3
CALLERS_PER_HOST = 4
SHUTDOWN_GRACE_S = 6.0
READY_TIMEOUT_S = 20.0
#: Draining upstreams keep serving for this time.
DRAIN_DURATION_S = 3.0
#: An upstream that says only in its answers that it leaves stays longer.
SAID_DURATION_S = 6.0
#: Time between the end of a process and its next start.
RESTART_DELAY_S = 0.3
LINK_DELAY_S = 0.08
HTTP_UNAVAILABLE = 503
HTTP_TOO_MANY = 429
ANSWER_MODES = {
    FaultKind.ANSWER_SLOWLY: AnswerMode.SLOWLY,
    FaultKind.ANSWER_NEVER: AnswerMode.NEVER,
    FaultKind.ANSWER_LOST: AnswerMode.LOST,
    FaultKind.ANSWER_CUT: AnswerMode.CUT,
    FaultKind.ANSWER_TWICE: AnswerMode.TWICE,
    FaultKind.ANSWER_GARBLED: AnswerMode.GARBLED,
    FaultKind.ANSWER_SHEDDING: AnswerMode.SHEDDING,
    FaultKind.ANSWER_PAUSING: AnswerMode.PAUSING,
}
#: Faults that leave hosts in contact with each other and with the store.
NOT_DISTURBING = frozenset(
    (
        FaultKind.KEY_WITHDRAWN,
        FaultKind.CONFIGURATION,
        FaultKind.EVACUATION,
        FaultKind.CROWD,
        FaultKind.UPSTREAM_DRAIN,
        FaultKind.UPSTREAM_CRASH,
        FaultKind.UPSTREAM_REUSE,
        FaultKind.UPSTREAM_REBORN,
        FaultKind.UPSTREAM_SAYS_LEAVING,
        FaultKind.RELOAD,
        *ANSWER_MODES,
    ),
)


class SoakFleet:
    """The processes, servers and links of a run, and their record."""

    def __init__(self, folder: pathlib.Path, seed: int, size: int) -> None:
        """Prepare a run with ``size`` hosts."""
        self.host_specs = [
            HostSpec(number, f'h{number}', domain, REGIONS[domain])
            for number, domain in zip(range(size), itertools.cycle(DOMAINS))
        ]
        self.folder = folder
        self.rng = random.Random(seed)
        self.record = Record()
        self.loop = asyncio.get_running_loop()
        self.operator = Operator(self.record, self.loop.time)
        self.hosts: dict[str, HostProcess] = {}
        self.entry_links: dict[str, TcpLink] = {}
        self.store_links: dict[str, TcpLink] = {}
        self.peer_links: dict[frozenset[str], HostLink] = {}
        self.upstreams: dict[str, SoakUpstream] = {}
        self.upstream_links: dict[str, TcpLink] = {}
        self.callers: list[Caller] = []
        self.serial_numbers = itertools.count(1)
        self.stack = contextlib.AsyncExitStack()
        self.restarting_hosts: set[str] = set()
        self.late_shutdowns: list[str] = []

    async def open(self) -> None:
        """Start everything; callers start once all hosts are ready."""
        for spec in self.host_specs:
            host = HostProcess(spec, self.folder)
            self.hosts[spec.name] = host
            self.stack.push_async_callback(host.kill)
        await self.open_peer_links()
        for route in ROUTES:
            for number in range(UPSTREAMS_PER_SERVICE):
                domain = DOMAINS[number % len(DOMAINS)]
                await self.add_upstream(route.service, domain)
        self.operator.publish()
        for host in self.hosts.values():
            await self.start_host(host)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts.values():
                await self.wait_until_ready(host)
        for number in range(CALLERS_PER_HOST * len(self.hosts)):
            rng = random.Random(self.rng.random())
            caller = Caller(
                number, self.hosts, self.entry_links, self.operator, rng
            )
            self.callers.append(caller)
            task = asyncio.create_task(caller.run())
            self.stack.callback(task.cancel)

    async def open_peer_links(self) -> None:
        """Open a link between each two hosts."""
        for names in itertools.combinations(self.hosts, 2):
            link = HostLink(
                {name: self.hosts[name].endpoint('peers') for name in names},
            )
            await link.open()
            self.stack.callback(link.close)
            self.peer_links[frozenset(names)] = link

    async def start_host(self, host: HostProcess) -> None:
        """Start a host behind its links."""
        name = host.spec.name
        view = StoreView(self.operator.store, name, self.peer_links)
        self.stack.callback(view.http.stop)
        self.store_links[name] = await self.open_link(view.address)
        self.entry_links[name] = await self.open_link(host.endpoint('entry'))
        # A roster entry as an earlier process leaves it: the host need not
        # wait for a lease before its first start.
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

    async def wait_until_ready(self, host: HostProcess) -> None:
        """Wait until the readiness endpoint of a host answers 200."""
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
        """Start an upstream behind a new link; return its name."""
        name = f'u{next(self.serial_numbers)}'
        await self.start_upstream(name, service, domain)
        return name

    async def start_upstream(
        self,
        name: str,
        service: str,
        domain: str,
        link: TcpLink | None = None,
    ) -> None:
        """Start and register an incarnation, behind a new or a given link."""
        upstream = SoakUpstream(
            name,
            service,
            domain,
            next(self.serial_numbers),
            self.record,
            self.loop,
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

    async def run_fault(self, fault: Fault) -> None:
        """Inject a fault, wait for its end and record its span."""
        started_at = self.loop.time()
        try:
            await self.apply_fault(fault)
        finally:
            span = (started_at, self.loop.time())
            self.record.faults.append((*span, fault.kind.value))
            if fault.kind not in NOT_DISTURBING:
                self.record.disturbed.append(span)

    async def apply_fault(self, fault: Fault) -> None:
        """Inject a fault into what its kind names."""
        family = fault.kind.value.partition('_')[0]
        if fault.kind in ANSWER_MODES:
            await self.fail_answers(fault)
            return
        match family:
            case 'host' | 'all' | 'reload':
                await self.fail_host(fault)
            case 'store':
                await self.fail_store(fault)
            case 'peers':
                await self.cut_peers(fault)
            case 'entry':
                name = self.choose_name(self.entry_links, fault)
                await self.fail_link(self.entry_links[name], fault)
            case 'upstream':
                await self.fail_upstream(fault)
            case _:
                await self.make_change(fault)

    def choose_name(self, candidates: dict, fault: Fault) -> str:
        """Choose one of the names with the random number of a fault."""
        names = sorted(candidates)
        return names[fault.selector % len(names)]

    async def fail_host(self, fault: Fault) -> None:
        """Restart, pause or reload one host, or kill and restart all."""
        chosen = [self.choose_name(self.hosts, fault)]
        if fault.kind is FaultKind.ALL_KILL:
            chosen = list(self.hosts)
        match fault.kind:
            case FaultKind.HOST_PAUSE:
                host = self.hosts[chosen[0]]
                host.pause()
                await asyncio.sleep(fault.duration_s)
                host.resume()
            case FaultKind.RELOAD:
                self.hosts[chosen[0]].signal(signal.SIGHUP)
            case _:
                graceful = fault.kind is FaultKind.HOST_TERM
                await asyncio.gather(
                    *(self.restart_host(name, graceful) for name in chosen),
                )

    async def restart_host(self, name: str, graceful: bool) -> None:
        """Restart a host; do nothing while it already restarts."""
        if name in self.restarting_hosts:
            return
        self.restarting_hosts.add(name)
        host = self.hosts[name]
        try:
            if not graceful:
                await host.kill()
            elif not await host.terminate(SHUTDOWN_GRACE_S):
                self.late_shutdowns.append(name)
            await asyncio.sleep(RESTART_DELAY_S)
            await host.start()
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self.wait_until_ready(host)
        except TimeoutError:
            # The store may be unavailable. A host that never becomes ready
            # is found by the check of recovery.
            return
        finally:
            self.restarting_hosts.discard(name)

    async def fail_store(self, fault: Fault) -> None:
        """Inject a fault into the store or into the link of a host to it."""
        name = self.choose_name(self.store_links, fault)
        link = self.store_links[name]
        if fault.kind in {
            FaultKind.STORE_CUT,
            FaultKind.STORE_CUT_BACK,
            FaultKind.STORE_DELAY,
            FaultKind.STORE_RESET,
        }:
            await self.fail_link(link, fault)
            return
        if fault.kind is FaultKind.STORE_RESTORED:
            await self.restore_store(fault)
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
                faults.lost_write_delay_s = fault.duration_s / 2
            case FaultKind.STORE_MALFORMED:
                faults.malformed = True
            case FaultKind.STORE_FORGETS:
                self.operator.store.compact_history()
            case _:
                await self.expire_upstreams(fault)
                return
        await asyncio.sleep(fault.duration_s)
        faults.status = 0
        faults.silent = False
        faults.malformed = False
        faults.lose_answers = 0

    async def restore_store(self, fault: Fault) -> None:
        """Let the store return from a copy; later writes are lost."""
        saved = self.operator.store.save()
        await asyncio.sleep(fault.duration_s)
        self.operator.store.faults.status = HTTP_UNAVAILABLE
        await asyncio.sleep(fault.duration_s / 2)
        self.operator.restore(saved)
        self.operator.store.faults.status = 0

    async def expire_upstreams(self, fault: Fault) -> None:
        """Expire a third of the upstreams' entries during a store outage.

        The upstreams register again after the outage.
        """
        faults = self.operator.store.faults
        faults.status = HTTP_UNAVAILABLE
        await asyncio.sleep(fault.duration_s / 2)
        expired = [
            upstream
            for name, upstream in sorted(self.upstreams.items())
            if name not in self.record.left
        ]
        expired = expired[fault.selector % 3 :: 3]
        for upstream in expired:
            self.operator.store.remove('servers', upstream.name)
        await asyncio.sleep(fault.duration_s / 2)
        faults.status = 0
        await asyncio.sleep(1)
        for upstream in expired:
            if upstream.name not in self.record.left:
                link = self.upstream_links[upstream.name]
                self.operator.register(upstream, link.address)

    async def fail_link(self, link: TcpLink, fault: Fault) -> None:
        """Reset, delay or block a link."""
        kind_name = fault.kind.value
        if kind_name.endswith('reset'):
            link.reset()
            return
        if kind_name.endswith('delay'):
            link.faults = LinkFaults(delay_s=LINK_DELAY_S)
        elif kind_name.endswith('back'):
            link.faults = LinkFaults(blocked=frozenset((Direction.TO_CLIENT,)))
        else:
            link.faults = LinkFaults(blocked=frozenset(Direction))
        await asyncio.sleep(fault.duration_s)
        link.faults = LinkFaults()

    async def cut_peers(self, fault: Fault) -> None:
        """Drop the datagrams between two hosts, both ways or one way."""
        host_pairs = sorted(self.peer_links, key=sorted)
        link = self.peer_links[host_pairs[fault.selector % len(host_pairs)]]
        names = sorted(link.hosts)
        one_way = fault.kind is FaultKind.PEERS_CUT_ONE_WAY
        link.block(frozenset(names[:1] if one_way else names))
        await asyncio.sleep(fault.duration_s)
        link.block(frozenset())

    async def fail_upstream(self, fault: Fault) -> None:
        """Crash, replace, drain or disconnect an upstream."""
        active_upstreams = {
            name: upstream
            for name, upstream in self.upstreams.items()
            if name not in self.record.left
        }
        name = self.choose_name(active_upstreams, fault)
        upstream = active_upstreams[name]
        match fault.kind:
            case FaultKind.UPSTREAM_CRASH | FaultKind.UPSTREAM_REUSE:
                await self.replace_upstream(upstream, fault)
            case FaultKind.UPSTREAM_REBORN:
                upstream.crash()
                link = self.upstream_links[name]
                link.reset()
                await self.start_upstream(
                    name, upstream.service, upstream.domain, link
                )
            case FaultKind.UPSTREAM_DRAIN:
                await self.drain_upstream(upstream)
            case FaultKind.UPSTREAM_SAYS_LEAVING:
                await self.add_upstream(upstream.service, upstream.domain)
                upstream.says_leaving = True
                await asyncio.sleep(SAID_DURATION_S)
                upstream.crash()
                self.operator.unregister(name)
            case _:
                await self.fail_link(self.upstream_links[name], fault)

    async def replace_upstream(
        self, upstream: SoakUpstream, fault: Fault
    ) -> None:
        """Crash an upstream and start another one of its service.

        With ``UPSTREAM_REUSE``, an upstream of another service also takes
        over its address. The entry of the crashed one stays until the fault
        ends.
        """
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
                f'u{next(self.serial_numbers)}',
                others[fault.selector % len(others)],
                upstream.domain,
                link,
            )
        await asyncio.sleep(fault.duration_s)
        self.operator.unregister(upstream.name)

    async def drain_upstream(self, upstream: SoakUpstream) -> None:
        """Drain and stop an upstream after adding its replacement."""
        await self.add_upstream(upstream.service, upstream.domain)
        link = self.upstream_links[upstream.name]
        self.operator.register(upstream, link.address, 'draining')
        await asyncio.sleep(DRAIN_DURATION_S)
        upstream.crash()
        self.operator.unregister(upstream.name)

    async def fail_answers(self, fault: Fault) -> None:
        """Make an upstream fail all or half of its answers."""
        upstream = self.upstreams[self.choose_name(self.upstreams, fault)]
        upstream.answer_mode = ANSWER_MODES[fault.kind]
        upstream.fault_fraction = 0.5 if fault.selector % 2 else 1
        await asyncio.sleep(fault.duration_s)
        upstream.answer_mode = AnswerMode.NORMALLY

    async def make_change(self, fault: Fault) -> None:
        """Change the configuration, or raise the rate of the callers."""
        match fault.kind:
            case FaultKind.KEY_WITHDRAWN:
                self.operator.withdraw_key(
                    self.choose_name(self.operator.accounts, fault),
                )
            case FaultKind.CONFIGURATION:
                for _ in range(fault.selector % 3 + 1):
                    self.operator.publish()
                    await asyncio.sleep(0.1)
            case FaultKind.EVACUATION:
                domain = DOMAINS[fault.selector % len(DOMAINS)]
                self.operator.evacuate(domain, ends=False)
                await asyncio.sleep(fault.duration_s)
                self.operator.evacuate(domain, ends=True)
            case _:
                for caller in self.callers:
                    caller.max_pause_s = 0.01
                await asyncio.sleep(fault.duration_s)
                for caller in self.callers:
                    caller.max_pause_s = 0.12

    async def close(self) -> None:
        """Stop everything that this run has started."""
        await self.stack.aclose()
