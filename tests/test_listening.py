"""HTTP servers for whose callers no descriptor is free."""

import asyncio
import errno
import socket

import pytest
from tornado.httpserver import HTTPServer
from tornado.web import Application

from egretmill.listening import RefusingSocket, listen

ADDRESS = '127.0.0.1'
CALLERS = 20
OBSERVED_S = 0.3


class Accepts:
    """Counts accepts and lets them fail, except those that refuse."""

    def __init__(self):
        """Start to fail."""
        self.is_exhausted = True
        self.count = 0
        self.accept = socket.socket.accept

    def bind(self):
        """Return the function that takes the place of the accept."""

        def accept(listening):
            self.count += 1
            reserved = getattr(listening, 'reserved', '')
            if self.is_exhausted and reserved is not None:
                raise OSError(errno.EMFILE, 'too many open files')
            return self.accept(listening)

        return accept


@pytest.fixture
def accepts(monkeypatch):
    """Return the accepts of all sockets of the test."""
    patched = Accepts()
    monkeypatch.setattr(socket.socket, 'accept', patched.bind())
    return patched


@pytest.fixture
async def address():
    """Return the address of an HTTP server."""
    server = HTTPServer(Application())
    listen(server, 0, ADDRESS)
    yield next(iter(server._sockets.values())).getsockname()
    server.stop()
    await server.close_all_connections()


async def read_closed(address):
    """Connect, and return what arrives before the connection is closed."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        return await reader.read()
    except ConnectionError:
        return b''
    finally:
        writer.close()


async def test_http_server_without_descriptors_refuses_its_callers(
    accepts, address
):
    """Guards against a busy loop of failing accepts, and silent callers."""
    async with asyncio.timeout(1):
        answers = await asyncio.gather(
            *(read_closed(address) for _ in range(CALLERS))
        )
    assert set(answers) == {b''}
    await asyncio.sleep(OBSERVED_S)
    assert accepts.count <= 4 * CALLERS
    accepts.is_exhausted = False
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    assert await reader.readline() == b'HTTP/1.1 404 Not Found\r\n'
    writer.close()


def test_address_in_use_is_reported():
    """Guards against a socket that stays open when its address is taken."""
    first = RefusingSocket.open(ADDRESS, 0, 1)
    with pytest.raises(OSError, match='in use'):
        RefusingSocket.open(*first.getsockname(), 1)
    first.close()
