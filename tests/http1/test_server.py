"""Connections from callers."""

import pytest

from egretmill.http1 import ConnectionLimits
from tests.http1.harness import Recorder, ok, read_response, serving, until

GET_A = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
GET_B = b'GET /b HTTP/1.1\r\nHost: h\r\n\r\n'


async def test_pipelined_requests_run_together_and_answer_in_order():
    """Guards against requests that wait for the one before them."""
    recorder = Recorder()
    async with serving(recorder) as (reader, writer):
        writer.write(GET_A + GET_B)
        await until(lambda: len(recorder.begun) == 2)
        recorder.begun[1].answer(ok(b'second'))
        recorder.begun[0].answer(ok(b'first'))
        bodies = [(await read_response(reader))[1] for _ in range(2)]
        assert bodies == [b'first', b'second']


async def test_caller_that_leaves_is_told_to_the_handler():
    """Guards against upstreams that work for callers that have gone."""
    recorder = Recorder()
    async with serving(recorder) as (_, writer):
        writer.write(GET_A)
        await until(lambda: recorder.begun)
        writer.close()
        await until(lambda: recorder.gone)
        assert recorder.gone == [b'/a']
        assert recorder.begun[0].gone


async def test_early_answer_keeps_the_connection_in_step():
    """Guards against the rest of a body being read as a request."""
    recorder = Recorder()
    async with serving(recorder) as (reader, writer):
        writer.write(b'POST /u HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345')
        await until(lambda: recorder.begun)
        recorder.begun[0].answer(ok(b'early'))
        assert (await read_response(reader))[1] == b'early'
        writer.write(b'67890' + GET_B)
        await until(lambda: len(recorder.begun) == 2)
        recorder.begun[1].answer(ok(b'next'))
        assert (await read_response(reader))[1] == b'next'
        assert not recorder.errors


async def test_early_last_answer_closes_after_the_body():
    """Guards against a reset that destroys an answer on its way."""
    recorder = Recorder(leaving=True)
    head = b'POST /u HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\n'
    async with serving(recorder) as (reader, writer):
        writer.write(head)
        await until(lambda: recorder.begun)
        recorder.begun[0].answer(ok(b'early'))
        answered, body = await read_response(reader)
        assert (b'Connection: close' in answered, body) == (True, b'early')
        writer.write(b'1234')
        assert not await reader.read()


async def test_leaving_closes_only_behind_the_last_answer():
    """Guards against an answer that closes ahead of a running request.

    Callers send requests behind it again, also those that must run once.
    """
    recorder = Recorder(leaving=True)
    async with serving(recorder) as (reader, writer):
        writer.write(GET_A + GET_B)
        await until(lambda: len(recorder.begun) == 2)
        recorder.begun[0].answer(ok())
        first, _ = await read_response(reader)
        recorder.begun[1].answer(ok())
        second, _ = await read_response(reader)
        assert b'Connection: close' not in first
        assert b'Connection: close' in second
        assert not await reader.read()


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'GET / HTTP/1.1\r\nbroken\r\n\r\n', 400),
        (
            b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
        ),
        (b'POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n', 413),
        (b'GET / HTTP/1.1\r\nX-Long: ' + b'x' * 600 + b'\r\n\r\n', 431),
    ],
)
async def test_bad_input_gets_an_answer_and_runs_nothing(request_bytes, status):
    """Guards against smuggled requests and unbounded input."""
    recorder = Recorder(ConnectionLimits(header_bytes=500, body_bytes=50))
    async with serving(recorder) as (reader, writer):
        writer.write(request_bytes)
        head, _ = await read_response(reader)
        assert int(head.split()[1]) == status
        assert not await reader.read()
        assert not recorder.begun
        assert recorder.errors == [status]


async def test_chunked_body_over_the_limit_ends_the_request():
    """Guards against bodies of unknown length without a bound."""
    recorder = Recorder(ConnectionLimits(body_bytes=5))
    async with serving(recorder) as (reader, writer):
        writer.write(b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
        writer.write(b'9\r\n123456789\r\n')
        head, _ = await read_response(reader)
        assert head.startswith(b'HTTP/1.1 413')
        assert recorder.gone == [b'/']


async def test_slow_head_and_idle_connection_are_ended():
    """Guards against connections that are held for nothing."""
    recorder = Recorder(ConnectionLimits(header_s=0.05, idle_s=0.05))
    async with serving(recorder) as (reader, writer):
        writer.write(b'GET / HT')
        head, _ = await read_response(reader)
        assert head.startswith(b'HTTP/1.1 408')
    async with serving(recorder) as (reader, _):
        assert not await reader.read()


async def test_expect_continue_is_answered():
    """Guards against callers that wait before they send a body."""
    recorder = Recorder()
    async with serving(recorder) as (reader, writer):
        writer.write(
            b'POST / HTTP/1.1\r\nExpect: 100-continue\r\n'
            b'Content-Length: 2\r\n\r\n',
        )
        assert await reader.readline() == b'HTTP/1.1 100 Continue\r\n'
        writer.write(b'ab')
        await until(lambda: recorder.begun and recorder.begun[0].body.complete)
        assert recorder.begun[0].body.chunks == [b'ab']
