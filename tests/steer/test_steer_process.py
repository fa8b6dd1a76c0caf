"""Tests of the steer program as a process, with a fake agent."""

import asyncio
import contextlib
import json
import sys

import pytest
from tornado.httpclient import AsyncHTTPClient

from egretmill.lookup.blocks import Change, ClientBlocks, Delta
from egretmill.lookup.blocks_file import digest_steps

ADDRESS = '127.0.0.1'
QUERY = 'service=rota-board&client=10.1.2.3'
BLOCK = Change.from_network('10.0.0.0/8', 'batumi-1')
SETTINGS = """
name = "entry-1"
failure_domain = "tbilisi-a"
address = "127.0.0.1"
ports = {{ steer = {steer}, agent = {agent} }}
timing = {{ drain_s = 0.5, shutdown_limit_s = 5, agent_poll_s = 0.05 }}

[platform]
url = "http://127.0.0.1:9"
"""


class Steer:
    """One process of the steer program, with an HTTP client."""

    def __init__(self, process, port):
        """Keep the process and its port."""
        self.process = process
        self.port = port
        self.client = AsyncHTTPClient(force_instance=True)

    async def kill(self):
        """Kill the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self):
        """Send SIGTERM and return the log of the whole run."""
        self.process.terminate()
        _, log = await self.process.communicate()
        return log.decode()

    async def get(self, path):
        """Return status, headers and decoded body of an answer."""
        answer = await self.client.fetch(
            f'http://{ADDRESS}:{self.port}{path}',
            raise_error=False,
            request_timeout=2,
        )
        return answer.code, answer.headers, json.loads(answer.body or '{}')

    async def lookup(self, query):
        """Return status and body of a look-up."""
        status, _, body = await self.get(f'/v1/lookup?{query}')
        return status, body

    async def wait_until(self, query, accept):
        """Repeat a look-up until its body is accepted."""
        async with asyncio.timeout(8):
            while not accept(await self.body_or_none(query)):
                await asyncio.sleep(0.02)

    async def body_or_none(self, query):
        """Return the body of a look-up, ``None`` when there is none yet."""
        with contextlib.suppress(OSError):
            status, body = await self.lookup(query)
            if status == 200:
                return body
        return None


def names(body):
    """Return the names of the hosts of an answer."""
    return [host['name'] for host in body['hosts']]


def prefers(name):
    """Return a predicate for answers whose first host has a name."""
    return lambda body: body is not None and names(body)[0] == name


@pytest.fixture
async def steer(agent, free_port, tmp_path):
    """Return a running steer program that is ready."""
    port = free_port()
    config = tmp_path / 'host.toml'
    config.write_text(SETTINGS.format(steer=port, agent=agent.port))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'egretmill.steer',
        '--config',
        str(config),
        stderr=asyncio.subprocess.PIPE,
    )
    running = Steer(process, port)
    try:
        await running.wait_until(QUERY, prefers('entry-3'))
        yield running
    finally:
        await running.kill()


async def test_lookup_names_the_callers_domain_first(steer):
    """Guards against answers that lack a field that callers need."""
    _, body = await steer.lookup(QUERY)
    assert body['hosts'][0] == {
        'name': 'entry-3',
        'address': '127.0.0.3',
        'port': 8080,
        'failure_domain': 'batumi-a',
    }
    assert names(body)[1:] == ['entry-2', 'entry-1']
    assert (body['ttl_s'], body['version'], body['degraded']) == (5, 1, False)


async def test_lookups_continue_without_the_agent(steer, agent):
    """Guards against look-ups that fail while the agent is lost."""
    agent.close()
    await asyncio.sleep(1)
    _, _, health = await steer.get('/v1/health')
    assert health['agent'] == 'lost'
    assert (await steer.lookup(QUERY))[0] == 200
    agent.peers = agent.peers[:1]
    agent.start()
    await steer.wait_until(QUERY, prefers('entry-1'))
    log = await steer.stop()
    assert ' agent_lost ' in log
    assert ' agent_back' in log


async def test_client_blocks_follow_the_agent(steer, agent):
    """Guards against outdated sites of callers when blocks change.

    The first change arrives as a delta, the second as a whole table.
    """
    moved = Change.from_network('10.1.0.0/16', 'tbilisi-1')
    blocks = ClientBlocks.from_changes(
        [BLOCK],
    ).unwrap()
    list(blocks.apply(Delta('', '', (moved,))).unwrap())
    digest = list(digest_steps(blocks))[-1]
    agent.publish_delta(Delta(agent.digest, digest, (moved,)))
    await steer.wait_until(QUERY, prefers('entry-1'))
    agent.publish(ClientBlocks.from_changes([BLOCK]).unwrap())
    await steer.wait_until(QUERY, prefers('entry-3'))


async def test_sigterm_ends_the_program_after_its_drain(steer, agent):
    """Guards against a shutdown that rejects look-ups during its drain."""
    steer.process.terminate()
    await asyncio.sleep(0.2)
    status, _, refusal = await steer.get('/v1/health')
    assert (status, refusal['error']) == (503, 'shutting_down')
    status, headers, _ = await steer.get(f'/v1/lookup?{QUERY}')
    assert (status, headers['Connection']) == (200, 'close')
    assert agent.pulls[-1].leaving
    _, log = await steer.process.communicate()
    assert steer.process.returncode == 0
    assert ' lookup_answered ' in log.decode()
    assert ' stopped complete=True' in log.decode()


BAD_REQUESTS = (
    ('/v1/lookup', 400, 'bad_request'),
    ('/v1/lookup?service=a&service=b', 400, 'bad_request'),
    ('/v1/lookup?service=%ff', 400, 'bad_request'),
    ('/v1/lookup?service=none', 404, 'unknown_service'),
    ('/v1/lookup?service=rota-board&client=1.2.3', 400, 'bad_request'),
    ('/v1/lookup?service=rota-board&client=%00', 400, 'bad_request'),
    ('/v1/lookup?service=rota-board&client=::1%25x', 400, 'bad_request'),
    ('/v2/lookup', 404, 'not_found'),
)


async def test_bad_requests_get_a_kind_and_a_detail(steer):
    """Guards against tracebacks and unclear answers for bad input."""
    paths = [row[0] for row in BAD_REQUESTS]
    answers = await asyncio.gather(*map(steer.get, paths))
    for row, (status, _, body) in zip(BAD_REQUESTS, answers, strict=True):
        assert (row[0], status, body['error']) == row
        assert body['detail']
    answer = await steer.client.fetch(
        f'http://{ADDRESS}:{steer.port}/v1/lookup',
        method='POST',
        body='',
        raise_error=False,
    )
    assert answer.code == 405
    assert json.loads(answer.body)['error'] == 'method_not_allowed'
    long_header = await steer.client.fetch(
        f'http://{ADDRESS}:{steer.port}/v1/health',
        headers={'X-Long': 'a' * 20000},
        raise_error=False,
    )
    assert long_header.code == 431
    assert json.loads(long_header.body)['error'] == 'headers_too_large'
    assert 'Traceback' not in await steer.stop()
