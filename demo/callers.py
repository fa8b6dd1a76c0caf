"""Callers of the demo: they look up entry hosts, read, write and upload."""

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
#: Status that tornado gives a call without an answer.
NO_ANSWER = 599


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the answers that callers received.

    :ivar foreign: answers that belong to another request.
    """

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
        return total - self.served - self.statuses[NO_ANSWER]


class Callers:
    """Callers that look up entry hosts before each request."""

    def __init__(self, hosts: tuple[HostRecord, ...], seed: int) -> None:
        """Prepare the client; all hosts answer look-ups."""
        self.hosts = hosts
        self.random = random.Random(seed)
        self.tally = Tally()
        self.client = AsyncHTTPClient(force_instance=True, max_clients=200)

    async def look_up(self, service: str) -> list[str]:
        """Return the base URLs of entry hosts, the preferred one first."""
        first_index = self.random.randrange(len(self.hosts))
        for step in range(len(self.hosts)):
            host = self.hosts[(first_index + step) % len(self.hosts)]
            url = f'http://{host.address}:{host.steer_port}/v1/lookup'
            answer = await self.fetch(f'{url}?service={service}')
            if answer.code == 200:
                self.tally.lookups += 1
                entry_hosts = json.loads(answer.body)['hosts']
                return [
                    f'http://{row["address"]}:{row["port"]}'
                    for row in entry_hosts
                ]
        raise RuntimeError('no host answers look-ups')

    async def fetch(self, url: str, **options: object) -> HTTPResponse:
        """Make one HTTP call; a failed connection gives status 599."""
        options.setdefault('request_timeout', REQUEST_TIMEOUT_S)
        try:
            return await self.client.fetch(url, raise_error=False, **options)
        except (HTTPClientError, OSError) as error:
            return HTTPResponse(
                request=HTTPRequest(url),
                code=NO_ANSWER,
                error=error,
            )

    async def request(
        self,
        service: str,
        path: str,
        headers: dict[str, str],
        **options: object,
    ) -> HTTPResponse:
        """Send a request to entry hosts in turn until one answers."""
        work_id = uuid.UUID(int=self.random.getrandbits(128)).hex
        headers = {'X-Work-Id': work_id} | headers
        answer = None
        for base in await self.look_up(service):
            answer = await self.fetch(base + path, headers=headers, **options)
            if answer.code != NO_ANSWER:
                break
        self.record_answer(answer, headers['X-Work-Id'])
        return answer

    def record_answer(self, answer: HTTPResponse, work_id: str) -> None:
        """Count an answer and check that it belongs to its request."""
        self.tally.add(answer)
        if answer.code == 200 and json.loads(answer.body)['work_id'] != work_id:
            self.tally.foreign += 1

    async def read_board(self, key: str) -> HTTPResponse:
        """Read a random page of the rota board."""
        page = self.random.randrange(1000)
        return await self.request(
            'rota-board',
            f'/rota/{page}',
            {'X-Api-Key': key},
        )

    async def post_swap(self, key: str, work_id: str) -> HTTPResponse:
        """Post a shift swap under an idempotency key."""
        return await self.request(
            'swap-ledger',
            '/swaps',
            {
                'X-Api-Key': key,
                'Idempotency-Key': work_id,
                'X-Work-Id': work_id,
            },
            method='POST',
            body=json.dumps({'swap': work_id}),
        )

    async def upload(self, key: str, size: int) -> tuple[HTTPResponse, str]:
        """Stream a file; return the answer and the checksum sent."""
        block = bytes(range(256)) * (UPLOAD_CHUNK_BYTES // 256)
        checksum = xxhash.xxh3_64()

        async def write_body(write) -> None:
            remaining = size
            while remaining:
                chunk = block[:remaining]
                checksum.update(chunk)
                await write(chunk)
                remaining -= len(chunk)

        answer = await self.request(
            'doc-intake',
            '/documents',
            {'X-Api-Key': key, 'Content-Length': str(size)},
            method='POST',
            body_producer=write_body,
            request_timeout=UPLOAD_TIMEOUT_S,
        )
        return answer, checksum.hexdigest()

    async def run_concurrently(
        self, send_request, count: int, at_once: int
    ) -> None:
        """Run ``count`` calls, at most ``at_once`` of them concurrently."""
        semaphore = asyncio.Semaphore(at_once)

        async def run_one(number: int) -> None:
            async with semaphore:
                await send_request(number)

        await asyncio.gather(*(run_one(number) for number in range(count)))
