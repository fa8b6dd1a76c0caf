"""A small deployment on loopback addresses, for the scripts of review/6 on.

Host processes are started with the command of the deploy file. The store is
the project's stand-in; workers and clients are the ones below. Times of the
record are seconds since the start of the script.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from tornado import web
from tornado.httpserver import HTTPServer

from standins.tables import SavedTables, TableServer, make_application

__all__ = (
    'Client',
    'Deployment',
    'HostProcess',
    'Route',
    'Store',
    'Worker',
    'is_disrupted',
    'run_case',
)

ROOT = pathlib.Path(__file__).parents[1]
HOST_NAME = 'review.example'
#: Longest run of a script, in seconds.
MAX_RUN_S = 110
READY_TIMEOUT_S = 30
REQUEST_NUMBERS = itertools.count(1)
HELD, BROKEN, NOT_RUN = 0, 1, 2
HTTP_UNAVAILABLE = 503
HEAD_END = b'\r\n\r\n'
CONNECTION_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    TimeoutError,
)
#: Bounds of the users' sites of seven machines.
BOUNDS = (
    ('Contact', '3000ms'),
    ('Drain', '2500ms'),
    ('Grace', '6s'),
    ('LossSlack', '200ms'),
    ('ConfigApply', '2500ms'),
    ('FailClosed', 'true'),
    ('Revoke', '5000ms'),
    ('RetryBudgetRatio', '0.2'),
    ('BudgetWindow', '10s'),
    ('RetryAllowance', '62'),
    ('QuotaOverage', '0.1'),
    ('QuotaSlack', '20'),
    ('ttl_max', '5s'),
)
SETTINGS = """[host]
name = "{name}"
address = "{address}"
failure_domain = "zilina-a"
region = "sk-central"
room = 0.86
cores = 1
link_mbps = 1000.0
descriptors = 4100
[listen]
entry = "{address}:{entry}"
readiness = "{address}:{readiness}"
directory = "{address}:{directory}"
metrics = {metrics}
peers = {peers}
[store]
address = "{store}"
[regions]
"zilina-a" = "sk-central"
[bounds]
{bounds}
"""


def is_disrupted() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def find_free_port(address: str) -> int:
    """Return a port that is free on an address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def parse_fields(head: bytes) -> dict[str, str]:
    """Return the header fields of a message, names in lower case."""
    lines = head.decode('latin-1').split('\r\n')[1:]
    pairs = (line.partition(':') for line in lines if line)
    return {name.lower(): text.strip() for name, _, text in pairs}


@dataclasses.dataclass
class Record:
    """Lines for ``record.txt``."""

    started_at: float = dataclasses.field(default_factory=time.monotonic)
    lines: list[str] = dataclasses.field(default_factory=list)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> None:
        """Add a line with the time."""
        self.lines.append(f'{self.now():8.3f} {text}')


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of the configuration."""

    name: str
    kind: str
    service: str
    timeout: str
    target_latency: str = '300ms'

    def encode(self) -> dict[str, Any]:
        """Return the rule in its wire form."""
        return {
            'Name': self.name,
            'Kind': self.kind,
            'Match': {'PathPrefix': f'/{self.name}/'},
            'Action': {
                'Service': self.service,
                'Timeout': self.timeout,
                'MaxAttempts': 2,
            },
            'TargetLatency': self.target_latency,
        }


class UnavailableHandler(web.RequestHandler):
    """Answers all calls with 503."""

    def prepare(self) -> None:
        """Answer that nothing was done."""
        self.set_status(HTTP_UNAVAILABLE)
        self.finish()


def listen(server: HTTPServer) -> str:
    """Let a server listen on a free port; return its address."""
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    listener.setblocking(False)
    server.add_socket(listener)
    return '{0}:{1}'.format(*listener.getsockname())


class Store:
    """The platform's store, with the writes of operator and workers."""

    def __init__(self, record: Record) -> None:
        """Serve on a free port."""
        self.record = record
        self.tables = TableServer()
        self.version = 0
        self.http = HTTPServer(make_application(self.tables))
        self.address = listen(self.http)

    def move(self) -> str:
        """Serve at another address; return the one that answers 503 now."""
        before = self.address
        self.http.request_callback = web.Application(
            [('.*', UnavailableHandler)], log_function=lambda handler: None
        )
        self.http = HTTPServer(make_application(self.tables))
        self.address = listen(self.http)
        return before

    def configure(
        self, *routes: Route, tenants: Mapping[str, str] | None = None
    ) -> None:
        """Write the next version of the configuration.

        :param tenants: key of each tenant; ``None`` for no tenants at all.
        """
        self.version += 1
        services = sorted({route.service for route in routes})
        body = {
            'Version': f'{self.version:08x}',
            'Listeners': [
                {
                    'Host': HOST_NAME,
                    'Rules': [route.encode() for route in routes],
                }
            ],
            'Clusters': [{'Name': name} for name in services],
        }
        if tenants is not None:
            body['Tenants'] = [
                {
                    'Name': name,
                    'ApiKeys': [key],
                    'RatePerS': 100,
                    'Burst': 100,
                    'HomeRegions': [],
                }
                for name, key in tenants.items()
            ]
        self.tables.put('op', 'config', json.dumps(body).encode())
        names = [f'{route.name} at {route.service}' for route in routes]
        held = None if tenants is None else list(tenants)
        self.record.add(f'version {self.version}: {names}, tenants {held}')

    def register(self, worker: 'Worker', state: str = 'ready') -> None:
        """Write the entry of a worker."""
        worker.sequence += 1
        body = {
            'Address': worker.address,
            'Info': {
                'Service': worker.service,
                'Version': '1',
                'Zone': 'zilina-a',
                'Slots': worker.slots,
            },
            'Status': {
                'State': state,
                'Sequence': worker.sequence,
                'ColdRemaining': '0ms',
            },
            'born': worker.born,
        }
        self.tables.put('servers', worker.name, json.dumps(body).encode())
        self.record.add(
            f'entry {worker.name}: {state}, born {worker.born}, '
            f'Sequence {worker.sequence}'
        )

    def admit_host(self, host: 'HostProcess') -> None:
        """Write a roster entry as an earlier start of a host leaves it."""
        entry = {
            'address': host.address,
            'port': host.ports['peers'],
            'known_by_all': True,
        }
        self.tables.put(
            'egretmill-roster', host.name, json.dumps(entry).encode()
        )


class HostProcess:
    """A host program, started with the command of the deploy file."""

    def __init__(self, number: int, folder: pathlib.Path, store: Store) -> None:
        """Choose address and ports, and write the settings."""
        pid = os.getpid()
        self.name = f'edge-zilina-a-{number}'
        self.address = f'127.{pid >> 8 & 0xFF}.{pid & 0xFF}.{number + 10}'
        names = ('entry', 'readiness', 'directory', 'metrics', 'peers')
        self.ports = {name: find_free_port(self.address) for name in names}
        self.settings_path = folder / f'{self.name}.toml'
        self.log_path = folder / f'{self.name}.log'
        self.settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                address=self.address,
                store=store.address,
                bounds='\n'.join(f'{key} = "{text}"' for key, text in BOUNDS),
                **self.ports,
            )
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> asyncio.subprocess.Process:
        """Start the program; its log goes to a file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['EGRETMILL_CONFIG'] = str(self.settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        return self.process

    async def is_ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ports['readiness']
                )
                writer.write(b'GET /egretmill/readiness HTTP/1.0\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        return False

    async def wait_until_ready(self) -> None:
        """Wait until the host is ready.

        :raises TimeoutError: when it takes too long.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Worker:
    """A worker that runs each request for a fixed time.

    :param born: Unix time of its start, in milliseconds.
    """

    def __init__(self, name: str, service: str, record: Record) -> None:
        """Create a worker that is not started yet."""
        self.name = name
        self.service = service
        self.record = record
        self.work_s = 0.05
        self.slots = 200
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.address = ''
        #: Time and request id of each run.
        self.runs: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', port, reuse_address=True
        )
        endpoint = self.server.sockets[0].getsockname()
        self.address = '{0}:{1}'.format(*endpoint)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        with contextlib.suppress(*CONNECTION_ERRORS, asyncio.CancelledError):
            while True:
                await self.serve_request(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request; reject one that names another worker."""
        fields = parse_fields(await reader.readuntil(HEAD_END))
        await reader.readexactly(int(fields.get('content-length', '0')))
        request_id = fields.get('egretmill-request-id', '')
        target = fields.get('egretmill-target-instance', self.name)
        status, extra = 421, 'Egretmill-Not-Executed: 1'
        if target == self.name:
            started_at = self.record.now()
            self.runs.append((started_at, request_id))
            self.record.add(f'{self.name} runs {request_id}')
            await asyncio.sleep(self.work_s)
            self.record.add(f'{self.name} answers {request_id}')
            status, extra = 200, f'Egretmill-Response-Signature: s.{request_id}'
        writer.write(
            f'HTTP/1.1 {status} -\r\nEgretmill-Request-Id: {request_id}\r\n'
            f'{extra}\r\nContent-Length: 2\r\n\r\nok'.encode()
        )


@dataclasses.dataclass
class Client:
    """Sends requests to a host, each on a new connection.

    :param key: API key, empty for none.
    :param ends: status of each request by its id; ``cut`` for a connection
        that ended without a complete answer.
    """

    host: HostProcess
    record: Record
    key: str = ''
    ends: dict[str, str] = dataclasses.field(default_factory=dict)
    #: Time at which each request was sent.
    sent_at: dict[str, float] = dataclasses.field(default_factory=dict)

    async def send(
        self, route: Route, deadline_ms: int, connected_s: float = 0
    ) -> str:
        """Send a request; return its id.

        :param connected_s: time between connecting and sending.
        """
        request_id = f'{route.name}-{next(REQUEST_NUMBERS)}'
        try:
            end = await self._exchange(
                route, request_id, deadline_ms, connected_s
            )
        except TimeoutError:
            end = 'deadline'
        except (OSError, asyncio.IncompleteReadError):
            end = self.ends.get(request_id, 'no connection')
        self.ends[request_id] = end
        self.record.add(f'client gets {end} for {request_id}')
        return request_id

    async def _exchange(
        self,
        route: Route,
        request_id: str,
        deadline_ms: int,
        connected_s: float,
    ) -> str:
        reader, writer = await asyncio.open_connection(
            self.host.address, self.host.ports['entry']
        )
        await asyncio.sleep(connected_s)
        self.record.add(f'client sends {request_id}')
        self.sent_at[request_id] = self.record.now()
        self.ends[request_id] = 'cut'
        writer.write(encode_request(route, request_id, deadline_ms, self.key))
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                return await read_status(reader)
        finally:
            writer.close()


async def read_status(reader: asyncio.StreamReader) -> str:
    """Read a whole answer; return its status."""
    head = await reader.readuntil(HEAD_END)
    await reader.readexactly(int(parse_fields(head)['content-length']))
    return head.split()[1].decode()


def encode_request(
    route: Route, request_id: str, deadline_ms: int, key: str
) -> bytes:
    """Return the bytes of a request; one that is not safe has a body."""
    is_safe = route.kind == 'safe'
    method = 'GET' if is_safe else 'POST'
    body = '' if is_safe else 'amount=1'
    framing = '' if is_safe else f'Content-Length: {len(body)}\r\n'
    credentials = f'Authorization: Bearer {key}\r\n' if key else ''
    return (
        f'{method} /{route.name}/{request_id} HTTP/1.1\r\n'
        f'Host: {HOST_NAME}\r\n'
        f'Egretmill-Request-Id: {request_id}\r\n'
        f'Egretmill-Deadline-Ms: {deadline_ms}\r\n'
        f'{credentials}{framing}\r\n{body}'
    ).encode()


class Deployment:
    """Store, hosts and workers of one script."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Start the store."""
        self.folder = folder
        self.record = Record()
        self.store = Store(self.record)
        self.hosts: list[HostProcess] = []
        self.workers: list[Worker] = []
        #: What the store may come back from.
        self.copy: SavedTables | None = None

    def add_host(self) -> HostProcess:
        """Add a host that is not started yet."""
        host = HostProcess(len(self.hosts) + 1, self.folder, self.store)
        self.store.admit_host(host)
        self.hosts.append(host)
        return host

    async def start_host(self) -> HostProcess:
        """Add a host and wait until it is ready."""
        host = self.add_host()
        await host.start()
        await host.wait_until_ready()
        return host

    async def start_worker(
        self, name: str, service: str, work_s: float = 0.05
    ) -> Worker:
        """Start and register a worker."""
        worker = Worker(name, service, self.record)
        worker.work_s = work_s
        self.workers.append(worker)
        await worker.start()
        self.store.register(worker)
        return worker


#: Plays a case; returns what was seen, and whether the rule was broken.
PlayCase = Callable[[Deployment], Awaitable[tuple[str, bool]]]


async def play_and_clean_up(play: PlayCase, record_path: pathlib.Path) -> int:
    """Play a case, end all processes and write the record."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(pathlib.Path(folder))
        try:
            async with asyncio.timeout(MAX_RUN_S):
                seen, is_broken = await play(deployment)
        except Exception as error:
            seen, is_broken = f'could not run: {error!r}', None
        finally:
            for host in deployment.hosts:
                await host.kill()
    verdict = {True: 'BROKEN', False: 'held', None: 'NOT RUN'}[is_broken]
    summary = f'{verdict}: {seen}'
    lines = (summary, *deployment.record.lines, '')
    record_path.write_text('\n'.join(lines))
    sys.stdout.write(f'{summary}\n')
    return {True: BROKEN, False: HELD, None: NOT_RUN}[is_broken]


def run_case(play: PlayCase, script: str) -> int:
    """Run a case; return the exit status of its script.

    :param script: path of the script; ``record.txt`` goes beside it.
    """
    record_path = pathlib.Path(script).with_name('record.txt')
    return asyncio.run(play_and_clean_up(play, record_path))
