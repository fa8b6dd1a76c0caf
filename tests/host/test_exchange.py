"""Attempts at scripted upstreams: answers to callers and requests sent."""

import asyncio
import contextlib
import dataclasses
import random

import pytest
from result import Err, Ok

from egretmill.errors import ErrorKind, Outcome
from egretmill.fleet.configuration import Destination
from egretmill.fleet.upstreams import UpstreamState
from egretmill.host.exchange import Exchange
from egretmill.host.request_check import check_request
from egretmill.host.event_loop import BootLoop
from egretmill.http1 import Body
from soak.links import TcpLink
from egretmill.placement.health import Health
from tests.host.fakes import (
    READS,
    configuration,
    make_head,
    make_state,
    upstream,
)

SIGNED = b'X-Signature: s\r\n'
NOT_RUN = b'X-Not-Run: 1\r\n'


class Pending:
    """A request whose caller is waiting."""

    def __init__(self, head, content):
        self.head = head
        self.body = Body.from_bytes(content)
        self.is_caller_disconnected = False


class ScriptedUpstream:
    """Answers each request with the next of a list and records the heads.

    An empty answer resets the connection; after the last answer, requests get
    no response.
    """

    def __init__(self, *answers, delay_s=0):
        self.answers = list(answers)
        self.delay_s = delay_s
        self.heads = []

    def count(self):
        """Return the number of requests that arrived."""
        return len(self.heads)

    async def serve(self, reader, writer):
        """Serve one connection."""
        ended = (asyncio.IncompleteReadError, ConnectionError)
        with contextlib.closing(writer), contextlib.suppress(*ended):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                answer = self.answers.pop(0) if self.answers else None
                if answer is None:
                    await reader.read()
                    return
                if answer == b'':
                    writer.transport.abort()
                    return
                await asyncio.sleep(self.delay_s)
                writer.write(answer)


def response(status=200, headers=SIGNED, body=b'yes'):
    """Return the bytes of a response to the request id1."""
    return b''.join(
        (
            b'HTTP/1.1 %d X\r\nX-Request-Id: id1\r\n' % status,
            headers,
            b'Content-Length: %d\r\n\r\n' % len(body),
            body,
        ),
    )


def leave_unchanged(state):
    """Leave the state unchanged."""


async def exchange(
    scripts,
    path=b'/r/1',
    method=b'GET',
    content=b'',
    change=leave_unchanged,
):
    """Run a request; return its result and the number of requests sent."""
    async with contextlib.AsyncExitStack() as stack:
        records = []
        for number, script in enumerate(scripts):
            server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            records.append(upstream(f'u{number}', port))
        state = make_state(*records)
        change(state)
        head = make_head(path, method)
        request = check_request(head, state, random.Random(1)).ok_value
        ended = await Exchange(state, Pending(head, content), request).run()
    return ended, sum(map(ScriptedUpstream.count, scripts))


def run(*scripts, **options):
    """Run a request on the program's event loop."""
    with asyncio.Runner(loop_factory=BootLoop) as runner:
        return runner.run(exchange(scripts, **options))


def two_upstreams(*answers):
    """Return two upstreams with the same answers."""
    return ScriptedUpstream(*answers), ScriptedUpstream(*answers)


def test_answer_comes_back_unchanged():
    """Guards against a changed status, body or signature."""
    ended, sent = run(ScriptedUpstream(response()))
    answer = ended.ok_value
    assert (answer.status, answer.body, sent) == (200, b'yes', 1)
    assert answer.fields[b'x-signature'] == b's'


def test_upstream_gets_account_target_and_deadline_but_no_key():
    """Guards against forwarded API keys and requests at the wrong upstream."""
    script = ScriptedUpstream(response())
    run(script)
    head = script.heads[0].lower()
    assert b'authorization' not in head
    assert b'x-account: acct' in head
    assert b'x-target: u0' in head
    remaining_ms = int(head.partition(b'x-deadline-ms: ')[2].split(b'\r\n')[0])
    assert 0 < remaining_ms <= 800


@pytest.mark.parametrize(
    'failed_response', [b'', response()[:-1] + b'', b'junk\r\n']
)
def test_request_that_runs_once_is_never_sent_again(failed_response):
    """Guards against an instalment that is paid twice."""
    scripts = two_upstreams(failed_response, response())
    ended, sent = run(*scripts, path=b'/o/1', method=b'POST', content=b'x')
    assert isinstance(ended, Err)
    assert sent == 1
    assert ended.err_value.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize(
    'failed_response', [b'', b'junk\r\n\r\n', response(500)]
)
def test_idempotent_request_is_sent_to_another_upstream(failed_response):
    """Guards against failures that a retry would avoid."""
    scripts = two_upstreams(failed_response, response())
    ended, sent = run(*scripts)
    # The first answer of each upstream fails: two attempts are the limit.
    assert sent == 2
    first = ScriptedUpstream(failed_response)
    second = ScriptedUpstream(response())
    ended, _ = run(first, second)
    if first.heads:
        assert (ended.ok_value.status, len(second.heads)) == (200, 1)


@pytest.mark.parametrize('status', [503, 429, 421])
def test_rejected_request_is_retried_and_reported_as_not_run(status):
    """Guards against a wrong outcome of a rejection and a missing retry."""
    rejected = response(status, NOT_RUN)
    ended, sent = run(*two_upstreams(rejected), path=b'/o/1', method=b'POST')
    assert sent == 2
    assert ended.err_value.outcome is Outcome.NOT_RUN


def test_rejection_without_the_header_may_have_run():
    """Guards against "not run" without the upstream's statement."""
    ended, sent = run(
        *two_upstreams(response(503)), path=b'/o/1', method=b'POST'
    )
    assert (ended.ok_value.status, sent) == (503, 1)


def test_unsigned_success_is_no_success():
    """Guards against passing on a response that no upstream has signed."""
    scripts = two_upstreams(response(headers=b''))
    ended, _ = run(*scripts, path=b'/o/1', method=b'POST')
    assert ended.err_value.kind is ErrorKind.UPSTREAM_FAILED


def test_upstreams_own_failure_is_passed_on():
    """Guards against replacing an upstream's own, signed error response."""
    ended, sent = run(*two_upstreams(response(500)))
    assert (ended.ok_value.status, sent) == (500, 2)
    assert ended.ok_value.fields[b'x-signature'] == b's'


def test_request_to_an_unresponsive_upstream_ends_at_the_deadline():
    """Guards against answers later than the route's timeout."""
    ended, _ = run(ScriptedUpstream(), path=b'/o/1', method=b'POST')
    assert isinstance(ended, Err)
    assert ended.err_value.kind is ErrorKind.UPSTREAM_TIMEOUT
    assert ended.err_value.outcome is Outcome.UNKNOWN


def test_timeout_at_the_deadline_counts_against_the_upstream():
    """Guards against timeouts of an upstream that count as cancelled."""
    states = []
    ended, _ = run(
        ScriptedUpstream(),
        path=b'/o/1',
        method=b'POST',
        change=states.append,
    )
    assert isinstance(ended, Err)
    assert states[0].pool.loads['u0'].health.failures == 1


def test_unreachable_upstreams_result_in_not_run():
    """Guards against an unknown outcome where nothing was sent."""

    async def refused():
        state = make_state(upstream(port=1))
        head = make_head(b'/o/1', b'POST')
        request = check_request(head, state, random.Random(1)).ok_value
        return await Exchange(state, Pending(head, b''), request).run()

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        ended = runner.run(refused())
    assert ended.err_value.outcome is Outcome.NOT_RUN


def test_success_after_a_retry_is_within_the_budget():
    """Guards against retries beyond the fleet's budget."""

    async def no_budget():
        state = make_state()
        state.budget.allowance = 0
        return state.budget.try_spend('svc', state.now())

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        assert not runner.run(no_budget())


def test_result_type():
    """Guards against an exchange that ends with neither answer nor refusal."""
    ended, _ = run(ScriptedUpstream(response()))
    assert isinstance(ended, Ok)


def expect_fast_responses(state):
    """Make the host expect responses within milliseconds."""
    route = state.configuration.match('h', '/r/1')
    service_times = state.service_times_for(route, 'svc')
    service_times.warm_s = 0.01
    service_times.cold_s = 0.02


def exhaust_retries(state):
    """Exhaust the retry budget."""
    expect_fast_responses(state)
    state.budget.allowance = -100


def shut_down(state):
    """Make the host shut down."""
    expect_fast_responses(state)
    state.leaving = True


@pytest.mark.parametrize('change', [exhaust_retries, shut_down])
def test_slow_response_is_awaited_when_no_other_attempt_follows(change):
    """Guards against abandoning a request and answering 502 instead.

    Hunt, krc-rota trouble-2 --seed 211494912629: LOST after SIGTERM.
    """
    scripts = [
        ScriptedUpstream(response(), delay_s=0.4),
        ScriptedUpstream(response(), delay_s=0.4),
    ]
    ended, sent = run(*scripts, change=change)
    assert (ended.ok_value.status, sent) == (200, 1)


def test_slow_response_of_the_only_upstream_is_awaited():
    """Guards against abandoning a request that no other upstream can take."""
    script = ScriptedUpstream(response(), delay_s=0.4)
    ended, sent = run(script, change=expect_fast_responses)
    assert (ended.ok_value.status, sent) == (200, 1)


def test_slow_upstream_is_abandoned_for_another():
    """Guards against waiting for a slow upstream while others are free."""
    scripts = [
        ScriptedUpstream(response(), delay_s=0.6),
        ScriptedUpstream(response(), delay_s=0.6),
    ]
    _, sent = run(*scripts, change=expect_fast_responses)
    assert sent == 2


async def exchange_in_turn(state, paths):
    """Run requests one after the other; return their results."""
    ended = []
    for path in paths:
        head = make_head(path)
        request = check_request(head, state, random.Random(1)).ok_value
        ended.append(await Exchange(state, Pending(head, b''), request).run())
    return ended


def test_connections_that_went_silent_together_delay_one_request():
    """Guards against one late request for each silent idle connection."""

    async def scenario():
        answers = [response()] * 8
        script = ScriptedUpstream(*answers, delay_s=0.05)
        server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
        link = TcpLink(server.sockets[0].getsockname())
        await link.open()
        state = make_state(upstream('u0', link.address[1]))
        await asyncio.gather(
            *(exchange_in_turn(state, [b'/r/1']) for _ in range(4))
        )
        link.silence_open_connections()
        ended = await exchange_in_turn(state, [b'/r/1'] * 3)
        link.close()
        await link.wait_closed()
        server.close()
        return [outcome.is_ok() for outcome in ended]

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        assert runner.run(scenario()) == [False, True, True]


def leave_service(state, record):
    """Report that an upstream is shutting down."""
    leaving = dataclasses.replace(record, state=UpstreamState.LEAVING)
    state.view.put_upstream(leaving)


def drop_registration(state, record):
    """Remove an upstream that is no longer registered."""
    state.remove_upstream(state.view.upstreams.remove(record.name))


def evacuate_domain(state, record):
    """Evacuate the failure domain of an upstream."""
    state.view.apply_evacuations(frozenset((record.failure_domain,)))


def ask_for_pause(state, record):
    """Ask for a pause in the answer to another request."""
    state.pool.pauses.record(record, 5, state.now())


@pytest.mark.parametrize(
    'take_away',
    [leave_service, drop_registration, evacuate_domain, ask_for_pause],
)
@pytest.mark.parametrize('path', [b'/r/1', b'/o/1'])
def test_upstream_that_leaves_while_the_host_connects_gets_no_request(
    take_away, path
):
    """Guards against a choice that is outdated when the request is sent."""

    def change(state):
        acquire = state.pool.acquire

        async def acquire_slowly(load, *arguments):
            acquired = await acquire(load, *arguments)
            take_away(state, load.record)
            return acquired

        state.pool.acquire = acquire_slowly

    ended, sent = run(ScriptedUpstream(response()), path=path, change=change)
    assert sent == 0
    assert ended.err_value.outcome is Outcome.NOT_RUN


REFUSALS = (
    response(503, NOT_RUN),
    b'HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
)


@pytest.mark.parametrize('repeated', REFUSALS)
@pytest.mark.parametrize('path', [b'/r/2', b'/o/2'])
@pytest.mark.parametrize('is_answered', [True, False])
def test_repeated_refusal_says_nothing_of_the_next_request(
    repeated, path, is_answered
):
    """Guards against "not run" for a request that an upstream is running."""
    answer = response().replace(b'id1', b'id2') if is_answered else b''
    script = ScriptedUpstream(REFUSALS[0], repeated + answer)

    async def scenario():
        server = await asyncio.start_server(script.serve, '127.0.0.1', 0)
        state = make_state(upstream('u0', server.sockets[0].getsockname()[1]))
        outcomes = []
        for identifier in (b'id1', b'id2'):
            head = make_head(path, x_request_id=identifier)
            request = check_request(head, state, random.Random(1)).ok_value
            running = Exchange(state, Pending(head, b''), request).run()
            outcomes.append(await running)
            state.pool.loads['u0'].backoff_until = 0
            state.pool.loads['u0'].health = Health()
        server.close()
        state.pool.close_idle('u0')
        return outcomes

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        first, second = runner.run(scenario())
    assert first.err_value.outcome is Outcome.NOT_RUN
    assert script.count() == 2
    if is_answered:
        assert second.ok_value.status == 200
    else:
        assert second.err_value.outcome is Outcome.UNKNOWN


def test_request_too_late_for_a_stop_is_not_sent():
    """Guards against requests that a stop would cut at their upstream."""
    server = ScriptedUpstream(response())

    def leave(state):
        state.serves_until = state.now()

    ended, sent = run(server, change=leave)
    refusal = ended.err_value
    assert (refusal.kind, refusal.outcome) == (
        ErrorKind.SHUTTING_DOWN,
        Outcome.NOT_RUN,
    )
    assert sent == 0


def test_request_that_waits_until_too_late_for_a_stop_is_not_sent():
    """Guards against waiting requests that are sent on in the end of a stop."""
    server = ScriptedUpstream(response())

    def leave_while_connecting(state):
        acquire = state.pool.acquire

        async def acquire_late(*arguments):
            acquired = await acquire(*arguments)
            state.serves_until = state.now()
            return acquired

        state.pool.acquire = acquire_late

    ended, sent = run(server, change=leave_while_connecting)
    assert ended.err_value.kind == ErrorKind.SHUTTING_DOWN
    assert sent == 0


def test_retry_is_still_sent_in_a_stop():
    """Guards against giving up requests that another upstream can serve."""
    servers = two_upstreams(response(503, NOT_RUN), response())
    servers[1].answers = servers[0].answers

    def leave_after_the_first_attempt(state):
        acquire = state.pool.acquire

        async def acquire_and_leave(*arguments):
            if sum(map(ScriptedUpstream.count, servers)):
                state.serves_until = state.now()
            return await acquire(*arguments)

        state.pool.acquire = acquire_and_leave

    ended, sent = run(*servers, change=leave_after_the_first_attempt)
    assert sent == 2
    assert ended.ok_value.status == 200


def test_route_that_comes_back_at_another_service_is_served():
    """Guards against refusals by the service times of an earlier route.

    The configuration replaces a slow route by a fast one of the same name.
    """
    slow = dataclasses.replace(
        READS,
        destinations=(Destination('slow'),),
        timeout_s=6.0,
        target_latency_s=4.0,
    )
    fast = dataclasses.replace(READS, timeout_s=0.3)

    def replace_route(state):
        state.apply_configuration(configuration(2, routes=(slow,)))
        request = check_request(make_head(), state, random.Random(1)).ok_value
        slow_exchange = Exchange(state, Pending(make_head(), b''), request)
        assert slow_exchange.service_times.warm_s > fast.timeout_s
        state.apply_configuration(configuration(3, routes=(fast,)))

    ended, sent = run(ScriptedUpstream(response()), change=replace_route)
    assert sent == 1
    assert isinstance(ended, Ok)


def test_route_that_was_removed_comes_back_without_its_service_times():
    """Guards against refusals by what a removed route took at a service."""

    def replace_route(state):
        request = check_request(make_head(), state, random.Random(1)).ok_value
        first = Exchange(state, Pending(make_head(), b''), request)
        first.service_times.warm_s = 60
        state.apply_configuration(configuration(2, routes=()))
        state.apply_configuration(configuration(3))
        assert first.service_times.warm_s < READS.timeout_s

    ended, _ = run(ScriptedUpstream(response()), change=replace_route)
    assert isinstance(ended, Ok)
