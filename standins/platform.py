"""Stand-in for the platform: tables, objects and host list over HTTP.

Run as ``python -m standins.platform --address 127.0.0.1 --port 9000``.
``POST /faults`` sets the faults; see :class:`Faults`.
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
    """Faults that the platform simulates.

    ``down``: connections are closed without an answer. ``delay_s``: delay
    before a call takes effect. ``lose_answers``: number of next writes that
    take effect without an answer. ``refused``: addresses of callers whose
    connections are closed. ``stale_hosts``: the host list is answered as it
    was when this fault was set. ``malformed_answers``: number of next calls
    that take effect and get an answer that is not JSON.
    """

    down: bool = False
    delay_s: Seconds = 0.0
    lose_answers: Count = 0
    refused: tuple[str, ...] = ()
    stale_hosts: bool = False
    malformed_answers: Count = 0


class Transaction(msgspec.Struct):
    """Conditional writes that are applied all or none."""

    puts: list[Put]

    def find_problem(self) -> str:
        """Return why the transaction is malformed, empty if it is valid."""
        keys = [put.key for put in self.puts]
        if not keys or len(keys) != len(set(keys)):
            return 'no keys or a key twice'
        if not all(is_valid_key(key) for key in keys):
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
        self.stale_host_list = Hosts()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    def replace_faults(self, faults: Faults) -> None:
        """Replace the faults; remember the host list if it becomes stale."""
        if faults.stale_hosts and not self.faults.stale_hosts:
            self.stale_host_list = self.host_list
        self.faults = faults

    def select_host_list(self) -> Hosts:
        """Return the host list to answer, which a fault may keep stale."""
        stale = self.faults.stale_hosts
        return self.stale_host_list if stale else self.host_list

    def apply(self, puts: list[Put]) -> list[str]:
        """Apply all writes or none; return the keys in conflict."""
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
        """Return the version of a row, 0 if there is none."""
        row = self.rows.get(key)
        return row.version if row else 0


class PlatformHandler(web.RequestHandler):
    """Base class of the handlers; applies the faults."""

    def initialize(self, platform: Platform) -> None:
        """Keep the shared state."""
        self.platform = platform

    async def prepare(self) -> None:
        """Delay the call or close its connection, as the faults demand."""
        faults = self.platform.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.down or self.request.remote_ip in faults.refused:
            self.close_connection()
            return
        if self.request.method == 'GET':
            self.platform.reads += 1
        else:
            self.platform.writes += 1

    def close_connection(self) -> None:
        """Close the connection without an answer."""
        self._finished = True
        self.detach_stream().close()

    def decode(self, body_type: type[BodyT]) -> BodyT | None:
        """Decode the request body, or answer 400 and return ``None``."""
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except (msgspec.DecodeError, RecursionError) as error:
            self.reject(HTTP_BAD_REQUEST, str(error))
        return None

    def reject(self, code: int, reason: str) -> None:
        """Answer an invalid request with an error status."""
        self.set_status(code)
        self.finish({'error': reason})

    def answer_read(self, body: bytes) -> None:
        """Answer with a body, or with malformed JSON under that fault."""
        if self.platform.faults.malformed_answers:
            self.platform.faults.malformed_answers -= 1
            self.finish(b'{"version": 1, "bo')
            return
        self.finish(body)

    def answer_write(self, body: bytes) -> None:
        """Answer a write that took effect, or lose the answer."""
        if self.platform.faults.lose_answers:
            self.platform.faults.lose_answers -= 1
            self.close_connection()
            return
        self.answer_read(body)

    def detach_stream(self):
        """Detach and return the stream of the connection."""
        return self.request.connection.detach()


class TableHandler(PlatformHandler):
    """``GET /table/KEY``."""

    def get(self, key: str) -> None:
        """Answer with the row or 404."""
        row = self.platform.rows.get(key)
        if row is None:
            self.send_error(404)
            return
        self.answer_read(msgspec.json.encode(row))


class TransactionHandler(PlatformHandler):
    """``POST /transactions``: all writes or none."""

    def post(self) -> None:
        """Apply the writes, or answer 409 with the keys in conflict."""
        transaction = self.decode(Transaction)
        if transaction is None:
            return
        problem = transaction.find_problem()
        if problem:
            self.reject(HTTP_BAD_REQUEST, problem)
            return
        if any(len(put.body) > MAX_ROW_BYTES for put in transaction.puts):
            self.reject(HTTP_TOO_LARGE, 'a row is too large')
            return
        conflicts = self.platform.apply(transaction.puts)
        if conflicts:
            self.set_status(HTTP_CONFLICT)
        self.answer_write(msgspec.json.encode(conflicts))


class ObjectHandler(PlatformHandler):
    """``GET`` and ``PUT /objects/DIGEST``."""

    def get(self, digest: str) -> None:
        """Answer with the object or 404."""
        content = self.platform.objects.get(digest)
        if content is None:
            self.send_error(404)
            return
        self.answer_read(content)

    def put(self, digest: str) -> None:
        """Store an object if its digest matches."""
        if body_digest(self.request.body) != digest:
            self.reject(HTTP_BAD_REQUEST, 'the body has another digest')
            return
        self.platform.objects[digest] = self.request.body
        self.answer_write(b'{}')


class HostsHandler(PlatformHandler):
    """``GET /hosts``; ``POST`` administers the stand-in itself."""

    def get(self) -> None:
        """Answer with the host list."""
        self.answer_read(msgspec.json.encode(self.platform.select_host_list()))

    def post(self) -> None:
        """Replace the host list."""
        hosts = self.decode(Hosts)
        if hosts is not None:
            self.platform.host_list = hosts
            self.finish(b'{}')


class FaultsHandler(PlatformHandler):
    """``POST /faults`` sets the faults, ``GET`` returns counters.

    Faults do not apply to these calls.
    """

    def prepare(self) -> None:
        """Apply no fault and count nothing."""

    def get(self) -> None:
        """Answer with the numbers of reads and writes so far and of rows."""
        self.finish(
            {
                'reads': self.platform.reads,
                'writes': self.platform.writes,
                'rows': len(self.platform.rows),
            }
        )

    def post(self) -> None:
        """Replace the faults."""
        faults = self.decode(Faults)
        if faults is not None:
            self.platform.replace_faults(faults)
            self.finish(b'{}')


def is_valid_key(key: str) -> bool:
    """Return whether a key may name a row."""
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
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
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
