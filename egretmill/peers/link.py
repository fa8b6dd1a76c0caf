"""Sends and receives datagrams between hosts.

Plain datagrams in place of pynng: one round trip of it costs more processor
time than a whole HTTP answer (docs/decisions/machines.md).
"""

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err

from egretmill import events
from egretmill.logs import log_event
from egretmill.peers.beat import (
    Datagram,
    decode_datagram,
    encode_datagram,
)

__all__ = ('PeerLink',)

#: Called with a datagram and the address that it came from.
Listener = Callable[[Datagram, tuple[str, int]], None]


class PeerLink(asyncio.DatagramProtocol):
    """One UDP socket for all peers."""

    def __init__(self, listener: Listener) -> None:
        """Pass received datagrams to a listener."""
        self.listener = listener
        self.transport: asyncio.DatagramTransport | None = None

    @classmethod
    async def open(
        cls,
        address: str,
        port: int,
        listener: Listener,
    ) -> 'PeerLink':
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        _, link = await loop.create_datagram_endpoint(
            lambda: cls(listener),
            local_addr=(address, port),
        )
        return link

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram."""
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
        """Log an unreachable peer; its silence shows in the table."""
        log_event(events.CATALOGUE.PEER_UNREACHABLE, error=str(exc))

    def send(self, datagram: Datagram, address: tuple[str, int]) -> None:
        """Send a datagram."""
        if self.transport is not None:
            self.transport.sendto(encode_datagram(datagram), address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
