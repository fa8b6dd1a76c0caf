"""Datagrams between hosts: who lives, what is known, what is lent."""

from egretmill.peers.beat import Beat, decode_beat, encode_beat
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer, PeerTable, beat_interval_s

__all__ = (
    'Beat',
    'Peer',
    'PeerLink',
    'PeerTable',
    'beat_interval_s',
    'decode_beat',
    'encode_beat',
)
