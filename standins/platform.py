"""Stand-in for the platform: tables, objects and host list over HTTP.

Run as ``python -m standins.platform --address 127.0.0.1 --port 9000``.
``POST /faults`` switches faults; see :class:`Faults`.
"""

import argparse
import asyncio
import signal

from typing import Annotated, TypeVar

import msgspec
from tornado import web
from tornado.httpserver import HTTPServer

from egretmill.document.environment import body_digest
from egretmill.store.ports import Hosts, Put, Row

__all__ = ('Faults', 'Platform', 'make_application', 'main')

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_TOO_LARGE = 413
MAX_BODY_BYTES = 33554432
MAX_ROW_BYTES = 262144
MAX_KEY_CHARS = 2048

BodyT = TypeVar('BodyT')
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Count = Annotated[int, msgspec.Meta(ge=0)]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of the platform.

    ``down``: connections are closed without an answer. ``delay_s``: passes
    before a call takes effect. ``lose_answers``: that many writes take
    effect and get no answer. ``refused``: addresses of callers that are
    cut off. ``stale_hosts``: the host list is answered as it was when the
    switch was set. ``malformed_answers``: that many calls take effect and
    get an answer that is no JSON.
    """

    down: bool = False
    delay_s: Seconds = 0.0
    lose_answers: Count = 0
    refused: tuple[str, ...] = ()
    stale_hosts: bool = False
    malformed_answers: Count = 0


class Transaction(msgspec.Struct):
    """Conditional writes that apply together."""

    puts: list[Put]

    def problem(self) -> str:
        """Return why the transaction is malformed, empty when it is not."""
        keys = [put.key for put in self.puts]
        if not keys or len(keys) != len(set(keys)):
            return 'no keys or a key twice'
        if not all(valid_key(key) for key in keys):
            return 'a key is empty, too long or contains blanks'
        if any(put.expected_version < 0 for put in self.puts):
            return 'an expected version is negative'
        return ''


class Platform:
    """State of the platform, in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.host_list = Hosts()
        self.stale_list = Hosts()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    def switch(self, faults: Faults) -> None:
        """Set the fault switches."""
        if faults.stale_hosts and not self.faults.stale_hosts:
            self.stale_list = self.host_list
        self.faults = faults

    def listed(self) -> Hosts:
        """Return the host list as it is answered."""
        stale = self.faults.stale_hosts
        return self.stale_list if stale else self.host_list

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

    def decode(self, kind: type[BodyT]) -> BodyT | None:
        """Decode the request body, or answer 400 and return ``None``."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except (msgspec.DecodeError, RecursionError) as error:
            self.refuse(HTTP_BAD_REQUEST, str(error))
        return None

    def refuse(self, code: int, reason: str) -> None:
        """Answer a malformed request."""
        self.set_status(code)
        self.finish({'error': reason})

    def answer(self, body: bytes) -> None:
        """Answer a read, or something that is no JSON."""
        if self.platform.faults.malformed_answers:
            self.platform.faults.malformed_answers -= 1
            self.finish(b'{"version": 1, "bo')
            return
        self.finish(body)

    def answer_write(self, body: bytes) -> None:
        """Answer a write, or lose the answer after it took effect."""
        if self.platform.faults.lose_answers:
            self.platform.faults.lose_answers -= 1
            self.drop()
            return
        self.answer(body)

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
        self.answer(msgspec.json.encode(row))


class TransactionHandler(PlatformHandler):
    """``POST /transactions``: all writes or none."""

    def post(self) -> None:
        """Apply conditional writes; 409 lists the keys in conflict."""
        transaction = self.decode(Transaction)
        if transaction is None:
            return
        problem = transaction.problem()
        if problem:
            self.refuse(HTTP_BAD_REQUEST, problem)
            return
        if any(len(put.body) > MAX_ROW_BYTES for put in transaction.puts):
            self.refuse(HTTP_TOO_LARGE, 'a row is too large')
            return
        conflicts = self.platform.apply(transaction.puts)
        if conflicts:
            self.set_status(HTTP_CONFLICT)
        self.answer_write(msgspec.json.encode(conflicts))


class ObjectHandler(PlatformHandler):
    """``GET`` and ``PUT /objects/DIGEST``."""

    def get(self, digest: str) -> None:
        """Answer the object or 404."""
        found = self.platform.objects.get(digest)
        if found is None:
            self.send_error(404)
            return
        self.answer(found)

    def put(self, digest: str) -> None:
        """Store an object whose digest is right."""
        if body_digest(self.request.body) != digest:
            self.refuse(HTTP_BAD_REQUEST, 'the body has another digest')
            return
        self.platform.objects[digest] = self.request.body
        self.answer_write(b'{}')


class HostsHandler(PlatformHandler):
    """``GET /hosts``; ``POST`` is the stand-in's own administration."""

    def get(self) -> None:
        """Answer the host list."""
        self.answer(msgspec.json.encode(self.platform.listed()))

    def post(self) -> None:
        """Replace the host list."""
        hosts = self.decode(Hosts)
        if hosts is not None:
            self.platform.host_list = hosts
            self.finish(b'{}')


class FaultsHandler(PlatformHandler):
    """``POST /faults`` sets the switches, ``GET`` returns counters.

    Faults do not apply to these calls.
    """

    def prepare(self) -> None:
        """Apply no fault and count nothing."""

    def get(self) -> None:
        """Answer the number of reads, writes and rows so far."""
        self.finish(
            {
                'reads': self.platform.reads,
                'writes': self.platform.writes,
                'rows': len(self.platform.rows),
            }
        )

    def post(self) -> None:
        """Replace the fault switches."""
        faults = self.decode(Faults)
        if faults is not None:
            self.platform.switch(faults)
            self.finish(b'{}')


def valid_key(key: str) -> bool:
    """Tell whether a key may name a row."""
    return 0 < len(key) <= MAX_KEY_CHARS and key.split() == [key]


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
    server = HTTPServer(
        make_application(Platform()),
        max_body_size=MAX_BODY_BYTES,
    )
    server.listen(port, address)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
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
