"""Requests through the entry program: answers, outcomes and bad input."""

import asyncio
import json

import pytest

from tests.entry.harness import KEY, running_entry

OUTCOME = 'X-Egretmill-Outcome'


async def test_read_is_served_without_forwarding_the_key():
    """Guards against forwarding the caller's key to an upstream (P3)."""
    async with running_entry() as entry:
        answer = await entry.fetch('/board/7?day=2', headers={'X-Work-Id': 'a'})
        assert answer.code == 200
        assert json.loads(answer.body)['work_id'] == 'a'
        assert answer.headers[OUTCOME] == 'ran'
        assert not any(up.keys_seen for up in entry.upstreams.values())


async def test_hop_by_hop_headers_are_removed():
    """Guards against forwarding headers of the caller's connection."""
    async with running_entry() as entry:
        answer = await entry.fetch(
            '/board',
            headers={'Connection': 'X-Work-Id', 'X-Work-Id': 'private'},
        )
        assert json.loads(answer.body)['work_id'] == ''


@pytest.mark.parametrize(
    ('path', 'options', 'status', 'kind'),
    [
        ('/nowhere', {}, 404, 'unknown_route'),
        ('/boards', {}, 404, 'unknown_route'),
        ('/board', {'method': 'POST', 'body': b''}, 405, 'method_not_allowed'),
        ('/board', {'headers': {'X-Api-Key': ''}}, 401, 'missing_key'),
        ('/board', {'headers': {'X-Api-Key': 'egk_x'}}, 403, 'unknown_key'),
        ('/board', {'headers': {'X-Deadline-Ms': 'x'}}, 400, 'bad_request'),
        ('/board', {'headers': {'X-Big': 'x' * 20000}}, 431, None),
        ('/intake', {'method': 'POST', 'body': b'x' * 33554433}, 413, None),
    ],
)
async def test_bad_input_gets_a_clear_error(path, options, status, kind):
    """Guards against tracebacks and unspecific errors for bad requests."""
    async with running_entry() as entry:
        answer = await entry.fetch(path, **options)
        assert answer.code == status
        assert answer.headers[OUTCOME] == 'not-run'
        body = json.loads(answer.body)
        assert body['outcome'] == 'not-run'
        assert kind in {None, body['error']}
        assert (await entry.fetch('/board')).code == 200


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'\x00\x01\x02\r\n\r\n',
        b'GET /board HTTP/9.9\r\n\r\n',
        b'GET /board HTTP/1.1\r\nContent-Length: 1,2\r\n\r\n',
        b'POST /ledger HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
        b'POST /ledger HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    ],
)
async def test_malformed_http_does_not_end_the_program(request_bytes):
    """Guards against a crash of the program by a malformed request."""
    async with running_entry() as entry:
        await entry.send_raw(request_bytes, 0.3)
        assert (await entry.fetch('/board')).code == 200


async def test_refused_connection_is_retried_or_reported_as_not_run():
    """Guards against a false "not run" and a needless error (P6).

    No byte reaches an upstream that refuses the connection, so even a
    write is retried, and its outcome without an upstream is "not run".
    """
    async with running_entry() as entry:
        await entry.kill('ledger-1')
        served = [
            await entry.fetch('/ledger', method='POST', body=b'{}')
            for _ in range(8)
        ]
        assert {answer.code for answer in served} == {200}
        await entry.kill('ledger-2')
        answer = await entry.fetch('/ledger', method='POST', body=b'{}')
        assert answer.code >= 500
        assert answer.headers[OUTCOME] == 'not-run'


async def test_silent_upstream_is_unknown_and_affects_no_later_request():
    """Guards against an answer that reaches another request (P5, P6).

    The upstream answers late, after the first request has timed out.
    """
    async with running_entry() as entry:
        entry.set_faults('ledger', silent=True)
        answer = await entry.fetch(
            '/ledger',
            method='POST',
            body=b'{}',
            headers={'X-Deadline-Ms': '200', 'X-Work-Id': 'lost'},
        )
        assert (answer.code, answer.headers[OUTCOME]) == (504, 'unknown')
        entry.set_faults('ledger')
        for number in range(10):
            mark = f'mark-{number}'
            answer = await entry.fetch(
                '/ledger',
                method='POST',
                body=b'{}',
                headers={'X-Work-Id': mark},
            )
            assert json.loads(answer.body)['work_id'] == mark
        assert entry.executions('lost') == 1


async def test_cut_answer_is_visible_to_the_caller():
    """Guards against a cut answer that its caller takes as complete (P5)."""
    async with running_entry() as entry:
        entry.set_faults('board', cut_answer=True)
        received = await entry.send_raw(
            b'GET /board HTTP/1.1\r\nHost: x\r\nX-Api-Key: '
            + KEY.encode()
            + b'\r\n\r\n',
        )
        head, _, body = received.partition(b'\r\n\r\n')
        assert b'Content-Length: 1000' in head
        assert len(body) == 500


async def test_shed_read_is_retried_within_the_budget():
    """Guards against retries that add load while upstreams shed."""
    async with running_entry() as entry:
        for _ in range(40):
            await entry.fetch('/board')
        entry.upstreams['board-1'].faults.shed = True
        codes = [(await entry.fetch('/board')).code for _ in range(60)]
        shed = sum(up.shed for up in entry.upstreams.values())
        assert codes.count(200) >= 50
        assert shed <= 20


async def test_shed_write_is_not_reported_as_not_run():
    """Guards against "not run" after bytes have reached an upstream."""
    async with running_entry() as entry:
        entry.set_faults('ledger', shed=True)
        answer = await entry.fetch('/ledger', method='POST', body=b'{}')
        assert answer.code == 503
        assert answer.headers[OUTCOME] == 'unknown'


async def test_withdrawn_key_is_refused_on_an_open_connection():
    """Guards against a withdrawn key that stays valid on a connection (P3)."""
    async with running_entry() as entry:
        request = (
            b'GET /board HTTP/1.1\r\nHost: x\r\nX-Api-Key: '
            + KEY.encode()
            + b'\r\n\r\n'
        )
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            entry.port,
        )
        writer.write(request)
        assert b' 200 ' in await reader.readuntil(b'}')
        digest = entry.text.index('{ digest')
        end = entry.text.index('}', digest) + 1
        entry.apply(entry.text[:digest] + entry.text[end:])
        writer.write(request)
        received = await asyncio.wait_for(reader.read(4096), 2)
        assert b' 403 ' in received
        writer.close()


async def test_unconfirmed_version_refuses_writes_and_serves_reads():
    """Guards against writes under a key that may have been withdrawn."""
    async with running_entry() as entry:
        entry.apply(confirmed_at=entry.state.now() - 6)
        answer = await entry.fetch('/ledger', method='POST', body=b'{}')
        assert answer.code == 503
        assert answer.headers[OUTCOME] == 'not-run'
        assert (await entry.fetch('/board')).code == 200


async def test_nothing_is_admitted_after_the_lease_has_ended():
    """Guards against the use of a share after its lease has ended (P4).

    It happens on a host that was paused for longer than its lease.
    """
    async with running_entry() as entry:
        entry.apply(slot=None)
        answer = await entry.fetch(
            '/board',
            headers={'X-Deadline-Ms': '200'},
        )
        assert answer.code in {429, 503, 504}
        assert answer.headers[OUTCOME] == 'not-run'
