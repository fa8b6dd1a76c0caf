"""The host program as a process, with a stand-in for the store."""

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

from standins.tables import TableFaults, TableServer, make_application

ROOT = pathlib.Path(__file__).parents[2]
ADDRESS = '127.0.0.1'
TIMEOUT_S = 20
GRACE_S = 4
CALLERS = 16
UPLOAD_BYTES = 3 << 20
PIECE_BYTES = 65536
MAX_REQUESTS = 400
#: Time for applying a version by the contract of the users, in seconds.
TIME_TO_APPLY_S = 2.5
PORT_NAMES = ('entry', 'readiness', 'directory', 'metrics', 'peers')
SETTINGS = """
[host]
name = "{name}"
address = "{address}"
failure_domain = "west-a"
region = "west"
room = 1
[listen]
entry = "{address}:{entry}"
readiness = "{address}:{readiness}"
directory = "{address}:{directory}"
metrics = {metrics}
peers = {peers}
[store]
address = "127.0.0.1:{store}"
[regions]
"west-a" = "west"
[bounds]
Grace = "{grace_s}s"
Revoke = "5s"
"""


def configuration_row(version, keys):
    """Return the operator's configuration, with one account or with none."""
    rule = {
        'Name': 'r',
        'Kind': 'unsafe',
        'Match': {'PathPrefix': '/a/'},
        'Action': {'Service': 's', 'Timeout': '2s', 'MaxAttempts': 2},
        'TargetLatency': '500ms',
    }
    body = {
        'Version': f'{version:08x}',
        'Tenants': [{'Name': 't', 'ApiKeys': keys}] if keys else [],
        'Listeners': [{'Host': 'h', 'Rules': [rule]}],
        'Clusters': [{'Name': 's'}],
    }
    return json.dumps(body).encode()


class Upstream:
    """An upstream that answers after a delay and records its requests.

    Of a longer body, it reads ``early_bytes`` before it answers, and the rest
    after a pause.
    """

    def __init__(self):
        self.request_ids = []
        self.delay_s = 0
        self.early_bytes = 65536
        self.pause_s = 0
        self.received_bytes = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
        ):
            while True:
                await self.answer_next(reader, writer)

    async def answer_next(self, reader, writer):
        """Read a request and answer it after the delay."""
        head = await reader.readuntil(b'\r\n\r\n')
        identifier = find_header(head, b'egretmill-request-id')
        self.request_ids.append(identifier)
        length = int(find_header(head, b'content-length') or 0)
        early_bytes = min(length, self.early_bytes)
        await reader.readexactly(early_bytes)
        await asyncio.sleep(self.delay_s)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            b'Egretmill-Response-Signature: s\r\n'
            b'Egretmill-Request-Id: %b\r\n\r\nyes' % identifier,
        )
        await asyncio.sleep(self.pause_s)
        await reader.readexactly(length - early_bytes)
        self.received_bytes += length


def find_header(head, name):
    """Return the value of a header in a raw head, empty if missing."""
    for line in head.split(b'\r\n'):
        key, _, text = line.partition(b':')
        if key.lower() == name:
            return text.strip()
    return b''


class Environment:
    """A store, an upstream and the process of one host."""

    def __init__(self, path, name='h1', address=ADDRESS):
        self.name = name
        self.address = address
        self.path = path
        self.log = path.with_suffix('.log')
        self.store = TableServer()
        self.upstream = Upstream()
        self.ports = {}
        self.process = None
        self.pause_s = 0

    async def start_dependencies(self, stack):
        """Start the store and the upstream, and write the settings file."""
        listener, store_port = bind_unused_port()
        http = HTTPServer(make_application(self.store))
        http.add_socket(listener)
        stack.callback(http.stop)
        upstream = await asyncio.start_server(self.upstream.serve, ADDRESS, 0)
        stack.callback(upstream.close)
        sockets = [bind_unused_port() for _ in PORT_NAMES]
        self.ports = {
            name: port_socket[1]
            for name, port_socket in zip(PORT_NAMES, sockets, strict=True)
        }
        for port_socket in sockets:
            port_socket[0].close()
        self.write_settings(store_port)
        self.store.put('op', 'config', configuration_row(1, ['k1']))
        self.put_roster_entry(self)
        address = upstream.sockets[0].getsockname()
        self.store.put('servers', 'w1', upstream_row(address[1]))

    def write_settings(self, store_port):
        """Write the settings file."""
        settings = SETTINGS.format(
            name=self.name,
            address=self.address,
            store=store_port,
            grace_s=GRACE_S,
            **self.ports,
        )
        self.path.write_text(settings)

    def put_roster_entry(self, host):
        """Put a host's entry of an earlier run into the store.

        With it, the host does not wait for a lease.
        """
        entry = {
            'address': host.address,
            'port': host.ports['peers'],
            'known_by_all': True,
        }
        self.store.put(
            'egretmill-roster', host.name, json.dumps(entry).encode()
        )

    async def start_host(self):
        """Start the host process and wait until it is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/start.py',
            cwd=ROOT,
            env={**os.environ, 'EGRETMILL_CONFIG': str(self.path)},
            stdout=self.log.open('ab'),
        )
        await self.wait_for_readiness(200)

    async def wait_for_event(self, event):
        """Wait for an event in the log of the host."""
        async with asyncio.timeout(TIMEOUT_S):
            while f'"{event}"' not in self.log.read_text():
                await asyncio.sleep(0.05)

    async def wait_for_readiness(self, status):
        """Wait until the readiness endpoint answers with a status."""
        async with asyncio.timeout(TIMEOUT_S):
            while await self.readiness() != status:
                await asyncio.sleep(0.05)

    async def readiness(self):
        """Return the status of the readiness endpoint, 0 without an answer."""
        try:
            response = await self.get('readiness', b'/egretmill/readiness')
        except (OSError, asyncio.IncompleteReadError):
            return 0
        return response[0]

    async def get(self, port, path, identifier=b'', key=b'k1'):
        """Connect, pause, send a request; return status, head and body."""
        reader, writer = await asyncio.open_connection(
            self.address,
            self.ports[port],
        )
        await asyncio.sleep(self.pause_s)
        writer.write(
            b'GET %b HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %b\r\n'
            b'Egretmill-Request-Id: %b\r\n\r\n' % (path, key, identifier),
        )
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(find_header(head, b'content-length') or 0)
        body = await reader.readexactly(length)
        writer.close()
        return int(head.split()[1]), head, body

    async def stop_host(self):
        """Kill the host process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def upstream_row(port):
    """Return the content of an upstream's registration."""
    body = {
        'Address': f'{ADDRESS}:{port}',
        'Info': {'Service': 's', 'Zone': 'west-a', 'Slots': 4},
        'Status': {'State': 'ready', 'Sequence': 1, 'ColdRemaining': '0ms'},
        'born': 1,
    }
    return json.dumps(body).encode()


@pytest.fixture
async def environment(tmp_path):
    """Return an environment whose host is ready."""
    started = Environment(tmp_path / 'host.toml')
    async with contextlib.AsyncExitStack() as stack:
        await started.start_dependencies(stack)
        stack.push_async_callback(started.stop_host)
        await started.start_host()
        yield started


async def test_request_passes_through_all_parts(environment):
    """Guards against parts that pass their own tests but do not fit together.

    Covers entry, directory and metrics of one host.
    """
    status, head, body = await environment.get('entry', b'/a/1', b'id1')
    assert (status, body) == (200, b'yes')
    assert find_header(head, b'egretmill-response-signature') == b's'
    status, _, body = await environment.get(
        'directory',
        b'/egretmill/resolve?Name=h&Region=west&Zone=west-a',
    )
    entry = f'{ADDRESS}:{environment.ports["entry"]}'
    assert json.loads(body)['Addresses'] == [entry]
    status, _, body = await environment.get('metrics', b'/metrics')
    assert b'egretmill_answers_total{route="r",status="200"} 1.0' in body


async def test_withdrawn_key_is_rejected(environment):
    """Guards against a key that is still accepted after its withdrawal."""
    assert (await environment.get('entry', b'/a/1', b'id1'))[0] == 200
    environment.store.put('op', 'config', configuration_row(2, ['k2']))
    await asyncio.sleep(0.5)
    assert (await environment.get('entry', b'/a/1', b'id2'))[0] == 401
    assert (await environment.get('entry', b'/a/1', b'id3', b'k2'))[0] == 200
    assert environment.upstream.request_ids == [b'id1', b'id3']


async def test_no_key_works_once_the_last_account_has_left(environment):
    """Guards against withdrawn and unknown keys that run without accounts."""
    assert (await environment.get('entry', b'/a/1', b'id1'))[0] == 200
    environment.store.put('op', 'config', configuration_row(2, []))
    await asyncio.sleep(0.5)
    for key in (b'k1', b'never-known', b''):
        assert (await environment.get('entry', b'/a/2', b'id2', key))[0] == 401
    assert environment.upstream.request_ids == [b'id1']


@pytest.fixture
async def peer(environment, tmp_path):
    """Return a second host, whose store can hold what the first one lacks."""
    started = Environment(tmp_path / 'peer.toml', 'h2', '127.0.0.2')
    started.ports = environment.ports
    listener, store_port = bind_unused_port()
    http = HTTPServer(make_application(started.store))
    http.add_socket(listener)
    environment.put_roster_entry(started)
    started.store.rows = dict(environment.store.rows)
    started.store.version = environment.store.version
    started.store.compacted_version = environment.store.version
    started.write_settings(store_port)
    try:
        await started.start_host()
        yield started
    finally:
        await started.stop_host()
        http.stop()


@pytest.mark.parametrize('fault', [{'silent': True}, {'status': 503}])
async def test_host_without_the_store_gets_a_change_from_a_peer(
    environment, peer, fault
):
    """Guards against an outdated host whose peers have the change."""
    assert (await environment.get('entry', b'/a/1'))[0] == 200
    environment.store.faults = TableFaults(**fault)
    peer.store.put('op', 'config', configuration_row(2, ['k2']))
    async with asyncio.timeout(TIME_TO_APPLY_S):
        while (await environment.get('entry', b'/a/2', key=b'k2'))[0] != 200:
            await asyncio.sleep(0.05)
    assert (await environment.get('entry', b'/a/3'))[0] == 401


async def test_deregistered_upstream_gets_no_requests(environment):
    """Guards against requests to an upstream that is no longer registered."""
    environment.store.remove('servers', 'w1')
    await asyncio.sleep(2)
    status, head, _ = await environment.get('entry', b'/a/1', b'id1')
    assert status == 503
    assert find_header(head, b'x-egretmill-outcome') == b'not-run'
    assert not environment.upstream.request_ids


async def test_sigterm_interrupts_no_request(environment):
    """Guards against a graceful shutdown that breaks off running requests."""
    environment.upstream.delay_s = 1
    request = asyncio.create_task(environment.get('entry', b'/a/1', b'id1'))
    await asyncio.sleep(0.3)
    environment.process.send_signal(signal.SIGTERM)
    await environment.wait_for_readiness(503)
    status, head, _ = await request
    assert status == 200
    assert find_header(head, b'connection') == b'close'
    async with asyncio.timeout(TIMEOUT_S):
        assert await environment.process.wait() == 0


async def test_restarted_host_restores_its_state_from_the_store(environment):
    """Guards against state that is lost when a host process is killed."""
    environment.process.kill()
    await environment.process.wait()
    await environment.start_host()
    assert (await environment.get('entry', b'/a/1', b'id1'))[0] == 200


async def test_restarted_host_uses_nothing_that_was_withdrawn(environment):
    """Guards against a key or upstream that is in use again after a restart.

    Both are withdrawn while the host is down.
    """
    assert (await environment.get('entry', b'/a/1', b'id1'))[0] == 200
    environment.process.kill()
    await environment.process.wait()
    environment.store.put('op', 'config', configuration_row(2, ['k2']))
    environment.store.remove('servers', 'w1')
    await environment.start_host()
    assert (await environment.get('entry', b'/a/1', b'id2'))[0] == 401
    assert (await environment.get('entry', b'/a/1', b'id3', b'k2'))[0] == 503
    assert environment.upstream.request_ids == [b'id1']


@pytest.mark.parametrize('pause_s', [0, 0.02])
async def test_planned_stop_under_load_cuts_no_accepted_request(
    environment, pause_s
):
    """Guards against requests that end without an answer during a stop.

    Callers keep sending on new connections until the host refuses them.
    """
    environment.upstream.delay_s = 0.05
    environment.pause_s = pause_s
    answered = []
    broken = []

    async def send_until_refused(caller):
        for number in range(MAX_REQUESTS):
            identifier = b'%d-%d' % (caller, number)
            try:
                answer = await environment.get('entry', b'/a/1', identifier)
            except ConnectionError:
                return
            except asyncio.IncompleteReadError:
                broken.append(identifier)
                return
            answered.append(answer[0])

    callers = [
        asyncio.create_task(send_until_refused(caller))
        for caller in range(CALLERS)
    ]
    await asyncio.sleep(0.5)
    environment.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(TIMEOUT_S):
        await asyncio.gather(*callers)
        assert await environment.process.wait() == 0
    assert not broken
    assert set(answered) <= {200, 503}
    assert answered.count(200) >= CALLERS


async def test_requests_sent_late_in_a_stop_are_not_passed_on(environment):
    """Guards against requests that a stop cuts while an upstream has them.

    Callers connect before the host closes its listener and send later.
    """
    content, _ = environment.store.rows['servers', 'w1']
    environment.store.put(
        'servers', 'w1', content.replace(b'"Slots": 4', b'"Slots": 400')
    )
    await asyncio.sleep(0.5)
    environment.upstream.delay_s = 1.0
    environment.pause_s = 0.2
    loop = asyncio.get_running_loop()
    sent_s = {}
    answered = {}

    async def ask(identifier):
        try:
            answer = await environment.get('entry', b'/a/1', identifier)
        except (OSError, asyncio.IncompleteReadError):
            return
        answered[identifier] = answer[0]

    environment.process.send_signal(signal.SIGTERM)
    stopped_at = loop.time()
    callers = []
    while loop.time() < stopped_at + GRACE_S / 2:
        identifier = b'%d' % len(callers)
        sent_s[identifier] = loop.time() + environment.pause_s - stopped_at
        callers.append(asyncio.create_task(ask(identifier)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*callers)
    passed_on = environment.upstream.request_ids
    assert all(sent_s[identifier] <= GRACE_S / 2 for identifier in passed_on)
    assert all(answered[identifier] == 200 for identifier in passed_on)
    refused = sent_s.keys() - set(passed_on)
    assert 503 in {answered.get(identifier) for identifier in refused}


async def test_planned_stop_answers_all_requests_of_a_busy_connection(
    environment,
):
    """Guards against requests taken so late that the stop cuts them off.

    The caller always has a request in flight, so the connection is never idle.
    """
    environment.upstream.delay_s = 1.0
    reader, writer = await asyncio.open_connection(
        ADDRESS, environment.ports['entry']
    )
    answered = asyncio.create_task(reader.read())
    sent = 0

    async def keep_sending():
        nonlocal sent
        while not answered.done():
            sent += 1
            identifier = b'p-%d' % sent
            writer.write(
                b'GET /a/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n'
                b'Egretmill-Request-Id: %b\r\n\r\n' % identifier
            )
            await asyncio.sleep(0.4)

    sending = asyncio.create_task(keep_sending())
    await asyncio.sleep(1)
    environment.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(TIMEOUT_S):
        content = await answered
        assert await environment.process.wait() == 0
    sending.cancel()
    taken = len(environment.upstream.request_ids)
    assert taken > 2
    assert content.count(b'HTTP/1.1 200') == taken
    assert content.count(b'Connection: close') == 1


async def request_after_upload(environment, upload_s):
    """Send an upload that is answered early, then a request.

    Return the status of the request, and whether its answer closes.

    :param upload_s: duration of the upload, in seconds.
    """
    reader, writer = await asyncio.open_connection(
        ADDRESS, environment.ports['entry']
    )
    pieces = UPLOAD_BYTES // PIECE_BYTES
    head = b'Host: h\r\nAuthorization: Bearer k1\r\nEgretmill-Request-Id: '
    with contextlib.closing(writer):
        writer.write(
            b'POST /a/1 HTTP/1.1\r\n%bup\r\nContent-Length: %d\r\n\r\n'
            % (head, UPLOAD_BYTES)
        )
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for number in range(1, pieces + 1):
            writer.write(bytes(PIECE_BYTES))
            due_at = started_at + upload_s * number / pieces
            await asyncio.sleep(due_at - loop.time())
        early = await reader.readuntil(b'\r\n\r\nyes')
        assert early.startswith(b'HTTP/1.1 200')
        assert find_header(early, b'connection') != b'close'
        writer.write(b'GET /a/2 HTTP/1.1\r\n%bnext\r\n\r\n' % head)
        answer = await reader.readuntil(b'\r\n\r\n')
        closes = find_header(answer, b'connection') == b'close'
        return int(answer.split()[1]), closes


async def test_requests_behind_answered_uploads_are_answered_in_a_stop(
    environment,
):
    """Guards against requests that a stopping host reads and never answers.

    The second upload ends when the host takes no more requests.
    """
    callers = [
        asyncio.create_task(request_after_upload(environment, upload_s))
        for upload_s in (1.5, 3.4)
    ]
    await asyncio.sleep(0.5)
    environment.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(TIMEOUT_S):
        assert await asyncio.gather(*callers) == [(200, True), (503, True)]
        assert await environment.process.wait() == 0


async def test_planned_stop_sends_the_rest_of_an_answered_upload(environment):
    """Guards against a process that ends before its last body is sent."""
    environment.upstream.pause_s = 1.0
    reader, writer = await asyncio.open_connection(
        ADDRESS, environment.ports['entry']
    )
    writer.write(
        b'POST /a/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n'
        b'Egretmill-Request-Id: up\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n' % UPLOAD_BYTES
    )
    writer.write(bytes(UPLOAD_BYTES))
    async with asyncio.timeout(TIMEOUT_S):
        early = await reader.readuntil(b'\r\n\r\nyes')
        assert early.startswith(b'HTTP/1.1 200')
        environment.process.send_signal(signal.SIGTERM)
        await writer.drain()
        writer.close()
        assert await environment.process.wait() == 0
    assert environment.upstream.received_bytes == UPLOAD_BYTES


async def test_store_outage_refuses_keyed_requests(environment):
    """Guards against accepting keys that the store no longer confirms."""
    environment.store.faults.status = 503
    assert (await environment.get('entry', b'/a/1', b'id1'))[0] == 200
    await asyncio.sleep(6.5)
    assert (await environment.get('entry', b'/a/1', b'id2'))[0] == 503
    environment.store.faults.status = 0
    await asyncio.sleep(1.5)
    assert (await environment.get('entry', b'/a/1', b'id3'))[0] == 200
    assert environment.upstream.request_ids == [b'id1', b'id3']


async def test_changed_settings_are_reloaded_without_a_signal(environment):
    """Guards against new settings that are not read until a signal arrives."""
    original = environment.path.read_text()
    environment.path.write_text(
        original.replace('Grace = "4s"', 'Grace = "3s"')
    )
    await environment.wait_for_event('settings_reloaded')
    assert '"changed": true' in environment.log.read_text()


async def test_invalid_settings_change_nothing(environment):
    """Guards against a host that exits on an invalid file or logs nothing."""
    environment.path.write_text('[host')
    environment.process.send_signal(signal.SIGHUP)
    await environment.wait_for_event('settings_rejected')
    assert (await environment.get('entry', b'/a/1', b'id1'))[0] == 200
