"""Measures heartbeat traffic, CPU per host and the spread of a version.

Run as ``python -m bench.membership``. It compares three heartbeat topologies:
full mesh, relays per failure domain, and partial views, in which each host
sends to a few random others. Messages are encoded as in production. Hosts are
simulated in one process and in virtual time, without sockets. CPU times are
measured on the real aggregates and on real calls over loopback, and multiplied
by the message counts.
"""

import argparse
import asyncio
import dataclasses
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec
import xxhash
from result import Ok

from bench import fleet
from egretmill.membership.confirmation import Confirmation
from egretmill.membership.peers import Peers
from egretmill.metrics import Metrics
from egretmill.store import Hosts
from egretmill.wire import PeerClient, Server, messages

__all__ = ('main',)

SIZES = (7, 87, 290, 870)
HEARTBEAT_S = 0.5
LOSS_RATE = 0.1
SEEDS = 5
RELAYS = 2
VIEW_SIZE = 3
SPREAD_LIMIT_S = 60.0
# A full mesh sends the same in each interval; the others are random.
COUNTED_INTERVALS = 20
# IPv4 and TCP headers with timestamps (52), length and request id of the SP
# protocol (12), and half of the acknowledgement that ends an exchange (26).
OVERHEAD_BYTES = 52 + 12 + 26
MICROSECONDS = 1_000_000
# Targets, section 1.6 of the design page.
TARGET_BYTES_PER_S = 5000
TARGET_CPU_PERCENT = 2.4
TARGET_SPREAD_S = 18

#: Returns the hosts that a host sends heartbeats to in one interval.
Targets = Callable[[int, random.Random], list[int]]


@dataclasses.dataclass(slots=True)
class Layout:
    """Hosts by index, their failure domains and the relays of each."""

    size: int
    domains: int
    members: list[list[int]]
    relays: list[list[int]]

    @classmethod
    def of_size(cls, size: int) -> 'Layout':
        """Spread hosts over domains; choose relays by the hash of names."""
        domains = fleet.domain_count(size)
        members = [list(range(fd, size, domains)) for fd in range(domains)]
        relays = [sorted(group, key=relay_rank)[:RELAYS] for group in members]
        return cls(size, domains, members, relays)

    def mesh_targets(self, host: int, rng: random.Random) -> list[int]:
        """Return all other hosts."""
        return [other for other in range(self.size) if other != host]

    def relay_targets(self, host: int, rng: random.Random) -> list[int]:
        """Return the relays of the host's domain; all relays for a relay."""
        own = self.relays[host % self.domains]
        if host not in own:
            return own
        return [
            other for group in self.relays for other in group if other != host
        ]

    def partial_view_targets(self, host: int, rng: random.Random) -> list[int]:
        """Return a few random other hosts."""
        count = min(VIEW_SIZE, self.size - 1)
        chosen = rng.sample(range(self.size), count + 1)
        return [other for other in chosen if other != host][:count]

    def topologies(self) -> dict[str, Targets]:
        """Return the topologies to compare."""
        return {
            'mesh': self.mesh_targets,
            'relays': self.relay_targets,
            'partial': self.partial_view_targets,
        }


def relay_rank(host: int) -> int:
    """Return the rank of a host, the hash of its name."""
    return xxhash.xxh3_64_intdigest(f'entry-{host}'.encode())


def create_heartbeat(host: int, version: int) -> messages.Heartbeat:
    """Return the heartbeat of a host."""
    return messages.Heartbeat(
        f'entry-{host}',
        1764835200000 + host,
        version,
        0.31,
        0.22,
        leaving=False,
        entry_ready=True,
        slot_index=host,
    )


class Fleet:
    """All hosts in virtual time; counts messages and bytes per host."""

    def __init__(self, layout: Layout, targets: Targets, seed: int) -> None:
        """Assign each host a random phase within the interval."""
        self.layout = layout
        self.targets = targets
        self.rng = random.Random(seed)
        self.phases = sorted(
            (self.rng.random() * HEARTBEAT_S, host)
            for host in range(layout.size)
        )
        host_indexes = range(layout.size)
        self.versions = [1 for _ in host_indexes]
        self.frames = [
            [
                messages.encode(create_heartbeat(host, version))
                for version in (1, 2)
            ]
            for host in host_indexes
        ]
        self.sent = [0 for _ in host_indexes]
        self.received = [0 for _ in host_indexes]
        self.sent_bytes = [0 for _ in host_indexes]

    def run_interval(self, start_s: float, *, promoted: bool) -> float:
        """Run one interval.

        :returns: when the last host received the new version, or 0.
        """
        last_s = 0.0
        for phase, host in self.phases:
            before = sum(self.versions) if promoted else 0
            if promoted and self.reads_new_version(host):
                self.versions[host] = 2
            for other in self.targets(host, self.rng):
                self.exchange_heartbeats(host, other)
            if promoted and sum(self.versions) > before:
                last_s = start_s + phase
        return last_s

    def reads_new_version(self, host: int) -> bool:
        """Return whether a host reads the new version from the platform.

        Only relays poll; domain 0 is cut off and some reads are lost.
        """
        domain = host % self.layout.domains
        if domain == 0 or host not in self.layout.relays[domain]:
            return False
        return self.rng.random() >= LOSS_RATE

    def exchange_heartbeats(self, host: int, other: int) -> None:
        """Send a heartbeat and its answer; each can be lost."""
        self.send(host, other)
        if self.rng.random() < LOSS_RATE:
            return
        self.apply_frame(other, self.frames[host][self.versions[host] - 1])
        self.send(other, host)
        if self.rng.random() < LOSS_RATE:
            return
        self.apply_frame(host, self.frames[other][self.versions[other] - 1])

    def send(self, host: int, other: int) -> None:
        """Count one message."""
        size = len(self.frames[host][self.versions[host] - 1])
        self.sent[host] += 1
        self.received[other] += 1
        self.sent_bytes[host] += size + OVERHEAD_BYTES

    def apply_frame(self, host: int, frame: bytes) -> None:
        """Apply the version of a received heartbeat."""
        version = messages.decode(frame).version
        self.versions[host] = max(self.versions[host], version)


def spread_s(layout: Layout, targets: Targets, seed: int) -> float:
    """Return how long a version takes to reach the last host."""
    hosts = Fleet(layout, targets, seed)
    start_s = 0.0
    last_s = 0.0
    while min(hosts.versions) < 2 and start_s < SPREAD_LIMIT_S:
        last_s = max(hosts.run_interval(start_s, promoted=True), last_s)
        start_s += HEARTBEAT_S
    return last_s if min(hosts.versions) == 2 else SPREAD_LIMIT_S


@dataclasses.dataclass(slots=True)
class MessageCost:
    """CPU of one message in microseconds."""

    send_us: float
    receive_us: float
    socket_us: float
    maintenance_us: float


def measure_cost(size: int, socket_us: float) -> MessageCost:
    """Measure the aggregates of one host in a fleet of this size."""
    peers = Peers('entry-0')
    confirmation = Confirmation('entry-0')
    confirmation.record_platform_read(1, 0, 0)
    confirmation.apply_version(1, 0)
    records = tuple(state.host for state in fleet.peers(size))
    peers.apply_host_list(records, 0)
    frames = [
        messages.encode(create_heartbeat(host, 1)) for host in range(1, size)
    ] or [messages.encode(create_heartbeat(1, 1))]
    repeats = max(5000 // len(frames), 1)

    def receive(frame: bytes) -> None:  # noqa: WPS430  # called by the timer
        message = messages.decode(frame)
        peers.receive_heartbeat(message, 1.0, 1.1, requested_host=message.host)
        confirmation.receive_heartbeat(message, 1.0, 1.1)

    def send(frame: bytes) -> None:  # noqa: WPS430  # called by the timer
        messages.encode(create_heartbeat(0, 1))
        peers.host_record('entry-1')

    def maintain(step: int) -> None:  # noqa: WPS430  # called by the timer
        now = 1 + step / 1000
        peers.schedule_heartbeats(now)
        peers.check_timeouts(now)
        states = peers.states(now)
        confirmation.apply_outage_rule(states, size, now)
        confirmation.settled_version(now, size)

    return MessageCost(
        cpu_us(send, frames * repeats),
        cpu_us(receive, frames * repeats),
        socket_us,
        cpu_us(maintain, list(range(20))),
    )


def cpu_us(call: Callable[[object], None], items: list) -> float:
    """Return microseconds of CPU per call."""
    begin = time.process_time()
    for item in items:
        call(item)
    return (time.process_time() - begin) / len(items) * MICROSECONDS


async def socket_cost_us(calls: int = 3000) -> float:
    """Return the CPU of one end of one call over loopback.

    This includes encoding and decoding, so results with sockets are
    overestimates.
    """
    port = fleet.free_port()
    heartbeat = create_heartbeat(1, 1)

    async def answer(message: messages.Message) -> Ok:  # noqa: WPS430
        return Ok(heartbeat)

    server = Server(fleet.ADDRESS, port, answer, Metrics(None))
    server.start()
    peer = PeerClient(fleet.ADDRESS, port)
    await peer.call(heartbeat, 2)
    begin = time.process_time()
    remaining = calls
    while remaining:
        await peer.call(heartbeat, 2)
        remaining -= 1
    used_s = time.process_time() - begin
    peer.close()
    server.close()
    return used_s / calls / 2 * MICROSECONDS


def report(size: int, socket_us: float) -> Iterator[str]:
    """Yield one line per topology at one size."""
    layout = Layout.of_size(size)
    cost = measure_cost(size, socket_us)
    yield (
        f'membership: hosts={size} send={cost.send_us:.1f} us '
        f'receive={cost.receive_us:.1f} us socket={cost.socket_us:.0f} us '
        f'upkeep={cost.maintenance_us:.0f} us per pass over the peers'
    )
    for name, targets in layout.topologies().items():
        yield topology_line(layout, name, targets, cost)


def topology_line(
    layout: Layout,
    name: str,
    targets: Targets,
    cost: MessageCost,
) -> str:
    """Measure one topology and return its line."""
    hosts = Fleet(layout, targets, seed=0)
    intervals = 1 if name == 'mesh' else COUNTED_INTERVALS
    for _ in range(intervals):
        hosts.run_interval(0, promoted=False)
    per_s = 1 / HEARTBEAT_S / intervals
    sent = [count * per_s for count in hosts.sent]
    size_bytes = [count * per_s for count in hosts.sent_bytes]
    busiest = max(range(layout.size), key=hosts.sent.__getitem__)
    cpu = (
        hosts.sent[busiest] * cost.send_us
        + hosts.received[busiest] * cost.receive_us
        + hosts.sent[busiest] * cost.socket_us
    ) * per_s + cost.maintenance_us / HEARTBEAT_S
    seeds = 1 if layout.size > 100 and name == 'mesh' else SEEDS
    spreads = [spread_s(layout, targets, seed) for seed in range(seeds)]
    return (
        f'membership: hosts={layout.size} way={name} '
        f'messages/s={statistics.mean(sent):.0f} (most {max(sent):.0f}) '
        f'bytes/s={statistics.mean(size_bytes):.0f} '
        f'(most {max(size_bytes):.0f}) '
        f'CPU of the busiest={cpu / MICROSECONDS * 100:.2f}% '
        f'spread={max(spreads):.1f} s (of {seeds} runs)'
    )


def state_line(size: int) -> str:
    """Measure the other costs that grow with the fleet."""
    states = fleet.peers(size)
    state = messages.HostState(
        host='entry-0',
        version=1,
        document=b'',
        confirmed_at=0,
        settled_version=1,
        slot=None,
        peers=states,
        upstreams=(),
    )
    frame = messages.encode(state)
    listed = Hosts(tuple(peer.host for peer in states))
    peers = Peers('entry-0')
    peers.apply_host_list(listed.entry_hosts, 0)
    repeats = list(range(max(2000 // size, 10)))
    return (
        f'state: hosts={size} HostState={len(frame)} bytes '
        f'states={cpu_us(peers.states, repeats):.0f} us '
        f'encode={cpu_us(lambda _: messages.encode(state), repeats):.0f} us '
        f'decode={cpu_us(lambda _: messages.decode(frame), repeats):.0f} us '
        f'host list={len(msgspec.json.encode(listed))} bytes '
        f'document={len(fleet.environment(size).body)} bytes'
    )


def memory_line(size: int) -> str:
    """Measure the memory of host records and of the aggregates."""
    frames = [
        messages.encode(create_heartbeat(host, 1)) for host in range(1, size)
    ]
    body = msgspec.json.encode(fleet.peers(size))
    tracemalloc.start()
    states = msgspec.json.decode(body, type=tuple[messages.PeerState, ...])
    records, _ = tracemalloc.get_traced_memory()
    peers = Peers('entry-0')
    confirmation = Confirmation('entry-0')
    peers.apply_host_list(tuple(state.host for state in states), 0)
    for message in map(messages.decode, frames):
        peers.receive_heartbeat(message, 0, 0)
        confirmation.receive_heartbeat(message, 0, 0)
    total_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (
        f'memory: hosts={size} records={records / 1000:.0f} KB '
        f'aggregates={(total_bytes - records) / 1000:.0f} KB'
    )


def main() -> None:
    """Print the lines of all sizes."""
    parser = argparse.ArgumentParser(prog='bench.membership')
    parser.add_argument('--sizes', type=int, nargs='*', default=SIZES)
    arguments = parser.parse_args()
    socket_us = asyncio.run(socket_cost_us())
    frame = messages.encode(create_heartbeat(800, 1))
    print(
        f'membership: heartbeat={len(frame)} bytes '
        f'and {OVERHEAD_BYTES} bytes of protocol headers'
    )
    for size in arguments.sizes:
        print(state_line(size))
        print(memory_line(size))
        for line in report(size, socket_us):
            print(line, flush=True)
    print(
        f'membership: targets per host bytes/s<={TARGET_BYTES_PER_S} '
        f'CPU<={TARGET_CPU_PERCENT}% spread<={TARGET_SPREAD_S} s'
    )


if __name__ == '__main__':
    main()
