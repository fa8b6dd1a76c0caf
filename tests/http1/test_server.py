"""Server connections: pipelining, early answers, limits and closing."""

import asyncio

import pytest

from egretmill.http1 import ConnectionLimits, drain
from egretmill.http1.server import FIRST_REQUEST_WAIT_S
from tests.http1.harness import (
    Recorder,
    ok_response,
    read_response,
    serve_connection,
    wait_until,
)

GET_A = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
GET_B = b'GET /b HTTP/1.1\r\nHost: h\r\n\r\n'
#: Longest wait for the end of a connection, in seconds.
WAIT_S = 5.0


async def test_pipelined_requests_run_concurrently_and_answer_in_order():
    """Guards against serving pipelined requests one after the other."""
    recorder = Recorder()
    async with serve_connection(recorder) as (reader, writer):
        writer.write(GET_A + GET_B)
        await wait_until(lambda: len(recorder.requests) == 2)
        recorder.requests[1].answer(ok_response(b'second'))
        recorder.requests[0].answer(ok_response(b'first'))
        bodies = [(await read_response(reader))[1] for _ in range(2)]
        assert bodies == [b'first', b'second']


async def test_handler_learns_that_the_caller_disconnected():
    """Guards against upstreams that work for callers that disconnected."""
    recorder = Recorder()
    async with serve_connection(recorder) as (_, writer):
        writer.write(GET_A)
        await wait_until(lambda: recorder.requests)
        writer.close()
        await wait_until(lambda: recorder.disconnected)
        assert recorder.disconnected == [b'/a']
        assert recorder.requests[0].is_caller_disconnected


async def test_connection_stays_usable_after_an_early_answer():
    """Guards against parsing the rest of a body as the next request."""
    recorder = Recorder()
    async with serve_connection(recorder) as (reader, writer):
        writer.write(b'POST /u HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345')
        await wait_until(lambda: recorder.requests)
        recorder.requests[0].answer(ok_response(b'early'))
        assert (await read_response(reader))[1] == b'early'
        writer.write(b'67890' + GET_B)
        await wait_until(lambda: len(recorder.requests) == 2)
        recorder.requests[1].answer(ok_response(b'next'))
        assert (await read_response(reader))[1] == b'next'
        assert not recorder.errors


async def test_early_last_answer_closes_after_the_request_body():
    """Guards against a reset that discards an answer the caller has not read.

    Closing a socket with unread bytes resets the connection.
    """
    recorder = Recorder(leaving=True)
    head = b'POST /u HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\n'
    async with serve_connection(recorder) as (reader, writer):
        writer.write(head)
        await wait_until(lambda: recorder.requests)
        recorder.requests[0].answer(ok_response(b'early'))
        received_head, body = await read_response(reader)
        assert (b'Connection: close' in received_head, body) == (True, b'early')
        writer.write(b'1234')
        assert not await reader.read()


async def test_malformed_rest_of_an_answered_body_gets_no_second_answer():
    """Guards against an answer that its caller takes for the next one's."""
    recorder = Recorder()
    async with serve_connection(recorder) as (reader, writer):
        writer.write(b'POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
        await wait_until(lambda: recorder.requests)
        recorder.requests[0].answer(ok_response(b'early'))
        assert (await read_response(reader))[1] == b'early'
        writer.write(b'not a chunk size\r\n')
        assert not await reader.read()
        assert recorder.errors == [400]


async def test_endless_rest_of_an_answered_body_ends_the_connection():
    """Guards against a body without length that is discarded for ever."""
    recorder = Recorder(ConnectionLimits(body_bytes=5))
    async with serve_connection(recorder) as (reader, writer):
        writer.write(b'POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
        await wait_until(lambda: recorder.requests)
        recorder.requests[0].answer(ok_response(b'early'))
        assert (await read_response(reader))[1] == b'early'
        writer.write(b'9\r\n123456789\r\n')
        async with asyncio.timeout(WAIT_S):
            assert not await reader.read()
        assert recorder.errors == [413]


async def test_invalid_rest_of_a_body_keeps_an_answer_that_is_not_sent_yet():
    """Guards against a second answer in a pipeline."""
    recorder = Recorder(ConnectionLimits(body_bytes=5))
    async with serve_connection(recorder) as (reader, writer):
        writer.write(GET_A)
        writer.write(b'POST /u HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
        await wait_until(lambda: len(recorder.requests) == 2)
        recorder.requests[1].answer(ok_response(b'early'))
        writer.write(b'not a chunk size\r\n')
        await wait_until(lambda: recorder.errors)
        recorder.requests[0].answer(ok_response(b'first'))
        bodies = [(await read_response(reader))[1] for _ in range(2)]
        assert bodies == [b'first', b'early']
        assert not await reader.read()


async def test_shutdown_closes_after_the_last_answer_only():
    """Guards against ``Connection: close`` ahead of a running request.

    Callers send the requests behind it again, also those that must run once.
    """
    recorder = Recorder(leaving=True)
    async with serve_connection(recorder) as (reader, writer):
        writer.write(GET_A + GET_B)
        await wait_until(lambda: len(recorder.requests) == 2)
        recorder.requests[0].answer(ok_response())
        first, _ = await read_response(reader)
        recorder.requests[1].answer(ok_response())
        second, _ = await read_response(reader)
        assert b'Connection: close' not in first
        assert b'Connection: close' in second
        assert not await reader.read()


async def test_draining_connection_takes_no_further_request():
    """Guards against a pipelining caller who keeps a connection open."""
    recorder = Recorder(leaving=True)
    async with serve_connection(recorder) as (reader, writer):
        writer.write(GET_A)
        await wait_until(lambda: recorder.requests)
        drain(recorder.connections[0])
        writer.write(GET_B)
        await asyncio.sleep(0.05)
        recorder.requests[0].answer(ok_response())
        head, _ = await read_response(reader)
        assert b'Connection: close' in head
        assert not await reader.read()
        assert len(recorder.requests) == 1


@pytest.mark.parametrize('sent_before', [b'', GET_A[:9]])
async def test_caller_that_has_just_connected_may_send_one_request(
    sent_before,
):
    """Guards against a stop that closes a connection under a new request."""
    recorder = Recorder(leaving=True)
    async with serve_connection(recorder) as (reader, writer):
        writer.write(sent_before)
        await wait_until(lambda: recorder.connections)
        await asyncio.sleep(0.05)
        drain(recorder.connections[0])
        await asyncio.sleep(0.05)
        writer.write(GET_A[len(sent_before) :] + GET_B)
        await wait_until(lambda: recorder.requests)
        recorder.requests[0].answer(ok_response())
        head, _ = await read_response(reader)
        assert b'Connection: close' in head
        assert not await reader.read()
        assert len(recorder.requests) == 1


async def start_answered_upload(recorder, reader, writer, **options):
    """Send a part of an upload, and read the answer to it."""
    writer.write(b'POST /u HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345')
    await wait_until(lambda: recorder.requests)
    recorder.requests[0].answer(ok_response(b'early'), **options)
    return await read_response(reader)


async def test_request_behind_an_answered_upload_is_answered_in_a_stop():
    """Guards against a request that is read in a stop and never answered.

    The upload was answered before the stop, so no answer of the connection
    has told its caller to close it.
    """
    recorder = Recorder()
    async with serve_connection(recorder) as (reader, writer):
        head, _ = await start_answered_upload(recorder, reader, writer)
        assert b'Connection: close' not in head
        recorder.leaving = True
        drain(recorder.connections[0])
        await asyncio.sleep(0.05)
        writer.write(b'67890' + GET_B + GET_A)
        await wait_until(lambda: len(recorder.requests) == 2)
        recorder.requests[1].answer(ok_response(b'next'))
        head, body = await read_response(reader)
        assert (b'Connection: close' in head, body) == (True, b'next')
        assert not await reader.read()
        assert len(recorder.requests) == 2


async def test_late_request_of_a_draining_connection_is_marked():
    """Guards against requests that a stop takes too late to serve them."""
    recorder = Recorder()
    async with serve_connection(recorder) as (reader, writer):
        await start_answered_upload(recorder, reader, writer)
        recorder.leaving = True
        drain(recorder.connections[0])
        await asyncio.sleep(1.2 * FIRST_REQUEST_WAIT_S)
        writer.write(b'67890' + GET_B)
        await wait_until(lambda: len(recorder.requests) == 2)
        assert recorder.requests[1].is_late
        assert not recorder.requests[0].is_late


async def test_slow_head_of_a_draining_connection_makes_its_request_late():
    """Guards against a request that is taken when a stop is nearly over."""
    recorder = Recorder(leaving=True)
    async with serve_connection(recorder) as (_, writer):
        writer.write(GET_A[:9])
        await wait_until(lambda: recorder.connections)
        await asyncio.sleep(0.05)
        drain(recorder.connections[0])
        await asyncio.sleep(1.2 * FIRST_REQUEST_WAIT_S)
        writer.write(GET_A[9:])
        await wait_until(lambda: recorder.requests)
        assert recorder.requests[0].is_late


async def test_connection_behind_an_answered_upload_is_closed_in_a_stop():
    """Guards against a stop that waits for callers that send nothing more."""
    recorder = Recorder()
    async with serve_connection(recorder) as (reader, writer):
        await start_answered_upload(recorder, reader, writer)
        recorder.leaving = True
        drain(recorder.connections[0])
        writer.write(b'67890')
        async with asyncio.timeout(2 * FIRST_REQUEST_WAIT_S):
            assert not await reader.read()


async def test_early_answer_in_a_stop_says_that_the_connection_closes():
    """Guards against callers that keep a connection to a stopping host."""
    recorder = Recorder(leaving=True)
    async with serve_connection(recorder) as (reader, writer):
        head, _ = await start_answered_upload(recorder, reader, writer)
        assert b'Connection: close' in head
        writer.write(b'67890')
        assert not await reader.read()


async def test_caller_whose_body_is_wanted_is_not_told_to_close_in_a_stop():
    """Guards against callers that cut an upload because of its early answer."""
    recorder = Recorder(leaving=True)
    async with serve_connection(recorder) as (reader, writer):
        head, _ = await start_answered_upload(
            recorder, reader, writer, keeps_body=True
        )
        assert b'Connection: close' not in head
        drain(recorder.connections[0])
        writer.write(b'67890' + GET_B)
        await wait_until(lambda: len(recorder.requests) == 2)
        assert b''.join(recorder.requests[0].body.chunks) == b'1234567890'
        recorder.requests[1].answer(ok_response())
        assert b'Connection: close' in (await read_response(reader))[0]


async def test_connection_without_a_request_is_closed_in_a_stop():
    """Guards against idle connections that prolong a stop."""
    recorder = Recorder(leaving=True)
    async with serve_connection(recorder) as (reader, _):
        await wait_until(lambda: recorder.connections)
        drain(recorder.connections[0])
        async with asyncio.timeout(2 * FIRST_REQUEST_WAIT_S):
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
async def test_invalid_request_is_rejected_and_not_served(
    request_bytes, status
):
    """Guards against request smuggling and unbounded input."""
    recorder = Recorder(ConnectionLimits(header_bytes=500, body_bytes=50))
    async with serve_connection(recorder) as (reader, writer):
        writer.write(request_bytes)
        head, _ = await read_response(reader)
        assert int(head.split()[1]) == status
        assert not await reader.read()
        assert not recorder.requests
        assert recorder.errors == [status]


async def test_chunked_body_over_the_limit_is_rejected():
    """Guards against unbounded bodies of undeclared length."""
    recorder = Recorder(ConnectionLimits(body_bytes=5))
    async with serve_connection(recorder) as (reader, writer):
        writer.write(b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n')
        writer.write(b'9\r\n123456789\r\n')
        head, _ = await read_response(reader)
        assert head.startswith(b'HTTP/1.1 413')
        assert recorder.disconnected == [b'/']


async def test_slow_head_and_idle_connection_are_closed():
    """Guards against slow or idle callers that hold connections open."""
    recorder = Recorder(ConnectionLimits(header_s=0.05, idle_s=0.05))
    async with serve_connection(recorder) as (reader, writer):
        writer.write(b'GET / HT')
        head, _ = await read_response(reader)
        assert head.startswith(b'HTTP/1.1 408')
    async with serve_connection(recorder) as (reader, _):
        assert not await reader.read()


async def test_expect_continue_is_answered():
    """Guards against callers that wait for 100 Continue and send no body."""
    recorder = Recorder()
    async with serve_connection(recorder) as (reader, writer):
        writer.write(
            b'POST / HTTP/1.1\r\nExpect: 100-continue\r\n'
            b'Content-Length: 2\r\n\r\n',
        )
        assert await reader.readline() == b'HTTP/1.1 100 Continue\r\n'
        writer.write(b'ab')
        await wait_until(
            lambda: recorder.requests and recorder.requests[0].body.complete
        )
        assert b''.join(recorder.requests[0].body.chunks) == b'ab'
