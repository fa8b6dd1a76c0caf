"""Protocol between the programs of the system: msgpack over pynng."""

from egretmill.wire.client import PeerClient
from egretmill.wire.server import Handler, Server

__all__ = ('Handler', 'PeerClient', 'Server')
