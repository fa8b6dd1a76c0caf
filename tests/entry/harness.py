"""Runs an entry program in the test process, with stand-in upstreams."""

import asyncio
import contextlib
import ipaddress
import pathlib
import socket
import time

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError

from egretmill.accounts import digest_key
from egretmill.entry.program import EntryProgram
from egretmill.settings import HostSettings, PlatformSettings
from egretmill.wire.messages import HostState, ShareSlot, UpstreamRecord
from standins import upstream as standin

__all__ = ('KEY', 'EntryHarness', 'running_entry')

ADDRESS = '127.0.0.1'
KEY = 'egk_test-key-of-the-first-account'
DOCUMENT = pathlib.Path(__file__).with_name('environment.toml')
# Above the loan time of the document (0.1 s) and its margin.
SHARE_WAIT_S = 0.25
LEASE_S = 600.0
# One address for each upstream, so that the port of a killed one stays free
# for its restart.
UPSTREAM_ADDRESSES = map(str, ipaddress.ip_network('127.2.0.0/16').hosts())


class EntryHarness:
    """An entry program, its stand-in upstreams and an HTTP client."""

    def __init__(self, document: str | None = None) -> None:
        """Create the program of a host without listening."""
        self.text = document or DOCUMENT.read_text()
        self.text = self.text.replace('@digest@', digest_key(KEY))
        self.version = 0
        self.program = EntryProgram(
            HostSettings(
                name='host-1',
                failure_domain='domain-a',
                address=ADDRESS,
                platform=PlatformSettings('http://127.0.0.1:9'),
            ),
        )
        self.client = AsyncHTTPClient(force_instance=True, max_clients=100)
        self.upstreams: dict[str, standin.Upstream] = {}
        self.records: dict[str, UpstreamRecord] = {}
        self.servers: dict[str, HTTPServer] = {}
        self.killed: set[str] = set()
        self.base = ''
        self.port = 0

    @property
    def state(self):
        """Return the state of the entry program."""
        return self.program.state

    def start(self) -> None:
        """Start two upstreams per service at one site, and the program."""
        for service in ('board', 'ledger', 'intake'):
            for number in (1, 2):
                self.add_upstream(service, f'{service}-{number}')
        self.listen()

    def listen(self) -> None:
        """Accept callers and put the document in force."""
        self.program.http = HTTPServer(self.program.make_application())
        self.port, listening = bound_socket()
        self.program.http.add_socket(listening)
        self.base = f'http://{ADDRESS}:{self.port}'
        self.apply(self.text)

    def add_upstream(
        self, service: str, name: str, site: str = 'site-a'
    ) -> None:
        """Start a stand-in upstream at a site."""
        slots = 4
        upstream = standin.Upstream(name, slots)
        server = HTTPServer(
            standin.make_application(upstream),
            max_body_size=standin.MAX_BODY_BYTES,
        )
        address = next(UPSTREAM_ADDRESSES)
        port, listening = bound_socket(address)
        server.add_socket(listening)
        self.upstreams[name] = upstream
        self.servers[name] = server
        self.records[name] = UpstreamRecord(
            name=name,
            service=service,
            site=site,
            address=address,
            port=port,
            slots=slots,
            max_connections=330,
        )

    def apply(self, text: str | None = None, **changes: object) -> None:
        """Apply a new host state to the program.

        :param text: document that becomes the next version.
        :param changes: other fields of the host state.
        """
        if text is not None:
            self.version += 1
            self.text = text
        now = time.monotonic()
        state = HostState(
            host='host-1',
            version=self.version,
            document=self.text.encode(),
            confirmed_at=now,
            settled_version=self.version,
            slot=ShareSlot(0, 1, now + LEASE_S, 1.0),
            peers=(),
            upstreams=tuple(self.records.values()),
            upstreams_digest=str(len(self.records)),
        )
        self.state.apply(msgspec.structs.replace(state, **changes))

    def set_faults(self, service: str, **switches: object) -> None:
        """Set fault switches of all upstreams of a service."""
        for name, upstream in self.upstreams.items():
            if name.startswith(service):
                upstream.faults = standin.Faults(**switches)

    async def kill(self, name: str) -> None:
        """Close an upstream, so that connections to it are refused."""
        self.killed.add(name)
        self.servers[name].stop()
        await self.servers[name].close_all_connections()

    def revive(self, name: str) -> None:
        """Restart a killed upstream at its address."""
        upstream = self.upstreams[name]
        server = HTTPServer(standin.make_application(upstream))
        record = self.records[name]
        server.listen(record.port, record.address)
        self.servers[name] = server

    def move_upstreams(self, changes: dict[str, object]) -> None:
        """Change fields of all upstreams in the host list."""
        for name, record in self.records.items():
            self.records[name] = msgspec.structs.replace(record, **changes)
        self.apply(upstreams_digest=str(changes))

    async def fetch(self, path: str, **options: object) -> HTTPResponse:
        """Make a request with the key; error statuses do not raise."""
        headers = {'X-Api-Key': KEY} | dict(options.pop('headers', {}))
        options.setdefault('request_timeout', 10)
        request = HTTPRequest(self.base + path, headers=headers, **options)
        return await self.client.fetch(request, raise_error=False)

    def executions(self, mark: str) -> int:
        """Return how often upstreams executed a marked request."""
        return sum(
            upstream.executions[mark] for upstream in self.upstreams.values()
        )

    async def send_raw(self, request: bytes, wait_s: float = 2.0) -> bytes:
        """Send bytes and return all that is received until the close."""
        reader, writer = await asyncio.open_connection(ADDRESS, self.port)
        writer.write(request)
        received = b''
        with contextlib.suppress(TimeoutError, ConnectionError):
            received = await asyncio.wait_for(reader.read(), wait_s)
        writer.close()
        return received

    async def stop(self) -> None:
        """Close the program, the client and the upstreams."""
        await self.program.http.close_all_connections()
        self.program.http.stop()
        self.client.close()
        for server in self.servers.values():
            server.stop()
            with contextlib.suppress(StreamClosedError):
                await server.close_all_connections()


def bound_socket(address: str = ADDRESS) -> tuple[int, socket.socket]:
    """Return a listening socket on a free port."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((address, 0))
    listening.listen(128)
    listening.setblocking(False)  # noqa: FBT003
    return listening.getsockname()[1], listening


@contextlib.asynccontextmanager
async def running_entry(document: str | None = None):
    """Run an entry program for one test, once its shares are usable."""
    harness = EntryHarness(document)
    harness.start()
    await asyncio.sleep(SHARE_WAIT_S)
    try:
        yield harness
    finally:
        await harness.stop()
