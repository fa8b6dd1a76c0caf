"""Hosts that this host hears of; pure, times are boot times in seconds."""

import dataclasses
from collections.abc import Mapping

import xxhash

from egretmill.peers.beat import Beat

__all__ = ('Peer', 'PeerTable', 'beat_interval_s')

#: Time between two beats to one peer in a small fleet.
INTERVAL_S = 0.25
#: Fleet up to which the interval stays; it grows with the size beyond.
SMALL_FLEET = 10
#: With five intervals of silence a host leaves the directory well within the
#: 6 s that the users' contract allows for one that has died.
LONGEST_INTERVAL_S = 0.9
#: A peer that is silent for this many intervals counts as gone ...
SILENT_INTERVALS = 5
#: ... and after this time at least.
LEAST_SILENCE_S = 1.5
#: Hosts that follow the store for all; the others learn from their beats.
#: The loss of one leaves another until the peers notice.
DUTY_HOSTS = 2


def beat_interval_s(size: int) -> float:
    """Return the time between two beats to one peer, by fleet size."""
    grown = INTERVAL_S * max(size, SMALL_FLEET) / SMALL_FLEET
    return min(grown, LONGEST_INTERVAL_S)


@dataclasses.dataclass(slots=True)
class Peer:
    """What a host knows of another.

    :param address: where it gets beats.
    :param beat: the last one, ``None`` before the first.
    :param told_at: when the last beat was sent to it.
    """

    name: str
    address: tuple[str, int]
    beat: Beat | None = None
    heard_at: float = 0
    told_at: float = 0

    def alive(self, now: float, silence_s: float) -> bool:
        """Tell whether it was heard lately."""
        return self.beat is not None and now - self.heard_at <= silence_s


class PeerTable:
    """All other hosts, from the roster and from their beats."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.peers: dict[str, Peer] = {}

    @property
    def interval_s(self) -> float:
        """Return the time between two beats to one peer."""
        return beat_interval_s(len(self.peers) + 1)

    @property
    def silence_s(self) -> float:
        """Return after which silence a peer counts as gone."""
        return max(LEAST_SILENCE_S, SILENT_INTERVALS * self.interval_s)

    def apply(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Take over the hosts of the roster."""
        for name in self.peers.keys() - addresses.keys():
            self.peers.pop(name)
        for name, address in addresses.items():
            if name == self.host:
                continue
            known = self.peers.get(name)
            if known is None or known.address != address:
                self.peers[name] = Peer(name, address)

    def hear(self, beat: Beat, address: tuple[str, int], now: float) -> bool:
        """Take a beat; return whether it is newer than those before."""
        if beat.host == self.host:
            return False
        peer = self.peers.setdefault(beat.host, Peer(beat.host, address))
        last = peer.beat
        if last is not None and not _is_newer(beat, last):
            return False
        peer.address = address
        peer.beat = beat
        peer.heard_at = now
        return True

    def alive(self, now: float) -> list[Peer]:
        """Return the peers that were heard lately."""
        silence_s = self.silence_s
        return [
            peer for peer in self.peers.values() if peer.alive(now, silence_s)
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Tell whether a peer was heard lately."""
        peer = self.peers.get(name)
        return peer is not None and peer.alive(now, self.silence_s)

    def on_duty(self, now: float) -> bool:
        """Tell whether this host follows the store for the others.

        Every host decides by whom it hears; where hosts differ, there are
        more or fewer on duty for a while, and those without news from one
        read the store themselves.
        """
        names = [peer.name for peer in self.alive(now)]
        names.append(self.host)
        return self.host in sorted(names, key=_duty_rank)[:DUTY_HOSTS]

    def sent_at(self, name: str) -> float:
        """Return when the last beat of a peer was sent, by its clock."""
        peer = self.peers.get(name)
        return peer.beat.sent_at if peer and peer.beat else 0


def _duty_rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _is_newer(beat: Beat, last: Beat) -> bool:
    if beat.incarnation != last.incarnation:
        return beat.incarnation > last.incarnation
    return beat.sent_at > last.sent_at
