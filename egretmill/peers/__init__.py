"""Datagrams between hosts: heartbeats, upstream changes and token requests."""

from egretmill.peers.datagrams import (
    Heartbeat,
    Datagram,
    LeavingUpstream,
    RemovedUpstream,
    TokenResponse,
    TokenRequest,
    UpstreamChanges,
    decode_datagram,
    encode_datagram,
)
from egretmill.peers.link import PeerLink
from egretmill.peers.table import Peer, PeerTable, heartbeat_interval_s

__all__ = (
    'Heartbeat',
    'Datagram',
    'LeavingUpstream',
    'RemovedUpstream',
    'Peer',
    'PeerLink',
    'PeerTable',
    'TokenResponse',
    'TokenRequest',
    'UpstreamChanges',
    'heartbeat_interval_s',
    'decode_datagram',
    'encode_datagram',
)
