"""Client connections to upstreams that misbehave."""

import asyncio
import socket
import struct

import pytest
from result import Err, Ok

from egretmill.http1 import Body, Call, FailureCause, connect
from tests.http1.harness import ADDRESS, wait_until, run_upstream

ID_HEADER = b'X-Id'
#: More than the kernel and the transport buffer for a peer that does not read.
LONG_BODY_BYTES = 16 << 20


def make_call(identifier=b'1', body=b'', method=b'GET', limit_s=1.0):
    """Return a call whose response must echo its identifier."""
    deadline_at = asyncio.get_running_loop().time() + limit_s
    headers = [(b'Host', b'h'), (ID_HEADER, identifier)]
    content = Body.from_bytes(body)
    return Call(
        method,
        b'/x',
        headers,
        content,
        deadline_at,
        (ID_HEADER.lower(), identifier),
    )


def encode_response(identifier, body=b'yes', extra=b'', status=200):
    """Return the bytes of a response."""
    head = b'HTTP/1.1 %d X\r\nX-Id: %b\r\n%bContent-Length: %d\r\n\r\n'
    return head % (status, identifier, extra, len(body)) + body


async def call_scripted_upstream(responses, calls=1, **options):
    """Make calls to an upstream that answers with scripted bytes.

    Return the outcomes and the connection.
    """

    async def serve(reader, writer):
        for response in responses:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response)
        writer.close()

    outcomes = []
    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        for number in range(calls):
            outcomes.append(
                await connection.send(
                    make_call(b'%d' % (number + 1), **options),
                ),
            )
    return outcomes, connection


async def test_whole_response_is_returned():
    """Guards against a response whose status, header or body is altered."""
    (outcome,), connection = await call_scripted_upstream(
        [encode_response(b'1')]
    )
    assert connection.calls == 1
    assert (outcome.ok_value.status, outcome.ok_value.body) == (200, b'yes')
    assert outcome.ok_value.fields[ID_HEADER.lower()] == b'1'


@pytest.mark.parametrize(
    ('response', 'cause'),
    [
        (encode_response(b'1')[:-1], FailureCause.CLOSED),
        (b'', FailureCause.CLOSED),
        (b'\x00\x01 no answer\r\n\r\n', FailureCause.MALFORMED),
        (encode_response(b'other'), FailureCause.MISMATCHED_RESPONSE),
    ],
)
async def test_invalid_response_fails_a_call_that_was_sent(response, cause):
    """Guards against returning truncated, malformed or mismatched responses."""
    (outcome,), connection = await call_scripted_upstream([response])
    assert isinstance(outcome, Err)
    assert (outcome.err_value.cause, outcome.err_value.sent) == (cause, True)
    assert not connection.is_usable


HEAD_BYTES = encode_response(b'1').index(b'\r\n\r\n') + 4


@pytest.mark.parametrize('length', range(1, HEAD_BYTES))
async def test_head_that_breaks_off_fails_the_call(length):
    """Guards against an empty answer that looks whole."""
    response = encode_response(b'1')[:length]
    (outcome,), connection = await call_scripted_upstream([response])
    assert outcome.err_value.cause is FailureCause.CLOSED
    assert not connection.is_usable


async def test_response_without_length_ends_with_the_connection():
    """Guards against dropping responses without ``Content-Length``."""
    response = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole'
    (outcome,), connection = await call_scripted_upstream([response])
    assert outcome.ok_value.body == b'whole'
    assert not connection.is_usable


async def test_reset_does_not_end_a_response_without_length():
    """Guards against taking a connection reset for the end of a body."""

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart')
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(body=b'x' * 4000000, method=b'POST')
        outcome = await connection.send(call)
    assert isinstance(outcome, Err)


@pytest.mark.parametrize('status', ['000', '001', '099', '600', '999'])
async def test_status_that_http_does_not_have_fails_the_call(status):
    """Guards against passing on an answer that no caller understands."""
    response = encode_response(b'1').replace(b'200', status.encode(), 1)
    (outcome,), connection = await call_scripted_upstream([response])
    assert outcome.err_value.cause is FailureCause.MALFORMED
    assert outcome.err_value.sent
    assert not connection.is_usable


async def test_close_before_the_whole_request_does_not_end_a_response():
    """Guards against a part of an early answer that looks whole.

    The upstream closes while the body of the request still arrives here.
    """

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart')
        writer.close()

    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = Body()
        call.body.feed(b'x' * 4096)
        call.declared_length = b'1000000'
        outcome = await connection.send(call)
    assert outcome.err_value.cause is FailureCause.CLOSED
    assert outcome.err_value.sent


async def test_duplicate_response_makes_the_connection_unusable():
    """Guards against matching the second response to the next call."""
    (outcome,), connection = await call_scripted_upstream(
        [encode_response(b'1') + encode_response(b'1')]
    )
    assert isinstance(outcome, Ok)
    assert not connection.is_usable


async def test_late_response_to_an_earlier_call_is_skipped():
    """Guards against returning the response to an earlier request."""
    outcomes, _ = await call_scripted_upstream(
        [encode_response(b'1'), encode_response(b'1') + encode_response(b'2')],
        2,
    )
    assert [
        outcome.ok_value.fields[ID_HEADER.lower()] for outcome in outcomes
    ] == [b'1', b'2']


async def test_interim_responses_are_skipped():
    """Guards against returning 100 Continue as the response."""
    script = b'HTTP/1.1 100 Continue\r\n\r\n' + encode_response(b'1')
    (outcome,), connection = await call_scripted_upstream([script])
    assert connection.calls == 1
    assert outcome.ok_value.status == 200


async def test_call_without_response_fails_at_its_deadline():
    """Guards against waiting forever for an upstream that sends nothing."""

    async def serve(reader, writer):
        await reader.read()

    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        outcome = await connection.send(make_call(limit_s=0.05))
    assert outcome.err_value.cause is FailureCause.TIMEOUT
    assert not connection.is_usable


async def test_cancelled_call_resets_the_connection():
    """Guards against upstreams that keep working on a cancelled request."""
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        try:
            await reader.read()
        except ConnectionResetError:
            pass
        closed.set()

    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        task = asyncio.create_task(connection.send(make_call()))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.wait_for(closed.wait(), 1)


async def test_failed_connection_reports_that_nothing_was_sent():
    """Guards against reporting that a request may have run when it cannot.

    Such a request can be sent to another upstream.
    """
    opened = await connect(ADDRESS, 1, 0.5)
    assert opened.err_value.cause is FailureCause.CONNECT
    assert not opened.err_value.sent


async def test_body_is_streamed_while_it_arrives():
    """Guards against buffering a whole long body before sending it."""
    received = []

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        received.append(await reader.readexactly(6))
        writer.write(encode_response(b'1'))

    body = Body()
    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = body
        call.declared_length = b'6'
        task = asyncio.create_task(connection.send(call))
        body.feed(b'abc')
        await wait_until(lambda: not body.chunks)
        body.feed(b'def')
        body.mark_complete()
        outcome = await task
    assert (received, outcome.ok_value.status) == ([b'abcdef'], 200)
    assert not body.replayable


async def read_framed_request(reader):
    """Return the body of a request, framed as its head says."""
    head = await reader.readuntil(b'\r\n\r\n')
    fields = head.lower()
    if b'transfer-encoding: chunked' not in fields:
        length = fields.partition(b'content-length: ')[2].split(b'\r\n')[0]
        return await reader.readexactly(int(length))
    chunks = []
    while size := int(await reader.readuntil(b'\r\n'), 16):
        chunks.append(await reader.readexactly(size))
        assert await reader.readexactly(2) == b'\r\n'
    assert await reader.readexactly(2) == b'\r\n'
    return b''.join(chunks)


@pytest.mark.parametrize('ends_before_first_chunk', [True, False])
async def test_chunked_body_that_ends_during_the_call_is_framed_whole(
    ends_before_first_chunk,
):
    """Guards against chunked uploads without an end at the upstream.

    The framing was chosen again when the body had arrived.
    """
    received = []

    async def serve(reader, writer):
        received.append(await read_framed_request(reader))
        writer.write(encode_response(b'1'))

    body = Body()
    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = body
        body.feed(b'abc')
        task = asyncio.create_task(connection.send(call))
        # The head is sent, and the task that writes the body has not started.
        await asyncio.sleep(0)
        if not ends_before_first_chunk:
            await wait_until(lambda: not body.chunks)
        body.feed(b'def')
        body.mark_complete()
        outcome = await task
    assert isinstance(outcome, Ok)
    assert received == [b'abcdef']
    assert connection.is_usable


async def test_early_answer_to_an_unsent_body_ends_the_connection():
    """Guards against the next request in the place of the rest of a body.

    The body has arrived from the caller, but is not written: the upstream
    reads on only after its answer.
    """
    received = []
    reads_on = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(encode_response(b'1', status=413))
        await reads_on.wait()
        received.append(await reader.read())

    body = Body()
    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = body
        call.declared_length = b'%d' % LONG_BODY_BYTES
        task = asyncio.create_task(connection.send(call))
        await asyncio.sleep(0)
        body.feed(b'u' * LONG_BODY_BYTES)
        body.feed(b'u')
        body.mark_complete()
        assert (await task).ok_value.status == 413
        assert body.complete
        assert not connection.is_usable
        await connection.send(make_call(b'2'))
        reads_on.set()
        await wait_until(lambda: received)
    assert not received[0].strip(b'u')


async def test_early_answer_to_a_written_body_keeps_the_connection():
    """Guards against a next request that gets ahead of a buffered body."""
    received = []
    reads_on = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(encode_response(b'1'))
        await reads_on.wait()
        received.append(await reader.readexactly(LONG_BODY_BYTES))
        received.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(encode_response(b'2'))

    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(body=b'u' * LONG_BODY_BYTES, method=b'POST')
        assert isinstance(await connection.send(call), Ok)
        assert connection.is_usable
        reads_on.set()
        assert isinstance(await connection.send(make_call(b'2')), Ok)
    assert not received[0].strip(b'u')
    assert received[1].startswith(b'GET /x HTTP/1.1\r\n')


async def test_truncated_body_fails_the_call():
    """Guards against completing a truncated body towards the upstream."""

    async def serve(reader, writer):
        await reader.read()

    body = Body()
    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = body
        task = asyncio.create_task(connection.send(call))
        body.feed(b'abc')
        await asyncio.sleep(0)
        body.mark_truncated()
        outcome = await task
    assert outcome.err_value.cause is FailureCause.CALLER_GONE


@pytest.mark.parametrize('length', [b'%d' % LONG_BODY_BYTES, None])
@pytest.mark.parametrize('delay_s', [0, 0.05])
async def test_reset_during_an_upload_is_no_end_of_the_answer(length, delay_s):
    """Guards against a part of an answer that is passed on as a whole.

    The answer has no length, and the upstream resets the connection while the
    request is still being written.
    """

    async def serve(reader, writer):
        linger = struct.pack('ii', 1, 0)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
        await asyncio.sleep(delay_s)
        writer.transport.abort()

    body = Body()
    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        call = make_call(method=b'POST')
        call.body = body
        call.declared_length = length
        task = asyncio.create_task(connection.send(call))
        await asyncio.sleep(0)
        body.feed(b'u' * LONG_BODY_BYTES)
        body.mark_complete()
        outcome = await task
    assert outcome.err_value.cause is FailureCause.CLOSED
    assert outcome.err_value.sent
