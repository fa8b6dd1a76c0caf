"""What upstreams say in their answers, on each path of a request."""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from egretmill.errors import ErrorKind
from egretmill.fleet.upstreams import UpstreamState
from egretmill.host.exchange import Exchange
from egretmill.host.event_loop import BootLoop
from egretmill.host.request_check import check_request
from egretmill.host.state_updater import StateUpdater
from egretmill.peers import UpstreamChanges, decode_datagram, encode_datagram
from tests.host.fakes import make_head, make_state, upstream
from tests.host.test_exchange import (
    NOT_RUN,
    SIGNED,
    Pending,
    ScriptedUpstream,
    response,
)

LEAVING = b'X-Leaving: 1\r\n'
PAUSE_S = 2.5
SERVED = response()
SERVED_LEAVING = response(headers=SIGNED + LEAVING)
REFUSED_LEAVING = response(503, NOT_RUN + LEAVING)
FAILED_LEAVING = response(500, SIGNED + LEAVING)
REFUSED_PAUSED = response(503, NOT_RUN + b'Retry-After: 2.5\r\n')
#: Path, method and body of a request of each kind.
READ = (b'/r/1', b'GET', b'')
WRITE = (b'/o/1', b'POST', b'x')
LARGE = (b'/o/2', b'POST', b'x' * 200_000)


class SharedScript:
    """Answers that several upstreams give in the order of the requests."""

    def __init__(self, answers):
        self.answers = answers

    def upstream(self):
        """Return an upstream that takes the next of the answers."""
        script = ScriptedUpstream()
        script.answers = self.answers
        return script


class Host:
    """A host with scripted upstreams."""

    def __init__(self, scripts, ports):
        self.scripts = scripts
        self.updater = StateUpdater(make_state())
        self.state = self.updater.state
        self.told = []
        self.updater.on_leaving = self.told.append
        for number, port in enumerate(ports):
            self.updater.put_upstream(upstream(f'u{number}', port, version=5))

    async def send(self, path=b'/r/1', method=b'GET', content=b'', **fields):
        """Send a request; return its result."""
        head = make_head(path, method, **fields)
        request = check_request(head, self.state, random.Random(1)).ok_value
        return await Exchange(self.state, Pending(head, content), request).run()

    def counts(self):
        """Return how many requests each upstream has got."""
        return [script.count() for script in self.scripts]

    def report(self, **changes):
        """Apply a report of the first upstream from the store."""
        current = self.state.pool.loads.get('u0')
        port = current.record.port if current else 1
        self.updater.put_upstream(upstream('u0', port, **changes))


def run(scenario, *scripts):
    """Run a scenario with a host and its upstreams."""

    async def serve():
        async with contextlib.AsyncExitStack() as stack:
            ports = []
            for script in scripts:
                server = await asyncio.start_server(
                    script.serve, '127.0.0.1', 0
                )
                stack.callback(server.close)
                ports.append(server.sockets[0].getsockname()[1])
            await scenario(Host(scripts, ports))

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        runner.run(serve())


@pytest.mark.parametrize(
    'answer', [SERVED_LEAVING, REFUSED_LEAVING, FAILED_LEAVING]
)
@pytest.mark.parametrize('request_kind', [READ, WRITE, LARGE])
def test_no_request_follows_the_word_of_an_upstream(answer, request_kind):
    """Guards against requests to an upstream that said that it leaves.

    Also over a connection that is kept, for an object that it has handled.
    """

    async def scenario(host):
        await host.send(*request_kind)
        sent = host.counts()
        assert sent == [1]
        for _ in range(3):
            refused = await host.send(*request_kind)
            assert refused.err_value.kind is ErrorKind.NO_UPSTREAM
        assert host.counts() == sent
        assert not host.state.pool.idle

    run(scenario, ScriptedUpstream(answer, SERVED, SERVED, SERVED))


def test_retry_goes_to_another_upstream():
    """Guards against a repeat at the upstream that has just refused."""

    async def scenario(host):
        answered = await host.send()
        assert answered.ok_value.status == 200
        assert host.counts() == [1, 1]
        for _ in range(3):
            await host.send()
        assert sorted(host.counts()) == [1, 4]

    shared = SharedScript([REFUSED_LEAVING, *[SERVED] * 4])
    run(scenario, shared.upstream(), shared.upstream())


def test_request_under_way_ends_normally_after_the_word():
    """Guards against a request that is broken off, and against a next one."""

    async def scenario(host):
        first = asyncio.create_task(host.send())
        await asyncio.sleep(0.05)
        load = host.state.pool.loads['u0']
        assert load.in_flight
        host.updater.record_own_answer(load.record)
        refused = await host.send()
        assert refused.err_value.kind is ErrorKind.NO_UPSTREAM
        assert (await first).ok_value.status == 200
        assert host.counts() == [1]

    run(scenario, ScriptedUpstream(SERVED, SERVED, delay_s=0.1))


@pytest.mark.parametrize(
    'changes',
    [
        {'beat': 1, 'version': 6},
        {'beat': 9, 'version': 7},
        {'beat': 0, 'version': 0},
    ],
)
def test_later_report_of_the_store_does_not_undo_the_word(changes):
    """Guards against an older or late report that says ready."""

    async def scenario(host):
        await host.send()
        host.report(**changes)
        host.updater.apply_changes(
            UpstreamChanges('h2', 99, [upstream('u0', beat=50, version=99)])
        )
        await host.send()
        assert host.counts() == [1]

    run(scenario, ScriptedUpstream(SERVED_LEAVING, SERVED))


def test_new_start_under_the_name_is_used_at_once():
    """Guards against an upstream that gets nothing after its restart."""

    async def scenario(host):
        await host.send()
        host.report(incarnation=2, beat=0, version=9)
        assert (await host.send()).ok_value.status == 200
        assert host.counts() == [2]

    run(scenario, ScriptedUpstream(SERVED_LEAVING, SERVED))


def test_late_answer_of_the_last_start_does_not_bind_the_next():
    """Guards against a word that is taken for that of another incarnation."""

    async def scenario(host):
        first = asyncio.create_task(host.send())
        await asyncio.sleep(0.05)
        host.report(incarnation=2, beat=0, version=9)
        await first
        assert (await host.send()).ok_value.status == 200

    run(scenario, ScriptedUpstream(SERVED_LEAVING, SERVED, delay_s=0.1))


def test_misdirected_request_says_nothing_of_its_upstream():
    """Guards against the word of another upstream at a reused address."""

    async def scenario(host):
        await host.send()
        load = host.state.pool.loads['u0']
        assert not load.record.is_leaving
        assert not load.pause.until

    headers = LEAVING + b'Retry-After: 9\r\n'
    run(scenario, ScriptedUpstream(response(421, headers), SERVED))


def test_peers_are_told_and_stop_too():
    """Guards against peers that each have to hear it for themselves."""

    async def scenario(host):
        await host.send()
        peer = StateUpdater(make_state(upstream('u0', version=5)))
        for leaving in host.told:
            datagram = decode_datagram(encode_datagram(leaving)).ok_value
            peer.record_peer_answer(datagram, ('10.0.0.1', 7740))
        assert len(host.told) == 1
        assert not peer.state.view.upstreams.candidates('svc')

    run(scenario, ScriptedUpstream(SERVED_LEAVING))


def test_pause_is_kept_on_each_path():
    """Guards against requests to an upstream that wants a pause."""

    async def scenario(host):
        await host.send(*READ)
        for request_kind in (READ, WRITE, LARGE):
            refused = (await host.send(*request_kind)).err_value
            assert refused.kind is ErrorKind.OVERLOADED
            assert 0 < refused.retry_after_s <= PAUSE_S
        assert host.counts() == [1]

    run(scenario, ScriptedUpstream(REFUSED_PAUSED, SERVED, SERVED))


def test_pause_outlasts_a_lapse_of_the_entry():
    """Guards against requests in a pause after the entry has returned."""

    async def scenario(host):
        await host.send()
        record = host.state.pool.loads['u0'].record
        host.updater.remove_upstream('u0', 8)
        host.updater.put_upstream(
            dataclasses.replace(record, beat=4, version=9)
        )
        await host.send()
        assert host.counts() == [1]
        host.report(incarnation=2, version=11)
        await host.send()
        assert host.counts() == [2]

    run(scenario, ScriptedUpstream(REFUSED_PAUSED, SERVED))


def test_other_upstreams_serve_during_a_pause():
    """Guards against refusals while another upstream has room."""

    async def scenario(host):
        assert (await host.send()).ok_value.status == 200
        for _ in range(3):
            assert (await host.send()).ok_value.status == 200
        assert sorted(host.counts()) == [1, 4]

    shared = SharedScript([REFUSED_PAUSED, *[SERVED] * 4])
    run(scenario, shared.upstream(), shared.upstream())


def test_state_of_a_leaving_upstream_reaches_placement():
    """Guards against a word that only the list of upstreams knows."""

    async def scenario(host):
        load = host.state.pool.loads['u0']
        await host.send()
        assert load.record.state is UpstreamState.LEAVING
        assert not host.state.pool.is_eligible(load)

    run(scenario, ScriptedUpstream(SERVED_LEAVING))
