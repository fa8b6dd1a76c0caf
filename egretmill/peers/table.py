"""Liveness of the other hosts, by their heartbeats.

Does no I/O; times are boot times in seconds.
"""

import dataclasses
from collections.abc import Mapping

import xxhash

from egretmill.peers.datagrams import Heartbeat

__all__ = ('Peer', 'PeerTable', 'heartbeat_interval_s')

#: Time between two heartbeats to one peer in a small fleet.
MIN_INTERVAL_S = 0.25
#: Largest fleet with the minimum interval; beyond it, the interval grows in
#: proportion to the size.
SMALL_FLEET = 10
#: Keeps the heartbeat timeout (five intervals) well within the 6 s that the
#: users' contract allows until a dead host has left the directory.
MAX_INTERVAL_S = 0.9
#: A peer is considered dead after this many intervals without a heartbeat ...
TIMEOUT_INTERVALS = 5
#: ... but not before this time.
MIN_TIMEOUT_S = 1.5
#: Hosts that read the store on behalf of all; the others learn changes from
#: them. With two, one remains until the peers notice the loss of the other.
DESIGNATED_READERS = 2


def heartbeat_interval_s(size: int) -> float:
    """Return the time between two heartbeats to one peer, by fleet size."""
    scaled_s = MIN_INTERVAL_S * max(size, SMALL_FLEET) / SMALL_FLEET
    return min(scaled_s, MAX_INTERVAL_S)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another host, with its last heartbeat.

    :param address: where heartbeats are sent to.
    :param heartbeat: the newest one, ``None`` before the first.
    :param last_received_at: when it arrived.
    :param last_sent_at: when this host last sent a heartbeat to the peer.
    """

    name: str
    address: tuple[str, int]
    heartbeat: Heartbeat | None = None
    last_received_at: float = 0
    last_sent_at: float = 0

    def is_alive(self, now: float, timeout_s: float) -> bool:
        """Return whether its last heartbeat has not timed out."""
        return (
            self.heartbeat is not None
            and now - self.last_received_at <= timeout_s
        )


class PeerTable:
    """All other hosts, as learned from the roster and from their heartbeats."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.peers: dict[str, Peer] = {}

    @property
    def interval_s(self) -> float:
        """Return the time between two heartbeats to one peer."""
        return heartbeat_interval_s(len(self.peers) + 1)

    @property
    def timeout_s(self) -> float:
        """Return the time without a heartbeat after which a peer is dead."""
        return max(MIN_TIMEOUT_S, TIMEOUT_INTERVALS * self.interval_s)

    def apply_roster(self, roster: Mapping[str, tuple[str, int]]) -> None:
        """Add the hosts of the roster and remove all others."""
        for name in self.peers.keys() - roster.keys():
            self.peers.pop(name)
        for name, address in roster.items():
            if name == self.host:
                continue
            current = self.peers.get(name)
            if current is None or current.address != address:
                self.peers[name] = Peer(name, address)

    def record_heartbeat(
        self, heartbeat: Heartbeat, address: tuple[str, int], now: float
    ) -> bool:
        """Record a heartbeat; return whether it is newer than the last one."""
        if heartbeat.host == self.host:
            return False
        peer = self.peers.setdefault(
            heartbeat.host, Peer(heartbeat.host, address)
        )
        previous = peer.heartbeat
        if previous is not None and not _supersedes(heartbeat, previous):
            return False
        peer.address = address
        peer.heartbeat = heartbeat
        peer.last_received_at = now
        return True

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers whose last heartbeat has not timed out."""
        timeout_s = self.timeout_s
        return [
            peer
            for peer in self.peers.values()
            if peer.is_alive(now, timeout_s)
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether a peer's last heartbeat has not timed out."""
        peer = self.peers.get(name)
        return peer is not None and peer.is_alive(now, self.timeout_s)

    def is_designated_reader(self, now: float) -> bool:
        """Return whether this host reads the store for the others.

        Each host computes this from the peers that it considers alive. Where
        these views differ, there are more or fewer designated readers for a
        while; hosts that receive no changes then read the store themselves.
        """
        names = [peer.name for peer in self.live_peers(now)]
        names.append(self.host)
        return self.host in sorted(names, key=_reader_rank)[:DESIGNATED_READERS]

    def last_heartbeat_sent_at(self, name: str) -> float:
        """Return when a peer sent its last heartbeat, by its clock."""
        peer = self.peers.get(name)
        return peer.heartbeat.sent_at if peer and peer.heartbeat else 0


def _reader_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _supersedes(heartbeat: Heartbeat, previous: Heartbeat) -> bool:
    if heartbeat.incarnation != previous.incarnation:
        return heartbeat.incarnation > previous.incarnation
    return heartbeat.sent_at > previous.sent_at
