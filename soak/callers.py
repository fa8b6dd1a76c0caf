"""Callers that keep connections and record every answer."""

import asyncio
import contextlib
import json
import random

from soak.hosts import HostProcess
from soak.links import TcpLink
from soak.operator import AUTHORITY, ROUTES, Operator, RouteSpec
from soak.record import Asked, Record
from soak.upstreams import parse_fields

__all__ = ('Caller',)

#: A caller gives up on a request after this time, in seconds.
DEADLINE_S = 2.0
#: Requests on one connection before a new one is opened.
MOST_ON_CONNECTION = 40
#: Pause after a failed connection, in seconds.
PAUSE_S = 0.1
LOOK_UP_S = 1.0
BODY = b'x' * 2000


class Caller:
    """One caller: a request at a time on a kept connection."""

    def __init__(
        self,
        number: int,
        hosts: dict[str, HostProcess],
        entries: dict[str, TcpLink],
        operator: Operator,
        rng: random.Random,
    ) -> None:
        """Call the entries of hosts through their links."""
        self.number = number
        self.hosts = hosts
        self.entries = entries
        self.operator = operator
        self.record: Record = operator.record
        self.rng = rng
        self.account = rng.choice(sorted(operator.accounts))
        self.clock = asyncio.get_running_loop().time
        self.sent = 0
        self.most_s = 0.12

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                await self.use_connection()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(PAUSE_S)

    async def use_connection(self) -> None:
        """Open a connection and use it for some requests."""
        host = await self.choose_host()
        async with asyncio.timeout(LOOK_UP_S):
            reader, writer = await asyncio.open_connection(
                *self.entries[host].address,
            )
        try:
            for _ in range(self.rng.randint(1, MOST_ON_CONNECTION)):
                if not await self.ask(host, reader, writer):
                    return
                await asyncio.sleep(self.rng.uniform(0, self.most_s))
        finally:
            writer.close()

    async def choose_host(self) -> str:
        """Look a host up, or take any when no directory answers."""
        asked = self.rng.choice(sorted(self.hosts))
        found = sorted(self.hosts)
        with contextlib.suppress(
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
        ):
            async with asyncio.timeout(LOOK_UP_S):
                named = await self.look_up(self.hosts[asked])
            known = {
                '{}:{}'.format(*host.endpoint('entry')): name
                for name, host in self.hosts.items()
            }
            found = [known[text] for text in named if text in known] or found
        return self.rng.choice(found)

    async def look_up(self, host: HostProcess) -> list[str]:
        """Ask a directory."""
        place = host.place
        reader, writer = await asyncio.open_connection(
            *host.endpoint('directory'),
        )
        try:
            target = (
                f'/egretmill/resolve?Name={AUTHORITY}'
                f'&Region={place.region}&Zone={place.domain}'
            )
            writer.write(f'GET {target} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
            _, content = await read_answer(reader)
        finally:
            writer.close()
        return json.loads(content)['Addresses']

    async def ask(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; return whether the connection goes on."""
        route = self.rng.choices(ROUTES, (6, 3, 1))[0]
        keys = self.operator.keys_of(self.account)
        self.sent += 1
        asked = Asked(
            f'{self.number}-{self.sent}',
            self.clock(),
            route.name,
            self.account,
            self.rng.choice(keys),
            host,
        )
        self.record.asked[asked.identifier] = asked
        writer.write(encode(asked, route, self.rng.randrange(20)))
        try:
            async with asyncio.timeout(DEADLINE_S):
                head, content = await read_answer(reader)
        finally:
            asked.ended_at = self.clock()
        fields = parse_fields(head)
        asked.status = int(head.split()[1])
        signature = fields.get('egretmill-response-signature')
        whole = content == f'done {asked.identifier}'.encode()
        asked.intact = whole and signature == asked.identifier
        return fields.get('connection') != 'close'


def encode(asked: Asked, route: RouteSpec, number: int) -> bytes:
    """Return the bytes of a request."""
    body = b'' if route.kind == 'safe' else BODY
    method = 'GET' if route.kind == 'safe' else 'POST'
    return (
        f'{method} {route.prefix}{asked.identifier} HTTP/1.1\r\n'
        f'Host: {AUTHORITY}\r\n'
        f'Egretmill-Request-Id: {asked.identifier}\r\n'
        f'Cookie: Egretmill-Affinity-Key={number}\r\n'
        f'Egretmill-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
        f'Authorization: Bearer {asked.key}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return head and body of an answer."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(parse_fields(head).get('content-length', '0'))
    return head, await reader.readexactly(length)
