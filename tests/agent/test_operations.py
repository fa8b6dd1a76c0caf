"""Tests of the operations port: answers, bad input and the token."""

import json

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from egretmill.accounts import digest_key
from egretmill.agent.operations import make_application, serve_operations
from egretmill.document import Environment
from egretmill.document.promotion import MAX_DOCUMENT_BYTES
from egretmill.settings import HostSettings, PlatformSettings, PortSettings
from tests.agent.fakes import FakeAgent
from tests.document.fakes import sample

BODY = sample().encode()
PROMOTE = '/v1/promote?replaces=0&attempt=attempt-1&operator=anna'
TOKEN = 'token-of-the-operators'


class Port:
    """An operations port with an HTTP client."""

    def __init__(self, view, token_digest=None) -> None:
        """Listen on a free port of the loopback address."""
        socket, port = bind_unused_port()
        self.server = HTTPServer(make_application(view, token_digest))
        self.server.add_sockets([socket])
        self.url = f'http://127.0.0.1:{port}'

    async def call(self, method, path, body=None, headers=None):
        """Return status and body of one request."""
        kind = 'toml' if path.startswith('/v1/promote') else 'json'
        default = {'Content-Type': f'application/{kind}; charset=utf-8'}
        answer = await AsyncHTTPClient().fetch(
            self.url + path,
            method=method,
            body=body,
            headers=default | (headers or {}),
            raise_error=False,
            allow_nonstandard_methods=True,
        )
        return answer.code, answer.body.decode()


@pytest.fixture
async def view():
    """Return an agent."""
    return FakeAgent()


@pytest.fixture
async def port(view):
    """Return a port without a token."""
    opened = Port(view)
    yield opened
    opened.server.stop()


async def test_promote_answers_version_and_digest(port, view):
    """Guards against an answer without the promoted version or digest."""
    status, body = await port.call('POST', PROMOTE, BODY)
    expected = Environment.from_bytes(BODY).unwrap().digest
    assert status == 200
    assert json.loads(body) == {'version': 1, 'digest': expected}


async def test_outdated_promotion_gets_a_conflict(port):
    """Guards against a wrong error if another version came first."""
    await port.call('POST', PROMOTE, BODY)
    other = PROMOTE.replace('attempt-1', 'attempt-2')
    status, body = await port.call('POST', other, BODY)
    assert (status, json.loads(body)['error']) == (409, 'version_conflict')


async def test_status_lists_hosts_by_name(port, view):
    """Guards against a status without the unreachable hosts."""
    await port.call('POST', PROMOTE, BODY)
    view.unreachable.add('eh-2')
    status, body = await port.call('GET', '/v1/status')
    report = json.loads(body)
    assert (status, report['version']) == (200, 1)
    names = [host['name'] for host in report['hosts']]
    assert names == ['eh-1', 'eh-2', 'eh-3']
    assert report['hosts'][0] == {
        'name': 'eh-1',
        'state': 'live',
        'incarnation': 6,
        'version': 1,
        'confirmation_age_s': 0.25,
        'reachable': True,
        'ready': True,
        'leaving': False,
        'slot': 1,
    }
    assert report['hosts'][1]['reachable'] is False
    assert report['hosts'][1]['confirmation_age_s'] is None


async def test_document_keeps_its_bytes(port, view):
    """Guards against a document whose bytes change on the way."""
    assert (await port.call('GET', '/v1/document'))[0] == 404
    await port.call('POST', PROMOTE, BODY)
    assert await port.call('GET', '/v1/document') == (200, BODY.decode())


async def test_explain_and_retire(port):
    """Guards against answers of the agent that are not passed on."""
    asked = '{"method": "GET", "path": "/rota"}'
    status, body = await port.call('POST', '/v1/explain', asked)
    assert json.loads(body) == {'lines': ['route /rota', 'site tb1']}
    status, body = await port.call('POST', '/v1/retire', '{"host": "eh-2"}')
    assert (status, json.loads(body)) == (200, {'retired': 'eh-2'})


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status', 'kind'),
    [
        ('POST', '/v1/promote', b'', 400, 'bad_request'),
        ('POST', PROMOTE.replace('=0', '=-1'), b'', 400, 'bad_request'),
        ('POST', PROMOTE.replace('=0', '=%FF'), b'', 400, 'bad_request'),
        ('POST', PROMOTE.replace('=0', '=%0A1'), b'', 400, 'bad_request'),
        ('POST', PROMOTE.replace('=anna', '='), b'', 400, 'bad_request'),
        ('POST', PROMOTE, b'\xff', 422, 'invalid_document'),
        ('GET', '/v1/promote', None, 405, 'method_not_allowed'),
        ('POST', '/v1/explain', b'[]', 400, 'bad_request'),
        ('POST', '/v1/explain', b'{"method": 1}', 400, 'bad_request'),
        ('POST', '/v1/explain', b'\xff\x00', 400, 'bad_request'),
        (
            'POST',
            '/v1/explain',
            b'{"method": "GET", "path": "/x"}',
            404,
            'unknown_route',
        ),
        ('POST', '/v1/retire', b'{"host": "x", "a": 1}', 400, 'bad_request'),
        ('POST', '/v1/retire', b'{"host": "eh-9"}', 404, 'not_found'),
        ('GET', '/v2/status', None, 404, 'not_found'),
        (
            'POST',
            '/v1/explain',
            b'{"method": "GET", "path": "/crash"}',
            500,
            'internal',
        ),
    ],
)
async def test_bad_input_gets_a_clear_error(
    port,
    method,
    path,
    body,
    status,
    kind,
):
    """Guards against tracebacks and unclear answers."""
    found, text = await port.call(method, path, body)
    answer = json.loads(text)
    assert (found, answer['error']) == (status, kind)
    assert answer['detail']
    assert 'Traceback' not in text


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        ({}, 401),
        ({'Authorization': f'Basic {TOKEN}'}, 401),
        ({'Authorization': 'Bearer wrong'}, 403),
        ({'Authorization': f'Bearer {TOKEN}'}, 200),
    ],
)
async def test_token_is_required_when_set(view, headers, status):
    """Guards against an operations port that is open by mistake."""
    port = Port(view, digest_key(TOKEN))
    assert (await port.call('GET', '/v1/status', None, headers))[0] == status
    port.server.stop()


@pytest.mark.parametrize(
    'content_type',
    ['', 'text/plain', 'application/x-www-form-urlencoded'],
)
async def test_web_pages_cannot_promote(port, view, content_type):
    """Guards against a web page that sends a form to the operations port."""
    status, body = await port.call(
        'POST',
        PROMOTE,
        BODY,
        {'Content-Type': content_type},
    )
    assert (status, view.store.calls) == (400, [])
    assert 'send Content-Type: application/toml' in body


async def test_listen_uses_the_settings(view):
    """Guards against a port that ignores address, port or token."""
    socket, number = bind_unused_port()
    socket.close()
    settings = HostSettings(
        'eh-1',
        'tbilisi-a',
        '127.0.0.1',
        PlatformSettings('http://127.0.0.1:1'),
        PortSettings(operations=number),
        operations_token_digest=digest_key(TOKEN),
    )
    server = serve_operations(view, settings)
    answer = await AsyncHTTPClient().fetch(
        f'http://127.0.0.1:{number}/v1/status',
        raise_error=False,
    )
    server.stop()
    assert answer.code == 401


async def test_too_large_document_gets_an_answer(port):
    """Guards against a connection closed without an error answer."""
    body = BODY + b'#' * MAX_DOCUMENT_BYTES
    status, text = await port.call('POST', PROMOTE, body)
    assert (status, json.loads(text)['error']) == (413, 'body_too_large')


async def test_wrong_token_changes_nothing(view):
    """Guards against a token check that runs after the handler."""
    port = Port(view, digest_key(TOKEN))
    headers = {'Authorization': 'Bearer x'}
    status, _ = await port.call('POST', PROMOTE, BODY, headers)
    assert (status, view.store.calls) == (403, [])
    port.server.stop()
