"""Stand-in for an upstream: a server with a fixed number of slots.

Run as ``python -m standins.upstream --name w1 --port 9100 --slots 4``.
``POST /faults`` sets the faults; see :class:`Faults`. ``GET /load`` is the
load report, ``GET /executions`` counts the executions of each request that
has a work ID. All other paths execute a request.
"""

import argparse
import asyncio
import collections
import signal

import msgspec
import xxhash
from tornado import iostream, web
from tornado.httpserver import HTTPServer

__all__ = ('Faults', 'Upstream', 'make_application', 'main')

WORK_ID_HEADER = 'X-Work-Id'
API_KEY_HEADER = 'X-Api-Key'
MAX_BODY_BYTES = 1073741824


class Faults(msgspec.Struct):
    """Service time and faults of an upstream.

    ``service_s``: time that one request occupies a slot. ``cold_s`` is
    added to it for the first ``cold_requests`` requests. ``shed``: answer
    503 to all requests. ``draining``: announce a drain. ``reported_load``:
    report this number of running requests instead of the real one.
    ``silent``: execute requests and never answer. ``cut_answer``: close the
    connection in the middle of the answer.
    """

    service_s: float = 0.0
    cold_s: float = 0.0
    cold_requests: int = 0
    shed: bool = False
    draining: bool = False
    silent: bool = False
    cut_answer: bool = False
    reported_load: int | None = None


class Upstream:
    """State of one upstream."""

    def __init__(self, name: str, slots: int) -> None:
        """Start idle."""
        self.name = name
        self.slots = slots
        self.faults = Faults()
        self.running = 0
        self.peak_running = 0
        self.served = 0
        self.shed = 0
        self.keys_seen = 0
        self.executions: collections.Counter[str] = collections.Counter()
        self.slot_freed = asyncio.Condition()

    async def execute(self, work_id: str) -> None:
        """Wait for a free slot and occupy it for the service time."""
        async with self.slot_freed:
            await self.slot_freed.wait_for(lambda: self.running < self.slots)
            self.running += 1
            self.peak_running = max(self.running, self.peak_running)
        try:
            await self.simulate_work(work_id)
        finally:
            async with self.slot_freed:
                self.running -= 1
                self.slot_freed.notify()

    async def simulate_work(self, work_id: str) -> None:
        """Count the execution and wait for the service time."""
        self.served += 1
        if work_id:
            self.executions[work_id] += 1
        duration_s = self.faults.service_s
        if self.served <= self.faults.cold_requests:
            duration_s += self.faults.cold_s
        if duration_s:
            await asyncio.sleep(duration_s)


class UpstreamHandler(web.RequestHandler):
    """Base class of the handlers."""

    def initialize(self, upstream: Upstream) -> None:
        """Keep the shared state."""
        self.upstream = upstream


@web.stream_request_body
class WorkHandler(UpstreamHandler):
    """Any other path: executes a request of the service."""

    def prepare(self) -> None:
        """Count requests that still contain the caller's API key."""
        self.received_bytes = 0
        self.checksum = xxhash.xxh3_64()
        if API_KEY_HEADER in self.request.headers:
            self.upstream.keys_seen += 1

    def data_received(self, chunk: bytes) -> None:
        """Count and hash the body."""
        self.received_bytes += len(chunk)
        self.checksum.update(chunk)

    async def work(self, *_path: str) -> None:
        """Execute and answer one request, under the faults."""
        faults = self.upstream.faults
        if faults.draining:
            self.set_header('X-Draining', '1')
        if faults.shed:
            self.upstream.shed += 1
            self.set_status(503)
            self.finish({'error': 'shed'})
            return
        await self.upstream.execute(
            self.request.headers.get(WORK_ID_HEADER, '')
        )
        if faults.silent:
            await asyncio.sleep(faults.service_s + 3600)
        if faults.cut_answer:
            await self.send_truncated_answer()
            return
        await self.answer()

    async def answer(self) -> None:
        """Answer with what was received, or with ``bytes`` bytes if given."""
        remaining_bytes = int(self.get_query_argument('bytes', '0'))
        if not remaining_bytes:
            self.finish(
                {
                    'upstream': self.upstream.name,
                    'path': self.request.path,
                    'received': self.received_bytes,
                    'xxh3': self.checksum.hexdigest(),
                    'work_id': self.request.headers.get(WORK_ID_HEADER, ''),
                }
            )
            return
        self.set_header('Content-Length', str(remaining_bytes))
        filler = b'x' * 65536
        while remaining_bytes:
            chunk = filler[:remaining_bytes]
            self.write(chunk)
            remaining_bytes -= len(chunk)
            try:
                await self.flush()
            except iostream.StreamClosedError:
                return

    async def send_truncated_answer(self) -> None:
        """Send half of the announced body and close the connection."""
        self.set_header('Content-Length', '1000')
        self.write(b'x' * 500)
        await self.flush()
        self.request.connection.detach().close()

    get = work
    head = work
    post = work
    put = work
    delete = work


class LoadHandler(UpstreamHandler):
    """``GET /load``: the load report."""

    def get(self) -> None:
        """Answer with the real load or with the one that a fault sets."""
        faults = self.upstream.faults
        running = self.upstream.running
        if faults.reported_load is not None:
            running = faults.reported_load
        self.finish(
            {
                'running': running,
                'slots': self.upstream.slots,
                'draining': faults.draining,
            }
        )


class ExecutionsHandler(UpstreamHandler):
    """``GET /executions``: executions of each work ID."""

    def get(self) -> None:
        """Answer with the counts by work ID and the totals."""
        self.finish(
            {
                'executions': dict(self.upstream.executions),
                'served': self.upstream.served,
                'most_running': self.upstream.peak_running,
                'keys_seen': self.upstream.keys_seen,
            }
        )


class FaultsHandler(UpstreamHandler):
    """``POST /faults``: sets the faults."""

    def post(self) -> None:
        """Replace the faults."""
        self.upstream.faults = msgspec.json.decode(
            self.request.body,
            type=Faults,
        )
        self.finish({})


def make_application(upstream: Upstream) -> web.Application:
    """Return the tornado application of the stand-in."""
    shared = {'upstream': upstream}
    return web.Application(
        [
            ('/load', LoadHandler, shared),
            ('/executions', ExecutionsHandler, shared),
            ('/faults', FaultsHandler, shared),
            ('(/.*)', WorkHandler, shared),
        ],
        log_function=lambda handler: None,
    )


async def serve(arguments: argparse.Namespace) -> None:
    """Serve one or more upstreams on consecutive ports until SIGTERM."""
    servers = []
    for offset in range(arguments.count):
        upstream = Upstream(f'{arguments.name}-{offset}', arguments.slots)
        upstream.faults.service_s = arguments.service_ms / 1000
        server = HTTPServer(
            make_application(upstream),
            max_body_size=MAX_BODY_BYTES,
        )
        server.listen(arguments.port + offset, arguments.address)
        servers.append(server)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    for listening in servers:
        listening.stop()


def main() -> None:
    """Parse arguments and serve."""
    parser = argparse.ArgumentParser(prog='standins.upstream')
    parser.add_argument('--name', default='upstream')
    parser.add_argument('--address', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=9100)
    parser.add_argument('--slots', type=int, default=4)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--service-ms', type=float, default=1.0)
    asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
