"""A host whose callers hold as many descriptors as it may open."""

import asyncio
import contextlib
import os
import resource

import pytest

from tests.misbehaving import keep_tasks
from tests.platform.test_program import (
    ADDRESS,
    TIMEOUT_S,
    Environment,
    find_header,
)

DESCRIPTORS = 400
#: Fewer than the settings of the host allow.
FREE_DESCRIPTORS = 60
CROWD = 500
#: Longer than the route's timeout.
UPSTREAM_DELAY_S = 10.0
#: Time in which a platform's callers give up a connection, in seconds.
CALLER_PATIENCE_S = 1.0
FILL_S = 1.5
PROBED_S = 4.0
PROBES_AT_ONCE = 8
REQUEST = (
    b'GET /a/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n'
    b'Egretmill-Request-Id: %b\r\n\r\n'
)


class CrowdedEnvironment(Environment):
    """A host with few descriptors and an upstream with many slots."""

    def write_settings(self, store_port):
        """Write settings that limit the descriptors."""
        super().write_settings(store_port)
        text = self.path.read_text()
        self.path.write_text(
            text.replace('room = 1', f'room = 1\ndescriptors = {DESCRIPTORS}')
        )

    async def start_dependencies(self, stack):
        """Register the upstream with more slots than callers."""
        await super().start_dependencies(stack)
        content, _ = self.store.rows['servers', 'w1']
        self.store.put(
            'servers', 'w1', content.replace(b'"Slots": 4', b'"Slots": 2000')
        )

    def limit_descriptors(self, limit):
        """Set the kernel's limit of the host process."""
        resource.prlimit(
            self.process.pid, resource.RLIMIT_NOFILE, (limit, limit)
        )

    async def ask(self, identifier):
        """Send a request on a new connection; return its status and head."""
        reader, writer = await asyncio.open_connection(
            ADDRESS, self.ports['entry']
        )
        try:
            writer.write(REQUEST % identifier)
            head = await reader.readuntil(b'\r\n\r\n')
        finally:
            writer.close()
        return int(head.split()[1]), head

    def count_descriptors(self):
        """Return how many descriptors the host process has open."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))


async def keep_asking(environment, number, answers):
    """Ask again after each answer or failure, as impatient callers do."""
    while True:
        try:
            answers.append(await environment.ask(b'crowd-%d' % number))
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)


async def probe(environment, number):
    """Return the status that a new caller gets, or how its attempt failed."""
    try:
        async with asyncio.timeout(CALLER_PATIENCE_S):
            return (await environment.ask(b'probe-%d' % number))[0]
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        return type(error).__name__


@pytest.fixture
async def crowded(tmp_path):
    """Return an environment whose host may open few descriptors."""
    started = CrowdedEnvironment(tmp_path / 'host.toml')
    started.upstream.delay_s = UPSTREAM_DELAY_S
    async with contextlib.AsyncExitStack() as stack:
        await started.start_dependencies(stack)
        stack.push_async_callback(started.stop_host)
        await started.start_host()
        started.limit_descriptors(DESCRIPTORS)
        yield started


@contextlib.asynccontextmanager
async def crowd(environment, answers):
    """Keep a crowd of callers waiting; add the answers that they get."""
    tasks = [
        asyncio.create_task(keep_asking(environment, number, answers))
        for number in range(CROWD)
    ]
    async with keep_tasks(tasks):
        await asyncio.sleep(FILL_S)
        yield


async def probe_repeatedly(environment):
    """Return what new callers get, and the host's answers on readiness."""
    loop = asyncio.get_running_loop()
    outcomes = []
    readiness = []
    end_at = loop.time() + PROBED_S
    while loop.time() < end_at:
        outcomes += await asyncio.gather(
            *(probe(environment, number) for number in range(PROBES_AT_ONCE))
        )
        readiness.append(await environment.readiness())
        await asyncio.sleep(0.2)
    return outcomes, readiness


async def test_new_callers_are_answered_while_a_crowd_waits(crowded):
    """Guards against a ready host that takes no new connection."""
    answers = []
    async with crowd(crowded, answers):
        outcomes, readiness = await probe_repeatedly(crowded)
    assert set(outcomes) <= {200, 503, 504}
    assert set(readiness) == {200}
    refused = [head for status, head in answers if status == 503]
    assert refused
    for head in refused:
        assert find_header(head, b'x-egretmill-outcome') == b'not-run'


async def test_no_caller_is_left_waiting_if_the_kernel_allows_less(crowded):
    """Guards against a listener that stops while no descriptor is free."""
    crowded.limit_descriptors(crowded.count_descriptors() + FREE_DESCRIPTORS)
    async with crowd(crowded, []):
        outcomes, _ = await probe_repeatedly(crowded)
    assert 'TimeoutError' not in outcomes
    crowded.upstream.delay_s = 0
    await crowded.wait_for_readiness(200)
    async with asyncio.timeout(TIMEOUT_S):
        while await probe(crowded, 0) != 200:
            await asyncio.sleep(0.05)
