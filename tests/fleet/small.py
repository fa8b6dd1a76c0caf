"""Three entry hosts as real processes, with the calls that tests need."""

import asyncio
import json
import pathlib
import signal
import time
import uuid

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from demo.fleet import Fleet, ServiceSize
from egretmill.accounts import digest_key

__all__ = ('KEY', 'SmallFleet')

KEY = 'egk_key-of-the-small-fleet'
DOMAINS = (
    ('domain-a', 'region-a', 1),
    ('domain-b', 'region-a', 1),
    ('domain-c', 'region-b', 1),
)
SERVICES = (
    ServiceSize('board', 6, 4),
    ServiceSize('ledger', 6, 4),
)
DOCUMENT = pathlib.Path(__file__).with_name('environment.toml')
READY_LIMIT_S = 20.0
CONNECTION_LOST_STATUS = 599


class SmallFleet:
    """Processes of a small fleet, with an HTTP client."""

    def __init__(self, folder: pathlib.Path, net: int) -> None:
        """Create the layout of the fleet; start nothing."""
        self.fleet = Fleet(
            folder,
            net,
            log_level='INFO',
            drain_s=0.3,
            domains=DOMAINS,
            services=SERVICES,
        )
        self.hosts = self.fleet.hosts
        self.text = DOCUMENT.read_text().replace('@digest@', digest_key(KEY))
        self.version = 0
        self.client = AsyncHTTPClient(force_instance=True, max_clients=200)

    async def start(self) -> None:
        """Start all processes and promote the first document."""
        self.fleet.start_standins()
        url = f'{self.fleet.platform_url}/hosts'
        await self.wait_until(
            lambda: self.try_post(url, self.fleet.host_list()),
            'platform',
        )
        for host in self.hosts:
            self.fleet.start_host(host)
        await self.wait_until(lambda: self.try_promote(self.text), 'promotion')
        for host in self.hosts:
            await self.wait_until(lambda: self.can_read(host), host.name)

    async def wait_until(
        self, condition, description: str, limit_s=READY_LIMIT_S
    ) -> float:
        """Wait for an asynchronous condition; return the seconds it took."""
        began = time.monotonic()
        while not await condition():
            took_s = time.monotonic() - began
            assert took_s < limit_s, f'{description}: not within {limit_s} s'
            await asyncio.sleep(0.05)
        return time.monotonic() - began

    async def try_post(self, url: str, body: bytes) -> bool:
        """Return whether a POST succeeded."""
        answer = await self.call(
            url,
            method='POST',
            body=body,
            headers={'Content-Type': 'application/toml'},
        )
        return answer.code == 200

    async def try_promote(self, text: str, host: int = 0) -> bool:
        """Promote a document through a host agent; return its success."""
        record = self.hosts[host]
        url = (
            f'http://{record.address}:8092/v1/promote?operator=test'
            f'&replaces={self.version}&attempt={uuid.uuid4()}'
        )
        if not await self.try_post(url, text.encode()):
            return False
        self.version += 1
        self.text = text
        return True

    async def can_read(self, host) -> bool:
        """Return whether a host serves a read."""
        answer = await self.read(host)
        return answer.code == 200

    async def read(self, host, **headers: str) -> HTTPResponse:
        """Read through one host."""
        return await self.request(host, '/board/1', headers)

    async def write(self, host, **headers: str) -> HTTPResponse:
        """Post a non-idempotent request through one host."""
        return await self.request(
            host,
            '/ledger',
            headers,
            method='POST',
            body=b'{}',
        )

    async def request(
        self,
        host,
        path: str,
        headers: dict[str, str],
        **options: object,
    ) -> HTTPResponse:
        """Make a request; underscores of header names become dashes."""
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        url = f'http://{host.address}:{host.entry_port}{path}'
        return await self.call(
            url,
            headers={'X-Api-Key': KEY} | named,
            **options,
        )

    async def call(self, url: str, **options: object) -> HTTPResponse:
        """Make an HTTP call; a lost connection has status 599."""
        request = HTTPRequest(url, request_timeout=15, **options)
        try:
            return await self.client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return HTTPResponse(request, CONNECTION_LOST_STATUS, error=error)

    async def status(self, host) -> dict:
        """Return what the agent of a host reports."""
        answer = await self.call(f'http://{host.address}:8092/v1/status')
        return json.loads(answer.body)

    async def has_version(self, host, version: int) -> bool:
        """Return whether a host applies at least a version."""
        return (await self.status(host))['version'] >= version

    async def platform_faults(self, **switches: object) -> None:
        """Set the fault switches of the platform stand-in."""
        url = f'{self.fleet.platform_url}/faults'
        assert await self.try_post(url, json.dumps(switches).encode())

    async def upstream_faults(self, service: str, **switches: object) -> None:
        """Set the fault switches of all upstreams of a service."""
        for upstream in self.fleet.upstreams:
            if upstream.service == service:
                url = f'http://{upstream.address}:{upstream.port}/faults'
                body = json.dumps(switches).encode()
                assert await self.try_post(url, body)

    async def executions(self, work_id: str) -> int:
        """Return how often a marked request ran, over all upstreams."""
        total = 0
        for upstream in self.fleet.upstreams:
            url = f'http://{upstream.address}:{upstream.port}/executions'
            answer = await self.call(url)
            total += json.loads(answer.body)['executions'].get(work_id, 0)
        return total

    def signal(self, host, program: str, number: signal.Signals) -> None:
        """Send a signal to one program of a host."""
        self.fleet.signal(f'{host.name}/{program}', number)

    def wait(self, host, program: str, limit_s: float) -> int:
        """Wait for the end of a program and return its exit status."""
        process = self.fleet.processes[f'{host.name}/{program}']
        return process.wait(limit_s)
