"""Fleets, documents and helpers to measure look-ups and membership.

``python -m bench.fleet PORT`` serves an empty tornado handler, the baseline
for look-ups over HTTP.
"""

import asyncio
import os
import pathlib
import socket
import sys
import time
from collections.abc import Callable

from result import Ok, Result
from tornado import web
from tornado.iostream import IOStream

from egretmill.document import Environment
from egretmill.errors import Failure
from egretmill.lookup.blocks import ClientBlocks
from egretmill.lookup.blocks_file import digest_steps, encode_blocks
from egretmill.wire import messages

__all__ = ('ADDRESS', 'BlocksAgent', 'environment', 'peers', 'regions')

ADDRESS = '127.0.0.1'
PART_BYTES = 262_144
SITES = 250
MEGABYTE = 1_000_000


def site_name(index: int) -> str:
    """Return the name of a site."""
    return f'site-{index}'


def domain_count(hosts: int) -> int:
    """Return the number of failure domains: 6 today, 10 at target size."""
    return 6 if hosts < 80 else 10


def regions(hosts: int) -> dict[str, str]:
    """Return the region of each failure domain; two domains per region."""
    return {
        f'fd-{index}': f'region-{index // 2}'
        for index in range(domain_count(hosts))
    }


def environment(hosts: int = 7) -> Environment:
    """Return a document with 250 sites."""
    domains = regions(hosts)
    lines = [
        f'[[regions]]\nname = "{region}"'
        for region in sorted(set(domains.values()))
    ]
    lines.extend(
        f'[[failure_domains]]\nname = "{name}"\nregion = "{region}"\n'
        f'share_slots = 90'
        for name, region in domains.items()
    )
    lines.extend(
        f'[[sites]]\nname = "{site_name(index)}"\n'
        f'failure_domain = "fd-{index % len(domains)}"'
        for index in range(SITES)
    )
    lines.append('[[services]]\nname = "service-1"\nsites = ["site-0"]')
    lines.append(
        '[[routes]]\npath = "/"\nservice = "service-1"\nmethods = ["GET"]',
    )
    body = '\n'.join(lines).encode()
    return Environment.from_bytes(body, 'bench', 1).unwrap()


def peers(hosts: int) -> tuple[messages.PeerState, ...]:
    """Return the states of a healthy fleet."""
    return tuple(
        messages.PeerState(
            messages.HostRecord(
                f'entry-{index}',
                f'fd-{index % domain_count(hosts)}',
                f'10.0.{index >> 8}.{index & 255}',
                8080,
                8081,
                8090,
                8091,
            ),
            incarnation=1764835200000 + index,
            version=1,
            reachable=True,
            leaving=False,
            entry_ready=True,
            slot_index=index,
        )
        for index in range(hosts)
    )


class BlocksAgent:
    """Simulated agent with a fixed state and one table of client blocks."""

    def __init__(self, port: int, blocks: ClientBlocks, hosts: int = 7) -> None:
        """Encode the file of the table."""
        self.port = port
        self.body = b''.join(encode_blocks(blocks))
        self.digest = list(digest_steps(blocks))[-1]
        self.environment = environment(hosts)
        self.peers = peers(hosts)

    async def handle(
        self,
        message: messages.Message,
    ) -> Result[messages.Message, Failure]:
        """Answer a request for the host state or for a part of the table."""
        if isinstance(message, messages.FetchBlocks):
            offset = message.offset
            part = self.body[offset : offset + PART_BYTES]
            size = len(self.body)
            return Ok(
                messages.BlocksBody(self.digest, 'table', offset, size, part),
            )
        is_known = message.known_version == 1
        return Ok(
            messages.HostState(
                host='entry-0',
                version=1,
                document=b'' if is_known else self.environment.body,
                confirmed_at=0,
                settled_version=1,
                slot=None,
                peers=self.peers,
                upstreams=(),
                blocks_digest=self.digest,
            ),
        )


def free_port() -> int:
    """Return a TCP port that is currently free."""
    with socket.socket() as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


def settings_text(steer_port: int, agent_port: int) -> str:
    """Return the settings of a host."""
    return (
        'name = "entry-0"\nfailure_domain = "fd-0"\n'
        f'address = "{ADDRESS}"\n'
        f'ports = {{ steer = {steer_port}, agent = {agent_port} }}\n'
        '[platform]\nurl = "http://127.0.0.1:9"\n'
    )


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split(') ')[1]
    ticks = sum(int(field) for field in fields.split()[11:13])
    return ticks / os.sysconf('SC_CLK_TCK')


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * 4096 / MEGABYTE


def pss_mb(pid: int) -> float:
    """Return the proportional set size (PSS) of a process."""
    lines = pathlib.Path(f'/proc/{pid}/smaps_rollup').read_text().splitlines()
    fields = [line.split()[1] for line in lines if line.startswith('Pss:')]
    return int(fields[0]) * 1024 / MEGABYTE


class Caller:
    """One keep-alive connection that sends one request at a time.

    It parses only the length of the answer, so that the client uses little CPU
    compared with the server.
    """

    def __init__(self, port_and_path: str) -> None:
        """Prepare a request to ``PORT/PATH``."""
        port, _, path = port_and_path.partition('/')
        self.port = int(port)
        self.request = (
            f'GET /{path} HTTP/1.1\r\nHost: {ADDRESS}:{port}\r\n\r\n'.encode()
        )
        self.stream: IOStream | None = None

    async def connect(self) -> None:
        """Open the connection."""
        tcp_socket = socket.socket()
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = IOStream(tcp_socket)
        await self.stream.connect((ADDRESS, self.port))

    async def send_request(self) -> bytes:
        """Send one request; return the body of an answer with status 200."""
        await self.stream.write(self.request)
        answer_head = await self.stream.read_until(b'\r\n\r\n')
        if b' 200 ' not in answer_head[:16]:
            raise ValueError(answer_head)
        marker = b'Content-Length: '
        begin = answer_head.index(marker) + len(marker)
        length = int(answer_head[begin : answer_head.index(b'\r', begin)])
        return await self.stream.read_bytes(length) if length else b''

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()


async def closed_loop(path: str, requests: int) -> list[float]:
    """Send requests sequentially; return their durations."""
    caller = Caller(path)
    await caller.connect()
    times = []
    while len(times) < requests:
        begin = time.perf_counter()
        await caller.send_request()
        times.append(time.perf_counter() - begin)
    caller.close()
    return times


async def send_at_rate(path: str, rate: int, seconds: int) -> list[float]:
    """Send at a fixed rate; return latencies from the planned send times."""
    callers = [Caller(path) for _ in range(8)]
    await asyncio.gather(*(caller.connect() for caller in callers))
    begin = time.perf_counter()
    streams = [
        send_on_schedule(
            caller, begin + index / rate, len(callers) / rate, seconds
        )
        for index, caller in enumerate(callers)
    ]
    durations_by_caller = await asyncio.gather(*streams)
    return [duration for times in durations_by_caller for duration in times]


async def send_on_schedule(
    caller: Caller,
    first_at: float,
    interval_s: float,
    seconds: int,
) -> list[float]:
    """Send the requests of one connection at their scheduled times."""
    times = []
    planned_at = first_at
    while planned_at < first_at + seconds:
        await asyncio.sleep(max(planned_at - time.perf_counter(), 0))
        await caller.send_request()
        times.append(time.perf_counter() - planned_at)
        planned_at += interval_s
    caller.close()
    return times


async def wait_until_ready(
    path: str,
    is_accepted: Callable[[bytes], object],
) -> None:
    """Wait until an answer is accepted."""
    async with asyncio.timeout(30):
        while not await is_ready(path, is_accepted):
            await asyncio.sleep(0.1)


async def is_ready(path: str, is_accepted: Callable[[bytes], object]) -> bool:
    """Return whether a program gives an accepted answer."""
    caller = Caller(path)
    try:
        await caller.connect()
        return bool(is_accepted(await caller.send_request()))
    except (OSError, ValueError):
        return False


class EmptyHandler(web.RequestHandler):
    """The smallest tornado handler, as a baseline."""

    def get(self) -> None:
        """Answer with two bytes."""
        self.finish(b'{}')


async def serve_empty(port: int) -> None:
    """Serve the empty handler until the process is ended."""
    application = web.Application(
        [('/', EmptyHandler)],
        log_function=lambda handler: None,
    )
    application.listen(port, ADDRESS)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(serve_empty(int(sys.argv[1])))
