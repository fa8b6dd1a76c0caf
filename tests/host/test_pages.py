"""Pages of a host: their answers, and callers that stay connected."""

import asyncio
import contextlib

import pytest

from egretmill.host.listeners import serve_pages
from egretmill.host.pages import PageHandler, PageRequest, Pages
from egretmill.host.settings import Endpoint
from egretmill.http1 import CallerMemory, Intake, Response
from tests.host.fakes import make_state
from tests.http1.harness import ADDRESS, read_response, wait_until

MAX_CALLERS = 4
GET = b'GET /page?a=1&b=%20x&a=2 HTTP/1.1\r\nHost: h\r\n'


def echo(request):
    """Answer with the arguments."""
    return Response(200, body=repr(sorted(request.arguments.items())).encode())


def fail(request):
    """Raise an unexpected exception."""
    raise RuntimeError


@pytest.fixture
async def handler():
    """Return the handler of pages that are served."""
    pages = Pages(Endpoint(ADDRESS, 0), {'/page': echo}, MAX_CALLERS)
    serving = PageHandler(make_state(), pages, CallerMemory(), Intake())
    server = await serve_pages(serving)
    serving.port = server.sockets[0].getsockname()[1]
    yield serving
    server.close()
    for connection in tuple(serving.connections):
        connection.reset()
    await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def connected(handler):
    """Connect to the pages; yield the streams."""
    reader, writer = await asyncio.open_connection(ADDRESS, handler.port)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def ask(handler, request):
    """Send a request; return head and body of the answer."""
    async with connected(handler) as (reader, writer):
        writer.write(request)
        return await read_response(reader)


def test_last_value_of_an_argument_counts():
    """Guards against look-ups whose arguments are lost."""
    request = PageRequest.from_target(b'/p?Region=a&Zone=b&Region=c')
    assert request.arguments == {'Region': 'c', 'Zone': 'b'}


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (GET + b'\r\n', 200),
        (GET.replace(b'/page', b'/other') + b'\r\n', 404),
        (GET.replace(b'GET', b'POST') + b'Content-Length: 0\r\n\r\n', 405),
        (GET + b'X: ' + b'x' * 30000, 431),
    ],
)
async def test_answers_of_pages(handler, request_bytes, status):
    """Guards against answers for requests that no page serves."""
    head, body = await ask(handler, request_bytes)
    assert int(head.split()[1]) == status
    assert bool(body) == (status == 200)


async def test_page_that_fails_is_answered(handler):
    """Guards against a caller that is told that its request is unreadable."""
    handler.pages.by_path['/broken'] = fail
    head, _ = await ask(handler, GET.replace(b'/page', b'/broken') + b'\r\n')
    assert head.startswith(b'HTTP/1.1 500')


async def test_body_is_dropped_after_the_answer(handler):
    """Guards against bodies that are kept although no page reads one."""
    async with connected(handler) as (reader, writer):
        writer.write(GET + b'Content-Length: 9000000\r\n\r\n')
        await read_response(reader)
        for _ in range(40):
            writer.write(b'x' * 100000)
            await writer.drain()
        assert handler.memory.used_bytes < 200000


async def test_callers_that_stay_connected_make_room_for_others(handler):
    """Guards against a directory that answers no one else."""
    async with contextlib.AsyncExitStack() as stack:
        for number in range(3 * MAX_CALLERS):
            streams = connected(handler)
            _, writer = await stack.enter_async_context(streams)
            writer.write(
                (b'', GET, GET + b'Content-Length: 5\r\n\r\n')[number % 3]
            )
            await asyncio.sleep(0.01)
        head, _ = await ask(handler, GET + b'\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        await wait_until(lambda: len(handler.connections) <= MAX_CALLERS)
