"""Loopback proxies that stand for network links and inject link faults."""

import asyncio
import contextlib
import dataclasses
import enum
from typing import Any

__all__ = ('HostLink', 'Direction', 'LinkFaults', 'TcpLink')

CHUNK_BYTES = 65536


class Direction(enum.StrEnum):
    """Directions through a proxy."""

    TO_TARGET = 'forth'
    TO_CLIENT = 'back'


@dataclasses.dataclass(slots=True)
class LinkFaults:
    """Faults of one link.

    :param delay_s: added to each chunk before it is forwarded.
    :param bytes_per_s: rate of each direction of a connection; 0 for no limit.
    :param blocked: directions in which bytes are dropped. A connection that
        lost bytes forwards nothing more in that direction.
    :param refuse_connections: new connections are reset.
    """

    delay_s: float = 0
    bytes_per_s: float = 0
    blocked: frozenset[Direction] = frozenset()
    refuse_connections: bool = False

    async def pass_through(self, length: int) -> None:
        """Wait for as long as a number of bytes takes."""
        wait_s = self.delay_s
        if self.bytes_per_s:
            wait_s += length / self.bytes_per_s
        if wait_s:
            await asyncio.sleep(wait_s)


class TcpLink:
    """TCP proxy in front of one address."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Forward to an address; ``target`` may be replaced later."""
        self.target = target
        self.faults = LinkFaults()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ('', 0)
        #: Connections so far, and how many of them, from the first, are silent.
        self.opened = 0
        self.silenced = 0

    async def open(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()

    def close(self) -> None:
        """Stop listening and reset the open connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    async def wait_closed(self) -> None:
        """Wait until the connections that were reset have ended."""
        while self.writers:
            await asyncio.sleep(0)

    def silence_open_connections(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self.silenced = self.opened

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
        if self.faults.refuse_connections:
            writer.transport.abort()
            return
        try:
            target_stream = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_stream[1]}
        self.opened += 1
        number = self.opened
        try:
            await asyncio.gather(
                self.pump(
                    reader, target_stream[1], Direction.TO_TARGET, number
                ),
                self.pump(
                    target_stream[0], writer, Direction.TO_CLIENT, number
                ),
            )
        except (OSError, asyncio.CancelledError):
            # One side has reset the connection, or the run ends: reset the
            # other side too.
            writer.transport.abort()
            target_stream[1].transport.abort()
        finally:
            self.writers -= {writer, target_stream[1]}

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        number: int,
    ) -> None:
        """Forward one direction of a connection until its stream ends."""
        is_silent = False
        while content := await reader.read(CHUNK_BYTES):
            await self.faults.pass_through(len(content))
            is_silent = (
                is_silent
                or direction in self.faults.blocked
                or number <= self.silenced
            )
            if is_silent:
                continue
            writer.write(content)
            await writer.drain()
        if not is_silent:
            with contextlib.suppress(OSError):
                writer.close()


class LinkEndpoint(asyncio.DatagramProtocol):
    """Endpoint for datagrams at which the other host finds one host."""

    def __init__(self, link: 'HostLink', host: str) -> None:
        """Receive what the other host sends to a host."""
        self.link = link
        self.host = host
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram from the endpoint of its sender."""
        self.link.forward(self.host, data)


class HostLink:
    """Proxy between two hosts, with an endpoint for each.

    Both datagrams and connections pass; what is sent to the hosts in
    ``blocked`` is dropped.
    """

    def __init__(self, hosts: dict[str, tuple[str, int]]) -> None:
        """Connect two hosts with their real addresses."""
        self.hosts = hosts
        self.endpoints: dict[str, LinkEndpoint] = {}
        self.connections: dict[str, TcpLink] = {}
        self.blocked: frozenset[str] = frozenset()

    async def open(self) -> None:
        """Open both endpoints."""
        loop = asyncio.get_running_loop()
        for name, address in self.hosts.items():
            self.connections[name] = TcpLink(address)
            await self.connections[name].open()
            endpoint = LinkEndpoint(self, name)
            await loop.create_datagram_endpoint(
                lambda protocol=endpoint: protocol,
                local_addr=self.connections[name].address,
            )
            self.endpoints[name] = endpoint

    def get_address(self, host: str) -> tuple[str, int]:
        """Return the address at which the other host reaches a host."""
        return self.endpoints[host].transport.get_extra_info('sockname')

    def block(self, receivers: frozenset[str]) -> None:
        """Drop what is sent to some of the hosts, or to none any more."""
        self.blocked = receivers
        for name, link in self.connections.items():
            directions = set()
            if name in receivers:
                directions.add(Direction.TO_TARGET)
            if receivers - {name}:
                directions.add(Direction.TO_CLIENT)
            link.faults = LinkFaults(blocked=frozenset(directions))

    def forward(self, receiver: str, content: bytes) -> None:
        """Forward a datagram unless those to the receiver are dropped."""
        if receiver in self.blocked:
            return
        sender = next(name for name in self.hosts if name != receiver)
        endpoint = self.endpoints[sender]
        endpoint.transport.sendto(content, self.hosts[receiver])

    def close(self) -> None:
        """Close both endpoints and all connections."""
        for endpoint in self.endpoints.values():
            endpoint.transport.close()
        for link in self.connections.values():
            link.close()
