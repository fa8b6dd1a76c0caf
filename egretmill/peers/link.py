"""Sends and receives datagrams between hosts.

Uses UDP directly: one round trip of pynng costs more processor time than a
whole HTTP answer (docs/decisions/machines.md).
"""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err

from egretmill import events
from egretmill.logs import log_event
from egretmill.peers.datagrams import (
    Datagram,
    decode_datagram,
    encode_datagram,
)

__all__ = ('PeerLink',)

#: Called with each datagram and its source address.
DatagramListener = Callable[[Datagram, tuple[str, int]], None]


class PeerLink(asyncio.DatagramProtocol):
    """UDP socket that is shared by all peers."""

    def __init__(self, listener: DatagramListener) -> None:
        """Pass decoded datagrams to a listener."""
        self.listener = listener
        self.transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(
        cls,
        address: str,
        port: int,
        listener: DatagramListener,
    ) -> 'PeerLink':
        """Open the socket on an address and port."""
        loop = asyncio.get_running_loop()
        _, link = await loop.create_datagram_endpoint(
            lambda: cls(listener),
            local_addr=(address, port),
        )
        return link

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram for the listener; log a malformed one."""
        decoded = decode_datagram(data)
        if isinstance(decoded, Err):
            log_event(
                events.CATALOGUE.MALFORMED_FRAME,
                peer=addr[0],
                detail=decoded.err_value.detail,
            )
            return
        self.listener(decoded.ok_value, addr)

    def error_received(self, exc: OSError) -> None:
        """Log an unreachable peer; its heartbeat timeout marks it as down."""
        log_event(events.CATALOGUE.PEER_UNREACHABLE, error=str(exc))

    def send(self, datagram: Datagram, address: tuple[str, int]) -> None:
        """Send a datagram."""
        if self.transport is not None:
            self.transport.sendto(encode_datagram(datagram), address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
