"""Loopback proxies that delay, reset, silence and cut one way."""

import asyncio
import contextlib
import dataclasses
import enum
from typing import Any

__all__ = ('DatagramPair', 'Direction', 'LinkFaults', 'TcpLink')

CHUNK_BYTES = 65536


class Direction(enum.StrEnum):
    """Ways through a proxy."""

    FORTH = 'forth'
    BACK = 'back'


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Faults of one link.

    :param delay_s: added to each piece on its way.
    :param lost: directions in which nothing arrives. A connection that lost
        bytes stays silent for good.
    :param refuses: new connections are reset.
    """

    delay_s: float = 0
    lost: frozenset[Direction] = frozenset()
    refuses: bool = False


class TcpLink:
    """Forwards connections to one address."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Forward to an address; ``target`` can change later."""
        self.target = target
        self.faults = LinkFaults()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ('', 0)

    async def open(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    def close(self) -> None:
        """End the link and its connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection."""
        if self.faults.refuses:
            writer.transport.abort()
            return
        try:
            onward = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, onward[1]}
        try:
            await asyncio.gather(
                self.pump(reader, onward[1], Direction.FORTH),
                self.pump(onward[0], writer, Direction.BACK),
            )
        except (OSError, asyncio.CancelledError):
            # One end has reset the connection, or the run ends; the other
            # end learns it as well.
            writer.transport.abort()
            onward[1].transport.abort()
        finally:
            self.writers -= {writer, onward[1]}

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Forward one direction until its end."""
        silent = False
        while content := await reader.read(CHUNK_BYTES):
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            silent = silent or direction in self.faults.lost
            if silent:
                continue
            writer.write(content)
            await writer.drain()
        if not silent:
            with contextlib.suppress(OSError):
                writer.close()


class PairEndpoint(asyncio.DatagramProtocol):
    """The end of a datagram pair that stands for one host."""

    def __init__(self, pair: 'DatagramPair', host: str) -> None:
        """Receive what others send to a host."""
        self.pair = pair
        self.host = host
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on from the endpoint of its sender."""
        self.pair.forward(self.host, data)


class DatagramPair:
    """Datagrams between two hosts, which see each other at its endpoints."""

    def __init__(self, hosts: dict[str, tuple[str, int]]) -> None:
        """Connect two hosts with their real addresses."""
        self.hosts = hosts
        self.endpoints: dict[str, PairEndpoint] = {}
        self.lost: frozenset[str] = frozenset()

    async def open(self) -> None:
        """Open both endpoints."""
        loop = asyncio.get_running_loop()
        for name in self.hosts:
            endpoint = PairEndpoint(self, name)
            await loop.create_datagram_endpoint(
                lambda made=endpoint: made,
                local_addr=('127.0.0.1', 0),
            )
            self.endpoints[name] = endpoint

    def address(self, host: str) -> tuple[str, int]:
        """Return where the other host finds a host."""
        return self.endpoints[host].transport.get_extra_info('sockname')

    def forward(self, receiver: str, content: bytes) -> None:
        """Send on unless datagrams to the receiver are lost."""
        if receiver in self.lost:
            return
        sender = next(name for name in self.hosts if name != receiver)
        endpoint = self.endpoints[sender]
        endpoint.transport.sendto(content, self.hosts[receiver])

    def close(self) -> None:
        """Close both endpoints."""
        for endpoint in self.endpoints.values():
            endpoint.transport.close()
