"""Upstreams whose bytes never end, in a head or in a body."""

import asyncio
import itertools
import tracemalloc

import pytest

from egretmill.http1 import BufferBudget, FailureCause, connect
from egretmill.http1.response_reader import HEAD_LIMIT_BYTES
from tests.http1.harness import ADDRESS, run_upstream
from tests.http1.test_client import make_call

STATUS = b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n'
CHUNKED = STATUS + b'Transfer-Encoding: chunked\r\n\r\n'
BUFFER_LIMIT_BYTES = 1 << 20
#: Allowance for the sockets' own buffers and the event loop.
MEMORY_LIMIT_BYTES = 8 * HEAD_LIMIT_BYTES + 4 * BUFFER_LIMIT_BYTES
CALL_LIMIT_S = 20.0


async def call_endless_upstream(start, repeated, budget):
    """Call an upstream that repeats bytes until the connection closes."""
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(start)
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
        except ConnectionError:
            closed.set()

    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1, budget)).ok_value
        outcome = await connection.send(make_call(limit_s=CALL_LIMIT_S))
        await closed.wait()
    return outcome


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (STATUS, b'X-Filler: ' + b'x' * 1000 + b'\r\n'),
        (STATUS + b'X-Filler: ', b'x' * 1000),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 40),
        (CHUNKED + b'1;', b'x' * 1000),
        (CHUNKED + b'0\r\n', b'X-Filler: ' + b'x' * 1000 + b'\r\n'),
        (STATUS + b'\r\n', b'x' * 1000),
        (CHUNKED, b'3e8\r\n' + b'x' * 1000 + b'\r\n'),
    ],
    ids=[
        'headers',
        'one-header',
        'interim-responses',
        'chunk-extension',
        'trailers',
        'body-until-close',
        'chunks',
    ],
)
async def test_endless_bytes_end_the_call_with_bounded_memory(start, repeated):
    """Guards against a host that runs out of memory, or waits until timeout."""
    budget = BufferBudget(BUFFER_LIMIT_BYTES)
    tracemalloc.start()
    try:
        outcome = await call_endless_upstream(start, repeated, budget)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert outcome.err_value.cause is FailureCause.MALFORMED
    assert outcome.err_value.sent
    assert peak_bytes < MEMORY_LIMIT_BYTES
    assert budget.used_bytes == 0


async def test_body_of_one_byte_chunks_is_accepted():
    """Guards against taking small chunks for endless framing."""
    body = bytes(itertools.islice(itertools.cycle(b'abc'), 40000))

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in body)
        writer.write(CHUNKED + chunks + b'0\r\n\r\n')

    async with run_upstream(serve) as port:
        connection = (await connect(ADDRESS, port, 1)).ok_value
        outcome = await connection.send(make_call(limit_s=CALL_LIMIT_S))
    assert outcome.ok_value.body == body


CALLS_AT_ONCE = 40
#: For each call: what it may keep of a head, and the sockets' own buffers.
MEMORY_PER_CALL_BYTES = 6 * HEAD_LIMIT_BYTES
BODY = b'x' * HEAD_LIMIT_BYTES
CHUNKED_BODY = CHUNKED + b'%x\r\n%b\r\n0\r\n' % (len(BODY), BODY)
SHORT_HEADERS = b'a:b\r\n' * 3000


@pytest.mark.parametrize(
    'start',
    [STATUS, b'HTTP/1.1 103 Early Hints\r\n', CHUNKED_BODY],
    ids=['headers', 'interim-headers', 'trailers'],
)
async def test_short_headers_without_end_take_bounded_memory(start):
    """Guards against objects that take far more memory than their bytes."""
    budget = BufferBudget(CALLS_AT_ONCE * 2 * len(BODY))
    tracemalloc.start()
    try:
        outcomes = await asyncio.gather(
            *(
                call_endless_upstream(start, SHORT_HEADERS, budget)
                for _ in range(CALLS_AT_ONCE)
            )
        )
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    causes = {outcome.err_value.cause for outcome in outcomes}
    assert causes == {FailureCause.MALFORMED}
    assert peak_bytes < budget.limit_bytes + (
        CALLS_AT_ONCE * MEMORY_PER_CALL_BYTES
    )
    assert budget.used_bytes == 0


async def test_heads_that_stall_count_in_the_budget():
    """Guards against many calls that each keep the longest head."""
    header = b'X-Filler: ' + b'x' * 1000 + b'\r\n'
    budget = BufferBudget(4 * HEAD_LIMIT_BYTES)

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(STATUS + header * 60)
        await reader.read()

    async with run_upstream(serve) as port:
        connections = [
            (await connect(ADDRESS, port, 1, budget)).ok_value
            for _ in range(10)
        ]
        outcomes = await asyncio.gather(
            *(row.send(make_call(limit_s=0.5)) for row in connections)
        )
    causes = [outcome.err_value.cause for outcome in outcomes]
    assert causes.count(FailureCause.MALFORMED) >= 6
    assert budget.used_bytes == 0
