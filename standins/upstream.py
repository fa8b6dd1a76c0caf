"""Stand-in for an upstream: a worker with a fixed number of slots.

Run as ``python -m standins.upstream --name w1 --port 9100 --slots 4``.
``POST /faults`` switches faults; see :class:`Faults`. ``GET /load`` is the
load report, ``GET /executions`` tells how often each marked request ran.
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

MARK_HEADER = 'X-Work-Id'
KEY_HEADER = 'X-Api-Key'
MAX_BODY_BYTES = 1073741824


class Faults(msgspec.Struct):
    """Fault switches of an upstream.

    ``service_s``: time that one request occupies a slot. ``cold_s`` is
    added to the first ``cold_requests`` requests. ``shed``: answer 503 to
    everything. ``draining``: announce a drain. ``reported_load``: a false
    load report. ``silent``: accept requests and never answer.
    ``cut_answer``: close the connection in the middle of the answer.
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
        self.most_running = 0
        self.served = 0
        self.shed = 0
        self.keys_seen = 0
        self.executions: collections.Counter[str] = collections.Counter()
        self.free = asyncio.Condition()

    async def execute(self, mark: str) -> None:
        """Occupy a slot for the service time."""
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
            self.running += 1
            self.most_running = max(self.running, self.most_running)
        try:
            await self.work(mark)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()

    async def work(self, mark: str) -> None:
        """Count the execution and take the service time."""
        self.served += 1
        if mark:
            self.executions[mark] += 1
        duration_s = self.faults.service_s
        if self.served <= self.faults.cold_requests:
            duration_s += self.faults.cold_s
        if duration_s:
            await asyncio.sleep(duration_s)


class UpstreamHandler(web.RequestHandler):
    """Base of the handlers."""

    def initialize(self, upstream: Upstream) -> None:
        """Keep the shared state."""
        self.upstream = upstream


@web.stream_request_body
class WorkHandler(UpstreamHandler):
    """Any other path: does the work of the service."""

    def prepare(self) -> None:
        """Note whether a caller's key came through."""
        self.received = 0
        self.checksum = xxhash.xxh3_64()
        if KEY_HEADER in self.request.headers:
            self.upstream.keys_seen += 1

    def data_received(self, chunk: bytes) -> None:
        """Count and hash the body."""
        self.received += len(chunk)
        self.checksum.update(chunk)

    async def work(self, *_path: str) -> None:
        """Serve one request under the faults."""
        faults = self.upstream.faults
        if faults.draining:
            self.set_header('X-Draining', '1')
        if faults.shed:
            self.upstream.shed += 1
            self.set_status(503)
            self.finish({'error': 'shed'})
            return
        await self.upstream.execute(self.request.headers.get(MARK_HEADER, ''))
        if faults.silent:
            await asyncio.sleep(faults.service_s + 3600)
        if faults.cut_answer:
            await self.cut()
            return
        await self.answer()

    async def answer(self) -> None:
        """Send what was received and, on request, a body of N bytes."""
        size = int(self.get_query_argument('bytes', '0'))
        if not size:
            self.finish(
                {
                    'upstream': self.upstream.name,
                    'path': self.request.path,
                    'received': self.received,
                    'xxh3': self.checksum.hexdigest(),
                    'work_id': self.request.headers.get(MARK_HEADER, ''),
                }
            )
            return
        self.set_header('Content-Length', str(size))
        block = b'x' * 65536
        while size:
            part = block[:size]
            self.write(part)
            size -= len(part)
            try:
                await self.flush()
            except iostream.StreamClosedError:
                return

    async def cut(self) -> None:
        """Send half of the promised answer and close."""
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
    """``GET /load``: running requests as reported."""

    def get(self) -> None:
        """Answer the load report, true or not."""
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
    """``GET /executions``: how often each marked request ran."""

    def get(self) -> None:
        """Answer counts by mark and the totals."""
        self.finish(
            {
                'executions': dict(self.upstream.executions),
                'served': self.upstream.served,
                'most_running': self.upstream.most_running,
                'keys_seen': self.upstream.keys_seen,
            }
        )


class FaultsHandler(UpstreamHandler):
    """``POST /faults``: sets the switches."""

    def post(self) -> None:
        """Replace the fault switches."""
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
    for running in servers:
        running.stop()


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
