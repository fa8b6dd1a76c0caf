"""Stand-in for the platform: tables, objects and host list over HTTP.

Run as ``python -m standins.platform --address 127.0.0.1 --port 9000``.
``POST /faults`` switches faults; see :class:`Faults`.
"""

import argparse
import asyncio
import signal

import msgspec
from tornado import web

from egretmill.document.environment import body_digest
from egretmill.store.ports import Hosts, Put, Row

__all__ = ('Faults', 'Platform', 'make_application', 'main')

HTTP_CONFLICT = 409


class Faults(msgspec.Struct):
    """Fault switches of the platform.

    ``down``: connections are closed without an answer. ``delay_s``: added
    to every answer. ``lose_answers``: that many writes take effect and get
    no answer. ``refused``: addresses of callers that are cut off.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    refused: tuple[str, ...] = ()


class Transaction(msgspec.Struct):
    """Conditional writes that apply together."""

    puts: list[Put]


class Platform:
    """State of the platform, in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.host_list = Hosts()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    def apply(self, puts: list[Put]) -> list[str]:
        """Apply all writes or none; return the keys that conflict."""
        conflicts = [
            put.key
            for put in puts
            if self.version_of(put.key) != put.expected_version
        ]
        if conflicts:
            return conflicts
        for put in puts:
            self.rows[put.key] = Row(put.expected_version + 1, put.body)
        return []

    def version_of(self, key: str) -> int:
        """Return the version of a row, 0 when absent."""
        found = self.rows.get(key)
        return found.version if found else 0


class PlatformHandler(web.RequestHandler):
    """Base of the handlers; applies the faults."""

    def initialize(self, platform: Platform) -> None:
        """Keep the shared state."""
        self.platform = platform

    async def prepare(self) -> None:
        """Apply delay, outage and cuts before a call takes effect."""
        faults = self.platform.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.down or self.request.remote_ip in faults.refused:
            self.drop()
            return
        if self.request.method == 'GET':
            self.platform.reads += 1
        else:
            self.platform.writes += 1

    def drop(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.detach().close()

    def finish_write(self, body: bytes) -> None:
        """Answer a write, or lose the answer after it took effect."""
        if self.platform.faults.lose_answers:
            self.platform.faults.lose_answers -= 1
            self.drop()
            return
        self.finish(body)

    def detach(self):
        """Return the stream of the connection."""
        return self.request.connection.detach()


class TableHandler(PlatformHandler):
    """``GET /table/KEY``."""

    def get(self, key: str) -> None:
        """Answer the row or 404."""
        row = self.platform.rows.get(key)
        if row is None:
            self.send_error(404)
            return
        self.finish(msgspec.json.encode(row))


class TransactionHandler(PlatformHandler):
    """``POST /transactions``: all writes or none."""

    def post(self) -> None:
        """Apply conditional writes; 409 lists the keys in conflict."""
        puts = msgspec.json.decode(self.request.body, type=Transaction).puts
        conflicts = self.platform.apply(puts)
        if conflicts:
            self.set_status(HTTP_CONFLICT)
        self.finish_write(msgspec.json.encode(conflicts))


class ObjectHandler(PlatformHandler):
    """``GET`` and ``PUT /objects/DIGEST``."""

    def get(self, digest: str) -> None:
        """Answer the object or 404."""
        found = self.platform.objects.get(digest)
        if found is None:
            self.send_error(404)
            return
        self.finish(found)

    def put(self, digest: str) -> None:
        """Store an object whose digest is right."""
        if body_digest(self.request.body) != digest:
            self.send_error(400)
            return
        self.platform.objects[digest] = self.request.body
        self.finish_write(b'{}')


class HostsHandler(PlatformHandler):
    """``GET /hosts``; ``POST`` is the stand-in's own administration."""

    def get(self) -> None:
        """Answer the host list."""
        self.finish(msgspec.json.encode(self.platform.host_list))

    def post(self) -> None:
        """Replace the host list."""
        self.platform.host_list = msgspec.json.decode(
            self.request.body,
            type=Hosts,
        )
        self.finish(b'{}')


class FaultsHandler(web.RequestHandler):
    """``POST /faults`` sets the switches, ``GET`` returns counters."""

    def initialize(self, platform: Platform) -> None:
        """Keep the shared state."""
        self.platform = platform

    def get(self) -> None:
        """Answer the number of reads and writes so far."""
        self.finish(
            {
                'reads': self.platform.reads,
                'writes': self.platform.writes,
            }
        )

    def post(self) -> None:
        """Replace the fault switches."""
        self.platform.faults = msgspec.json.decode(
            self.request.body,
            type=Faults,
        )
        self.finish(b'{}')


def make_application(platform: Platform) -> web.Application:
    """Return the tornado application of the stand-in."""
    shared = {'platform': platform}
    return web.Application(
        [
            (r'/table/(.+)', TableHandler, shared),
            ('/transactions', TransactionHandler, shared),
            (r'/objects/(.+)', ObjectHandler, shared),
            ('/hosts', HostsHandler, shared),
            ('/faults', FaultsHandler, shared),
        ],
        log_function=lambda handler: None,
    )


async def serve(address: str, port: int) -> None:
    """Serve until SIGTERM."""
    server = make_application(Platform()).listen(port, address)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    server.stop()


def main() -> None:
    """Parse arguments and serve."""
    parser = argparse.ArgumentParser(prog='standins.platform')
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=9000)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.address, arguments.port))


if __name__ == '__main__':
    main()
