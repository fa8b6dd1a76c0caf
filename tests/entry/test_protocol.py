"""Unusual HTTP requests and answers through the entry program."""

import asyncio
import contextlib
import time

import pytest

from egretmill.entry.limits import LinkMeter
from egretmill.entry.ledgers import ClaimLedger
from egretmill.quota.holdings import Holdings
from egretmill.document import Environment
from egretmill.wire.messages import RecordAnswer, ShareSlot
from tests.entry.harness import ADDRESS, DOCUMENT, KEY, running_entry

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@contextlib.asynccontextmanager
async def raw_upstream(answer, read_until=b'\r\n\r\n', *, read_on_s=0):
    """Run an entry program whose upstreams all are one raw TCP server.

    :param answer: bytes that the server sends.
    :param read_until: end of the part of a request that it reads first.
    :param read_on_s: seconds for which it then reads on before it closes.
    """
    received = []

    async def serve(reader, writer):
        received.append(await reader.readuntil(read_until))
        writer.write(answer)
        await writer.drain()
        with contextlib.suppress(TimeoutError):
            received.append(
                await asyncio.wait_for(reader.read(65536), read_on_s)
            )
        writer.close()

    server = await asyncio.start_server(serve, ADDRESS, 0)
    port = server.sockets[0].getsockname()[1]
    async with running_entry() as entry:
        changes = {'address': ADDRESS, 'port': port}
        entry.move_upstreams(changes)
        entry.received = received
        yield entry
    server.close()


def request_head(line, *fields):
    """Return the head of a raw request with the key."""
    lines = [f'{line} HTTP/1.1', 'Host: x', f'X-Api-Key: {KEY}', *fields]
    return '\r\n'.join([*lines, '', '']).encode()


@pytest.mark.parametrize(
    ('method', 'answer', 'status'),
    [
        ('HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n', 200),
        ('GET', b'HTTP/1.1 204 No Content\r\n\r\n', 204),
        ('GET', b'HTTP/1.1 304 X\r\nContent-Length: 70\r\n\r\n', 304),
        ('GET', b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' + WHOLE, 200),
        ('GET', b'HTTP/1.1 100 Continue\r\n\r\n' + WHOLE, 200),
    ],
)
async def test_answers_without_a_body_or_with_interim_ones(
    method,
    answer,
    status,
):
    """Guards against a caller that waits for a body that never arrives.

    Answers to HEAD and with 204 or 304 have none; interim (1xx) answers
    precede the final one.
    """
    async with raw_upstream(answer) as entry:
        got = await entry.send_raw(
            request_head(f'{method} /board', 'Connection: close')
        )
        assert got.split(b' ')[1] == str(status).encode()
        assert got.endswith(b'\r\n\r\nok' if b'ok' in answer else b'\r\n\r\n')


async def test_repeated_answer_headers_are_kept():
    """Guards against merging repeated headers (cookies) into one."""
    answer = WHOLE.replace(
        b'\r\n', b'\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n', 1
    )
    async with raw_upstream(answer) as entry:
        got = await entry.send_raw(
            request_head('GET /board', 'Connection: close')
        )
        assert got.count(b'Set-Cookie: ') == 2


async def test_early_answer_to_an_upload_reaches_the_caller():
    """Guards against a failure reported in place of an early answer.

    An upstream may answer and close before it has read the whole upload.
    """
    answer = b'HTTP/1.1 403 No\r\nContent-Length: 2\r\n\r\nno'
    async with raw_upstream(answer) as entry:
        got = await entry.fetch('/intake', method='POST', body=b'x' * 4000000)
        assert (got.code, got.body) == (403, b'no')


async def test_chunked_upload_arrives_and_expect_is_answered():
    """Guards against a caller that never gets its ``100 Continue``."""
    async with running_entry() as entry:
        request = request_head(
            'POST /intake',
            'Connection: close',
            'Expect: 100-continue',
            'Transfer-Encoding: chunked',
        )
        got = await entry.send_raw(request + b'3\r\nabc\r\n0\r\n\r\n')
        assert got.startswith(b'HTTP/1.1 100 ')
        assert b'"received": 3' in got


async def test_chunked_body_cannot_carry_a_further_request():
    """Guards against a chunked body that an upstream reads as a request (P3).

    tornado's client does not frame the chunks of a DELETE request.
    """
    hidden = b'GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n'
    body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(hidden), hidden)
    async with raw_upstream(WHOLE, read_on_s=0.2) as entry:
        request = request_head('DELETE /board', 'Transfer-Encoding: chunked')
        got = await entry.send_raw(request + body, 0.5)
        assert b' 400 ' in got.split(b'\r\n')[0]
        assert not any(b'hidden' in part for part in entry.received)


@pytest.mark.parametrize('size', [10, 100000])
async def test_request_whose_body_stalls_is_answered(size):
    """Guards against a caller that holds a connection for ever.

    The body of the request stops arriving, buffered or streamed.
    """
    async with running_entry() as entry:
        request = request_head(
            'POST /intake',
            f'Content-Length: {size}',
            'X-Deadline-Ms: 300',
        )
        got = await entry.send_raw(request + b'x' * 5, 1.5)
        assert b' 504 ' in got.split(b'\r\n')[0]
        assert entry.state.running_requests == 0


async def test_idempotency_key_does_not_keep_a_read_running():
    """Guards against upstream work for a caller that has disconnected.

    Only a request that is not idempotent continues without its caller.
    """
    async with running_entry() as entry:
        entry.set_faults('board', service_s=0.6)
        _, writer = await asyncio.open_connection(ADDRESS, entry.port)
        writer.write(request_head('GET /board', 'Idempotency-Key: a'))
        await asyncio.sleep(0.1)
        assert entry.state.running_requests == 1
        writer.close()
        await asyncio.sleep(0.1)
        assert entry.state.running_requests == 0


@pytest.mark.parametrize(
    ('path', 'key'),
    [('/submit', 'a'), ('/ledger', 'x' * 300), ('/ledger', 'a b')],
)
async def test_idempotency_key_that_cannot_be_claimed_is_a_bad_request(
    path, key
):
    """Guards against a retryable error where no repeat can succeed."""
    async with running_entry() as entry:
        answer = await entry.fetch(
            path,
            method='POST',
            body=b'{}',
            headers={'Idempotency-Key': key},
        )
        assert answer.code == 400


async def test_slow_answer_to_a_read_has_the_whole_time_limit():
    """Guards against a read that is cut at half of its time limit.

    Half is the limit of the first byte, which leaves time for a retry; an
    answer that has begun gets the whole limit.
    """
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok'
    async with raw_upstream(answer, read_on_s=0.7) as entry:
        started_at = time.monotonic()
        await entry.send_raw(request_head('GET /board', 'X-Deadline-Ms: 800'))
        assert int((time.monotonic() - started_at) * 1000) >= 650


class SilentAgent:
    """Never answers a claim; keeps the records that it gets."""

    def __init__(self):
        """Start without records."""
        self.records = []

    async def call(self, message, timeout_s):
        """Let a claim time out; keep a record."""
        if not isinstance(message, RecordAnswer):
            await asyncio.sleep(timeout_s)
        self.records.append(message)

    def close(self):
        """Do nothing."""


@pytest.mark.parametrize(
    ('step', 'state'),
    [('claim', 'released'), ('send', 'unknown')],
)
async def test_cancelled_upload_is_recorded_in_the_ledger(
    step, state, monkeypatch
):
    """Guards against a wrong record for an upload that its caller cut.

    A claim that is not released blocks its key. A claim that is released
    after a byte was sent allows a second execution.
    """
    agent = SilentAgent()
    async with running_entry() as entry:
        entry.program.service.agent = agent
        if step == 'send':
            granted = asyncio.sleep(
                0, type('Granted', (), {'status': 'granted'})
            )
            monkeypatch.setattr(ClaimLedger, 'register', lambda _: granted)
        _, writer = await asyncio.open_connection(ADDRESS, entry.port)
        fields = ('Content-Length: 200000', 'Idempotency-Key: a')
        writer.write(request_head('POST /intake', *fields) + b'x' * 100000)
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.2)
        assert [record.state for record in agent.records if record] == [state]


LINK = """
[[links]]
regions = ["region-a", "region-b"]
megabits_per_s = 0.16
"""


async def test_chunk_larger_than_the_burst_of_a_link_passes():
    """Guards against a stream that waits for its link share for ever.

    The chunk is larger than the burst, so it never fits in one take.
    """
    text = DOCUMENT.read_text().replace('@digest@', 'sha256:' + '0' * 64)
    text = text.replace(
        '[{ name = "region-a" }]',
        '[{ name = "region-a" }, { name = "region-b" }]',
    )
    loaded = Environment.from_bytes((text + LINK).encode(), 'test', 1)
    environment = loaded.unwrap()
    holdings = Holdings('host-1', 1)
    now = time.monotonic()
    slot = ShareSlot(0, 1, now + 600, now - 10)
    holdings.apply(environment, (), slot, 1, now - 5)
    meter = LinkMeter(holdings, environment, 'region-a', 'region-b')
    started_at = time.monotonic()
    async with asyncio.timeout(2):
        await meter.spend(6000)
    assert int((time.monotonic() - started_at) * 1000) >= 150
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await meter.spend(50000)
