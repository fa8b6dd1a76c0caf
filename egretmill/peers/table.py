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

#: Hosts outside the roster that are known at the same time: all of the largest
#: fleet while the store cannot be read, and those that join.
MAX_UNLISTED_PEERS = 1024
#: Memory for the last heartbeats of all hosts; those outside the roster may
#: take half of it.
HEARTBEAT_MEMORY_BYTES = 32 << 20
UNLISTED_MEMORY_BYTES = HEARTBEAT_MEMORY_BYTES // 2


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
    :param is_listed: it is in the roster.
    """

    name: str
    address: tuple[str, int]
    heartbeat: Heartbeat | None = None
    last_received_at: float = 0
    last_sent_at: float = 0
    is_listed: bool = False

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the last heartbeat takes."""
        return self.heartbeat.kept_bytes if self.heartbeat else 0

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
        self.unlisted = 0
        #: Memory of the last heartbeats, and that of hosts outside the roster.
        self.kept_bytes = 0
        self.unlisted_bytes = 0
        #: Heartbeats for which there was no room, since :meth:`make_room`.
        self.refused = 0

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
                current = Peer(name, address)
                self.peers[name] = current
            current.is_listed = True
        self._count()

    def record_heartbeat(
        self, heartbeat: Heartbeat, address: tuple[str, int], now: float
    ) -> bool:
        """Record a heartbeat that is newer than the last one of its host.

        Return whether it was recorded: any sender can name a new host, so that
        there may be no room for it.
        """
        if heartbeat.host == self.host:
            return False
        peer = self.peers.get(heartbeat.host)
        if peer is None:
            peer = Peer(heartbeat.host, address)
        previous = peer.heartbeat
        if previous is not None and not _supersedes(heartbeat, previous):
            return False
        if not self._has_room(peer, heartbeat.kept_bytes):
            self.refused += 1
            return False
        self._add_kept_bytes(peer, heartbeat.kept_bytes - peer.kept_bytes)
        if peer.name not in self.peers:
            self.unlisted += 1
            self.peers[peer.name] = peer
        peer.address = address
        peer.heartbeat = heartbeat
        peer.last_received_at = now
        return True

    def make_room(self, now: float) -> tuple[str, ...]:
        """Remove dead hosts outside the roster if heartbeats were refused.

        :returns: their names.
        """
        if not self.refused:
            return ()
        self.refused = 0
        timeout_s = self.timeout_s
        removed = tuple(
            peer.name
            for peer in self.peers.values()
            if not peer.is_listed and not peer.is_alive(now, timeout_s)
        )
        for name in removed:
            self.peers.pop(name)
        self._count()
        return removed

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

    def _has_room(self, peer: Peer, kept_bytes: int) -> bool:
        """Return whether there is room for the next heartbeat of a peer."""
        added_bytes = kept_bytes - peer.kept_bytes
        if self.kept_bytes + added_bytes > HEARTBEAT_MEMORY_BYTES:
            return False
        if peer.is_listed:
            return True
        if self.unlisted_bytes + added_bytes > UNLISTED_MEMORY_BYTES:
            return False
        return peer.name in self.peers or self.unlisted < MAX_UNLISTED_PEERS

    def _add_kept_bytes(self, peer: Peer, added_bytes: int) -> None:
        self.kept_bytes += added_bytes
        if not peer.is_listed:
            self.unlisted_bytes += added_bytes

    def _count(self) -> None:
        """Count again what is kept, after peers were added or removed."""
        unlisted = [peer for peer in self.peers.values() if not peer.is_listed]
        self.unlisted = len(unlisted)
        self.unlisted_bytes = sum(peer.kept_bytes for peer in unlisted)
        self.kept_bytes = sum(peer.kept_bytes for peer in self.peers.values())


def _reader_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _supersedes(heartbeat: Heartbeat, previous: Heartbeat) -> bool:
    if heartbeat.incarnation != previous.incarnation:
        return heartbeat.incarnation > previous.incarnation
    return heartbeat.sent_at > previous.sent_at
