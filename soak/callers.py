"""Callers that reuse connections and record every answer."""

import asyncio
import contextlib
import json
import random

from soak.hosts import HostProcess
from soak.links import TcpLink
from soak.operator import AUTHORITY, ROUTES, Operator, RouteSpec
from soak.record import Record, RequestRecord
from soak.uploads import BODY, LONG_BODY, encode_body
from soak.upstreams import parse_fields

__all__ = ('Caller',)

#: Callers give up on a request after this time, which they also announce.
DEADLINE_S = 2.0
#: Upper end of the random number of requests on one connection.
MAX_REQUESTS_PER_CONNECTION = 40
#: Pause after a failed connection.
RECONNECT_DELAY_S = 0.1
LOOKUP_TIMEOUT_S = 1.0
#: One of so many uploads of a caller is long.
LONG_UPLOAD_INTERVAL = 5


class Caller:
    """One caller: sends one request at a time on a persistent connection."""

    def __init__(
        self,
        number: int,
        hosts: dict[str, HostProcess],
        entry_links: dict[str, TcpLink],
        operator: Operator,
        rng: random.Random,
    ) -> None:
        """Call the hosts through the links in front of their entries."""
        self.number = number
        self.hosts = hosts
        self.entry_links = entry_links
        self.operator = operator
        self.record: Record = operator.record
        self.rng = rng
        self.account = rng.choice(sorted(operator.accounts))
        self.clock = asyncio.get_running_loop().time
        self.request_count = 0
        self.upload_count = 0
        self.max_pause_s = 0.12

    async def run(self) -> None:
        """Send requests until cancelled; reconnect after failures."""
        while True:
            try:
                await self.use_connection()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def use_connection(self) -> None:
        """Open a connection and send a random number of requests on it."""
        host = await self.choose_host()
        async with asyncio.timeout(LOOKUP_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                *self.entry_links[host].address,
            )
        try:
            for _ in range(self.rng.randint(1, MAX_REQUESTS_PER_CONNECTION)):
                if not await self.send_request(host, reader, writer):
                    return
                await asyncio.sleep(self.rng.uniform(0, self.max_pause_s))
        finally:
            writer.close()

    async def choose_host(self) -> str:
        """Choose a host from a directory's answer, or any without one."""
        directory_host = self.rng.choice(sorted(self.hosts))
        candidates = sorted(self.hosts)
        with contextlib.suppress(
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
        ):
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                resolved = await self.fetch_addresses(
                    self.hosts[directory_host]
                )
            names = {
                '{}:{}'.format(*host.endpoint('entry')): name
                for name, host in self.hosts.items()
            }
            candidates = [
                names[address] for address in resolved if address in names
            ] or candidates
        return self.rng.choice(candidates)

    async def fetch_addresses(self, host: HostProcess) -> list[str]:
        """Return the addresses that the directory of a host resolves."""
        spec = host.spec
        reader, writer = await asyncio.open_connection(
            *host.endpoint('directory'),
        )
        try:
            target = (
                f'/egretmill/resolve?Name={AUTHORITY}'
                f'&Region={spec.region}&Zone={spec.domain}'
            )
            writer.write(f'GET {target} HTTP/1.1\r\nHost: h\r\n\r\n'.encode())
            _, content = await read_answer(reader)
        finally:
            writer.close()
        return json.loads(content)['Addresses']

    def encode_request(self, request: RequestRecord, route: RouteSpec) -> bytes:
        """Return the bytes of a request."""
        framing, body = self.make_body(route)
        affinity_key = self.rng.randrange(20)
        return encode_head(request, route, affinity_key, framing) + body

    def make_body(self, route: RouteSpec) -> tuple[str, bytes]:
        """Return framing header and body; long ones in either framing."""
        if route.kind == 'safe':
            return encode_body(b'', is_chunked=False)
        if route.kind == 'upload':
            self.upload_count += 1
            if not self.upload_count % LONG_UPLOAD_INTERVAL:
                is_chunked = bool(self.upload_count % 2)
                return encode_body(LONG_BODY, is_chunked=is_chunked)
        return encode_body(BODY, is_chunked=False)

    async def send_request(
        self,
        host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send one request; return whether the connection stays open."""
        route = self.rng.choices(ROUTES, (6, 3, 1))[0]
        keys = self.operator.get_active_keys(self.account)
        self.request_count += 1
        request = RequestRecord(
            f'{self.number}-{self.request_count}',
            self.clock(),
            route.name,
            self.account,
            self.rng.choice(keys),
            host,
        )
        self.record.asked[request.request_id] = request
        writer.write(self.encode_request(request, route))
        try:
            async with asyncio.timeout(DEADLINE_S):
                head, content = await read_answer(reader)
        finally:
            request.ended_at = self.clock()
        fields = parse_fields(head)
        request.status = int(head.split()[1])
        signature = fields.get('egretmill-response-signature')
        is_complete = content == f'done {request.request_id}'.encode()
        request.is_intact = is_complete and signature == request.request_id
        return fields.get('connection') != 'close'


def encode_head(
    request: RequestRecord, route: RouteSpec, affinity_key: int, framing: str
) -> bytes:
    """Return the bytes of a request up to its body."""
    method = 'GET' if route.kind == 'safe' else 'POST'
    return (
        f'{method} {route.prefix}{request.request_id} HTTP/1.1\r\n'
        f'Host: {AUTHORITY}\r\n'
        f'Egretmill-Request-Id: {request.request_id}\r\n'
        f'Cookie: Egretmill-Affinity-Key={affinity_key}\r\n'
        f'Egretmill-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n'
        f'Authorization: Bearer {request.key}\r\n'
        f'{framing}\r\n\r\n'
    ).encode()


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return head and body of an answer."""
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(parse_fields(head).get('content-length', '0'))
    return head, await reader.readexactly(length)
