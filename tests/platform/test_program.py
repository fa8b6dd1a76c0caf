"""The host program as a process, against the stand-in of the store."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from standins.tables import TableServer, make_application

ROOT = pathlib.Path(__file__).parents[2]
ADDRESS = '127.0.0.1'
PATIENCE_S = 20
NAMES = ('entry', 'readiness', 'directory', 'metrics', 'peers')
SETTINGS = """
[host]
name = "h1"
address = "127.0.0.1"
failure_domain = "west-a"
region = "west"
room = 1
[listen]
entry = "127.0.0.1:{entry}"
readiness = "127.0.0.1:{readiness}"
directory = "127.0.0.1:{directory}"
metrics = {metrics}
peers = {peers}
[store]
address = "127.0.0.1:{store}"
[regions]
"west-a" = "west"
[bounds]
Grace = "4s"
Revoke = "5s"
"""


def configuration(version, keys):
    """Return the operator's row."""
    rule = {
        'Name': 'r',
        'Kind': 'unsafe',
        'Match': {'PathPrefix': '/a/'},
        'Action': {'Service': 's', 'Timeout': '2s', 'MaxAttempts': 2},
        'TargetLatency': '500ms',
    }
    body = {
        'Version': f'{version:08x}',
        'Tenants': [{'Name': 't', 'ApiKeys': keys}],
        'Listeners': [{'Host': 'h', 'Rules': [rule]}],
        'Clusters': [{'Name': 's'}],
    }
    return json.dumps(body).encode()


class Worker:
    """A worker that answers after a delay and counts what it ran."""

    def __init__(self):
        self.ran = []
        self.delay_s = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                identifier = header(head, b'egretmill-request-id')
                self.ran.append(identifier)
                await asyncio.sleep(self.delay_s)
                writer.write(
                    b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
                    b'Egretmill-Response-Signature: s\r\n'
                    b'Egretmill-Request-Id: %b\r\n\r\nyes' % identifier,
                )


def header(head, name):
    """Return a header of a raw head."""
    for line in head.split(b'\r\n'):
        key, _, text = line.partition(b':')
        if key.lower() == name:
            return text.strip()
    return b''


class World:
    """Store, worker and the process of one host."""

    def __init__(self, path):
        self.path = path
        self.log = path.with_suffix('.log')
        self.store = TableServer()
        self.worker = Worker()
        self.ports = {}
        self.process = None

    async def open(self, stack):
        """Start store and worker."""
        listener, store_port = bind_unused_port()
        http = HTTPServer(make_application(self.store))
        http.add_socket(listener)
        stack.callback(http.stop)
        worker = await asyncio.start_server(self.worker.serve, ADDRESS, 0)
        stack.callback(worker.close)
        sockets = [bind_unused_port() for _ in NAMES]
        self.ports = {
            name: free[1] for name, free in zip(NAMES, sockets, strict=True)
        }
        for free in sockets:
            free[0].close()
        settings = SETTINGS.format(store=store_port, **self.ports)
        self.path.write_text(settings)
        self.store.put('op', 'config', configuration(1, ['k1']))
        # An entry of an earlier run: the host need not wait for a lease.
        entry = {'address': ADDRESS, 'port': self.ports['peers']}
        self.store.put('egretmill-roster', 'h1', json.dumps(entry).encode())
        address = worker.sockets[0].getsockname()
        self.store.put('servers', 'w1', worker_row(address[1]))

    async def start(self):
        """Start the process and wait until it is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/start.py',
            cwd=ROOT,
            env={**os.environ, 'EGRETMILL_CONFIG': str(self.path)},
            stdout=self.log.open('ab'),
        )
        await self.until_ready(200)

    async def until_logged(self, event):
        """Wait for an event in the log of the process."""
        async with asyncio.timeout(PATIENCE_S):
            while f'"{event}"' not in self.log.read_text():
                await asyncio.sleep(0.05)

    async def until_ready(self, status):
        """Wait for a status of the readiness address."""
        async with asyncio.timeout(PATIENCE_S):
            while await self.readiness() != status:
                await asyncio.sleep(0.05)

    async def readiness(self):
        """Return the status of the readiness address, 0 when it is away."""
        try:
            found = await self.get('readiness', b'/egretmill/readiness')
        except (OSError, asyncio.IncompleteReadError):
            return 0
        return found[0]

    async def get(self, port, path, identifier=b'', key=b'k1'):
        """Send a request; return status, head and body."""
        reader, writer = await asyncio.open_connection(
            ADDRESS,
            self.ports[port],
        )
        writer.write(
            b'GET %b HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %b\r\n'
            b'Egretmill-Request-Id: %b\r\n\r\n' % (path, key, identifier),
        )
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(header(head, b'content-length') or 0)
        body = await reader.readexactly(length)
        writer.close()
        return int(head.split()[1]), head, body

    async def stop(self):
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def worker_row(port):
    """Return the entry of a worker."""
    body = {
        'Address': f'{ADDRESS}:{port}',
        'Info': {'Service': 's', 'Zone': 'west-a', 'Slots': 4},
        'Status': {'State': 'ready', 'Sequence': 1, 'ColdRemaining': '0ms'},
        'born': 1,
    }
    return json.dumps(body).encode()


@pytest.fixture
async def world(tmp_path):
    """Return a host that is ready."""
    made = World(tmp_path / 'host.toml')
    async with contextlib.AsyncExitStack() as stack:
        await made.open(stack)
        stack.push_async_callback(made.stop)
        await made.start()
        yield made


async def test_whole_path(world):
    """Guards against parts that fit their tests and not each other."""
    status, head, body = await world.get('entry', b'/a/1', b'id1')
    assert (status, body) == (200, b'yes')
    assert header(head, b'egretmill-response-signature') == b's'
    status, _, body = await world.get(
        'directory',
        b'/egretmill/resolve?Name=h&Region=west&Zone=west-a',
    )
    entry = f'{ADDRESS}:{world.ports["entry"]}'
    assert json.loads(body)['Addresses'] == [entry]
    status, _, body = await world.get('metrics', b'/metrics')
    assert b'egretmill_answers_total{route="r",status="200"} 1.0' in body


async def test_withdrawn_key_stops(world):
    """Guards against a key that runs on after its withdrawal."""
    assert (await world.get('entry', b'/a/1', b'id1'))[0] == 200
    world.store.put('op', 'config', configuration(2, ['k2']))
    await asyncio.sleep(0.5)
    assert (await world.get('entry', b'/a/1', b'id2'))[0] == 401
    assert (await world.get('entry', b'/a/1', b'id3', b'k2'))[0] == 200
    assert world.worker.ran == [b'id1', b'id3']


async def test_leaving_worker_gets_nothing(world):
    """Guards against new work for a worker that is not registered."""
    world.store.remove('servers', 'w1')
    await asyncio.sleep(2)
    status, head, _ = await world.get('entry', b'/a/1', b'id1')
    assert status == 503
    assert header(head, b'x-egretmill-outcome') == b'not-run'
    assert not world.worker.ran


async def test_sigterm_cuts_no_request(world):
    """Guards against a graceful shutdown that breaks off work."""
    world.worker.delay_s = 1
    running = asyncio.create_task(world.get('entry', b'/a/1', b'id1'))
    await asyncio.sleep(0.3)
    world.process.send_signal(signal.SIGTERM)
    await world.until_ready(503)
    status, head, _ = await running
    assert status == 200
    assert header(head, b'connection') == b'close'
    async with asyncio.timeout(PATIENCE_S):
        assert await world.process.wait() == 0


async def test_killed_host_is_rebuilt_from_the_store(world):
    """Guards against state that a killed process takes with it."""
    world.process.kill()
    await world.process.wait()
    await world.start()
    assert (await world.get('entry', b'/a/1', b'id1'))[0] == 200


async def test_outage_of_the_store_ends_keyed_requests(world):
    """Guards against keys that are trusted without proof."""
    world.store.faults.status = 503
    assert (await world.get('entry', b'/a/1', b'id1'))[0] == 200
    await asyncio.sleep(6.5)
    assert (await world.get('entry', b'/a/1', b'id2'))[0] == 503
    world.store.faults.status = 0
    await asyncio.sleep(1.5)
    assert (await world.get('entry', b'/a/1', b'id3'))[0] == 200
    assert world.worker.ran == [b'id1', b'id3']


async def test_settings_change_without_a_signal(world):
    """Guards against settings that wait for a signal that never comes."""
    kept = world.path.read_text()
    world.path.write_text(kept.replace('Grace = "4s"', 'Grace = "3s"'))
    await world.until_logged('settings_reloaded')
    assert '"changed": true' in world.log.read_text()


async def test_broken_settings_change_nothing(world):
    """Guards against a program that ends over a broken file, or hides it."""
    world.path.write_text('[host')
    world.process.send_signal(signal.SIGHUP)
    await world.until_logged('settings_rejected')
    assert (await world.get('entry', b'/a/1', b'id1'))[0] == 200
