"""Connections to upstreams that misbehave."""

import asyncio

import pytest
from result import Err, Ok

from egretmill.http1 import Body, Call, FailureCause, connect
from tests.http1.harness import ADDRESS, until, upstream

ID = b'X-Id'


def make_call(identifier=b'1', body=b'', method=b'GET', limit_s=1.0):
    """Return a call that expects its own identifier."""
    deadline_at = asyncio.get_running_loop().time() + limit_s
    headers = [(b'Host', b'h'), (ID, identifier)]
    content = Body.from_bytes(body)
    return Call(
        method,
        b'/x',
        headers,
        content,
        deadline_at,
        (ID.lower(), identifier),
    )


def answer(identifier, body=b'yes', extra=b''):
    """Return the bytes of a response."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: %b\r\n%bContent-Length: %d\r\n\r\n'
    return head % (identifier, extra, len(body)) + body


async def run_script(responses, calls=1, **options):
    """Call an upstream that sends scripted bytes; return the ends."""

    async def serve(reader, writer):
        for response in responses:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response)
        writer.close()

    ends = []
    async with upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        for number in range(calls):
            ends.append(
                await connection.send(
                    make_call(b'%d' % (number + 1), **options),
                ),
            )
    return ends, connection


async def test_whole_response_is_returned():
    """Guards against a changed status, header or body."""
    (ended,), connection = await run_script([answer(b'1')])
    assert connection.calls == 1
    assert (ended.ok_value.status, ended.ok_value.body) == (200, b'yes')
    assert ended.ok_value.fields[ID.lower()] == b'1'


@pytest.mark.parametrize(
    ('response', 'cause'),
    [
        (answer(b'1')[:-1], FailureCause.CLOSED),
        (b'', FailureCause.CLOSED),
        (b'\x00\x01 no answer\r\n\r\n', FailureCause.MALFORMED),
        (answer(b'other'), FailureCause.FOREIGN),
    ],
)
async def test_spoiled_response_is_a_failure_that_may_have_run(response, cause):
    """Guards against cut, spoiled or foreign answers that reach callers."""
    (ended,), connection = await run_script([response])
    assert isinstance(ended, Err)
    assert (ended.err_value.cause, ended.err_value.sent) == (cause, True)
    assert not connection.open


async def test_response_without_length_ends_with_the_connection():
    """Guards against losing answers that have no length."""
    response = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole'
    (ended,), connection = await run_script([response])
    assert ended.ok_value.body == b'whole'
    assert not connection.open


async def test_response_without_length_that_is_reset_is_cut():
    """Guards against taking a reset for the end of an answer."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart')
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async with upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(body=b'x' * 4000000, method=b'POST')
        ended = await connection.send(call)
    assert isinstance(ended, Err)


async def test_second_response_is_not_given_to_the_next_call():
    """Guards against crossed answers after a doubled one."""
    (ended,), connection = await run_script([answer(b'1') + answer(b'1')])
    assert isinstance(ended, Ok)
    assert not connection.open


async def test_late_response_ahead_of_the_own_one_is_skipped():
    """Guards against an answer to an earlier request."""
    ends, _ = await run_script([answer(b'1'), answer(b'1') + answer(b'2')], 2)
    assert [end.ok_value.fields[ID.lower()] for end in ends] == [b'1', b'2']


async def test_interim_responses_are_skipped():
    """Guards against taking 100 Continue for the answer."""
    script = b'HTTP/1.1 100 Continue\r\n\r\n' + answer(b'1')
    (ended,), connection = await run_script([script])
    assert connection.calls == 1
    assert ended.ok_value.status == 200


async def test_deadline_ends_a_silent_call():
    """Guards against waiting for connections that went silent."""

    async def serve(reader, writer):
        await reader.read()

    async with upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        ended = await connection.send(make_call(limit_s=0.05))
    assert ended.err_value.cause is FailureCause.TIMEOUT
    assert not connection.open


async def test_cancelled_call_resets_the_connection():
    """Guards against upstreams that work on for nobody."""
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        try:
            await reader.read()
        except ConnectionResetError:
            pass
        closed.set()

    async with upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        task = asyncio.create_task(connection.send(make_call()))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.wait_for(closed.wait(), 1)


async def test_unreachable_upstream_says_that_nothing_was_sent():
    """Guards against a 502 where "not run" is certain."""
    opened = await connect(ADDRESS, 1, 0.5)
    assert opened.err_value.cause is FailureCause.CONNECT
    assert not opened.err_value.sent


async def test_body_that_still_arrives_is_streamed():
    """Guards against holding long bodies in memory."""
    got = []

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        got.append(await reader.readexactly(6))
        writer.write(answer(b'1'))

    body = Body()
    async with upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = body
        call.length = b'6'
        task = asyncio.create_task(connection.send(call))
        body.feed(b'abc')
        await until(lambda: not body.chunks)
        body.feed(b'def')
        body.finish()
        ended = await task
    assert (got, ended.ok_value.status) == ([b'abcdef'], 200)
    assert not body.replayable


async def test_cut_body_fails_the_call():
    """Guards against a shortened body that looks whole."""

    async def serve(reader, writer):
        await reader.read()

    body = Body()
    async with upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = body
        task = asyncio.create_task(connection.send(call))
        body.feed(b'abc')
        await asyncio.sleep(0)
        body.abandon()
        ended = await task
    assert ended.err_value.cause is FailureCause.CALLER_GONE
