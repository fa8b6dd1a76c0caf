"""Datagrams between hosts: who lives, what is known, what is lent."""

from egretmill.peers.beat import (
    Beat,
    Datagram,
    Gone,
    TokenAnswer,
    TokenAsk,
    UpstreamNews,
    decode_datagram,
    encode_datagram,
)
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer, PeerTable, beat_interval_s

__all__ = (
    'Beat',
    'Datagram',
    'Gone',
    'Peer',
    'PeerLink',
    'PeerTable',
    'TokenAnswer',
    'TokenAsk',
    'UpstreamNews',
    'beat_interval_s',
    'decode_datagram',
    'encode_datagram',
)
