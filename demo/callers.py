"""Callers of the demo: look-ups, reads, writes and uploads."""

import asyncio
import collections
import dataclasses
import json
import random
import uuid

import xxhash
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from egretmill.wire.messages import HostRecord

__all__ = ('Callers', 'Tally')

REQUEST_TIMEOUT_S = 15.0
UPLOAD_TIMEOUT_S = 60.0
UPLOAD_CHUNK_BYTES = 65536
LOST = 599


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers saw: statuses, outcomes and wrong answers."""

    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    foreign: int = 0
    lookups: int = 0

    def add(self, response: HTTPResponse) -> None:
        """Count one answer."""
        self.statuses[response.code] += 1
        outcome = response.headers.get('X-Egretmill-Outcome', 'none')
        self.outcomes[outcome] += 1

    @property
    def served(self) -> int:
        """Return the number of requests answered with success."""
        return self.statuses[200]

    @property
    def refused(self) -> int:
        """Return the number of requests answered with an error."""
        total = sum(self.statuses.values())
        return total - self.served - self.statuses[LOST]


class Callers:
    """Callers who ask for entry hosts and cache the answer."""

    def __init__(self, hosts: tuple[HostRecord, ...], seed: int) -> None:
        """Know where look-ups are answered."""
        self.hosts = hosts
        self.random = random.Random(seed)
        self.tally = Tally()
        self.client = AsyncHTTPClient(force_instance=True, max_clients=200)

    async def look_up(self, service: str) -> list[str]:
        """Return base URLs of entry hosts in the order of preference."""
        start = self.random.randrange(len(self.hosts))
        for step in range(len(self.hosts)):
            host = self.hosts[(start + step) % len(self.hosts)]
            url = f'http://{host.address}:{host.steer_port}/v1/lookup'
            answer = await self.fetch(f'{url}?service={service}')
            if answer.code == 200:
                self.tally.lookups += 1
                found = json.loads(answer.body)['hosts']
                return [
                    f'http://{row["address"]}:{row["port"]}' for row in found
                ]
        raise RuntimeError('no host answers look-ups')

    async def fetch(self, url: str, **options: object) -> HTTPResponse:
        """Make one HTTP call; a lost connection has status 599."""
        options.setdefault('request_timeout', REQUEST_TIMEOUT_S)
        try:
            return await self.client.fetch(url, raise_error=False, **options)
        except (HTTPClientError, OSError) as error:
            return HTTPResponse(
                request=HTTPRequest(url),
                code=LOST,
                error=error,
            )

    async def ask(
        self,
        service: str,
        path: str,
        headers: dict[str, str],
        **options: object,
    ) -> HTTPResponse:
        """Ask entry hosts in turn until one answers."""
        mark = uuid.UUID(int=self.random.getrandbits(128)).hex
        headers = {'X-Work-Id': mark} | headers
        answer = None
        for base in await self.look_up(service):
            answer = await self.fetch(base + path, headers=headers, **options)
            if answer.code != LOST:
                break
        self.note(answer, headers['X-Work-Id'])
        return answer

    def note(self, answer: HTTPResponse, mark: str) -> None:
        """Count an answer and check that it belongs to its request."""
        self.tally.add(answer)
        if answer.code == 200 and json.loads(answer.body)['work_id'] != mark:
            self.tally.foreign += 1

    async def read(self, key: str) -> HTTPResponse:
        """Read the rota board."""
        number = self.random.randrange(1000)
        return await self.ask(
            'rota-board',
            f'/rota/{number}',
            {'X-Api-Key': key},
        )

    async def swap(self, key: str, mark: str) -> HTTPResponse:
        """Post a shift swap under an idempotency key."""
        return await self.ask(
            'swap-ledger',
            '/swaps',
            {'X-Api-Key': key, 'Idempotency-Key': mark, 'X-Work-Id': mark},
            method='POST',
            body=json.dumps({'swap': mark}),
        )

    async def upload(self, key: str, size: int) -> tuple[HTTPResponse, str]:
        """Stream a file; return the answer and the checksum sent."""
        block = bytes(range(256)) * (UPLOAD_CHUNK_BYTES // 256)
        checksum = xxhash.xxh3_64()

        async def produce(write) -> None:
            left = size
            while left:
                chunk = block[:left]
                checksum.update(chunk)
                await write(chunk)
                left -= len(chunk)

        answer = await self.ask(
            'doc-intake',
            '/documents',
            {'X-Api-Key': key, 'Content-Length': str(size)},
            method='POST',
            body_producer=produce,
            request_timeout=UPLOAD_TIMEOUT_S,
        )
        return answer, checksum.hexdigest()

    async def many(self, work, count: int, at_once: int) -> None:
        """Run calls with a bound on how many run at the same time."""
        gate = asyncio.Semaphore(at_once)

        async def one(number: int) -> None:
            async with gate:
                await work(number)

        await asyncio.gather(*(one(number) for number in range(count)))
