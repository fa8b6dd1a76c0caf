"""Entry path against calling the upstream directly, and memory.

Run as ``python -m bench.entry_path``. Starts a fleet of real processes on
loopback; everything is measured in one run, so that ratios hold.
"""

import asyncio
import os
import pathlib
import tempfile
import time

from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from demo.__main__ import ACCOUNTS, Demo
from demo.fleet import PROGRAMS, Fleet

REQUESTS = 3000
AT_ONCE = 16
ALONE = 400
MICROSECONDS = 1000000
KIBIBYTE = 1024
MAX_LATENCY_US = 60000000
PERCENTILES = (50, 99)


class Load:
    """Requests to one URL, with latencies in a histogram."""

    def __init__(self, url: str, headers: dict[str, str], at_once: int) -> None:
        """Prepare to send a bounded number of requests at once."""
        self.request = HTTPRequest(url, headers=headers, request_timeout=20)
        self.at_once = at_once
        self.client = AsyncHTTPClient(
            force_instance=True,
            max_clients=at_once,
        )
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.failed = 0

    async def run(self, count: int) -> float:
        """Send requests and return how many were answered per second."""
        left = iter(range(count))
        began = time.perf_counter()
        await asyncio.gather(*(self.work(left) for _ in range(self.at_once)))
        return count / (time.perf_counter() - began)

    async def work(self, left) -> None:
        """Send requests one after the other."""
        for _ in left:
            began = time.perf_counter()
            answer = await self.client.fetch(self.request, raise_error=False)
            took_s = time.perf_counter() - began
            self.histogram.record_value(int(took_s * MICROSECONDS) + 1)
            self.failed += int(answer.code != 200)

    def percentile_ms(self, part: int) -> float:
        """Return one percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(part) / 1000

    def latencies(self) -> str:
        """Return the percentiles in milliseconds."""
        return ', '.join(
            f'p{part} {self.percentile_ms(part):.2f} ms' for part in PERCENTILES
        )


async def measure(demo: Demo) -> None:
    """Measure direct calls, the entry path and look-ups."""
    host = demo.fleet.hosts[0]
    upstream = demo.fleet.upstreams[0]
    key = {'X-Api-Key': demo.keys[ACCOUNTS[0]]}
    targets = {
        'direct': (f'http://{upstream.address}:{upstream.port}/rota/1', {}),
        'entry': (f'http://{host.address}:{host.entry_port}/rota/1', key),
        'lookup': (
            f'http://{host.address}:{host.steer_port}'
            '/v1/lookup?service=rota-board',
            {},
        ),
    }
    for name, (url, headers) in targets.items():
        await Load(url, headers, 4).run(ALONE)
        alone = Load(url, headers, 1)
        await alone.run(ALONE)
        loaded = Load(url, headers, AT_ONCE)
        rate = await loaded.run(REQUESTS)
        print(
            f'{name:7} alone {alone.latencies()}; {AT_ONCE} at once '
            f'{rate:.0f}/s, {loaded.latencies()}, '
            f'failed {alone.failed + loaded.failed}',
            flush=True,
        )


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / KIBIBYTE / KIBIBYTE


def cpu_s(pid: int) -> float:
    """Return the processor time of a process so far in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split(') ')[1]
    ticks = fields.split()[11:13]
    return sum(map(int, ticks)) / os.sysconf('SC_CLK_TCK')


async def measure_idle(fleet: Fleet, duration_s: float) -> None:
    """Measure memory and idle processor time of each program."""
    host = fleet.hosts[0]
    pids = {
        program: fleet.processes[f'{host.name}/{program}'].pid
        for program in PROGRAMS
    }
    before = {program: cpu_s(pid) for program, pid in pids.items()}
    await asyncio.sleep(duration_s)
    for program, pid in pids.items():
        used = (cpu_s(pid) - before[program]) / duration_s
        print(
            f'{program:7} {resident_mb(pid):.1f} MB resident, '
            f'{used:.1%} of a core without requests',
        )


async def run(fleet: Fleet) -> None:
    """Start the fleet and measure."""
    demo = Demo(fleet)
    demo.text = demo.text.replace('rate_per_s = 400', 'rate_per_s = 100000')
    demo.text = demo.text.replace('burst = 200', 'burst = 100000')
    await demo.start()
    await demo.promote(demo.text, 0)
    await demo.wait_ready()
    await asyncio.sleep(3)
    await measure_idle(fleet, 5)
    await measure(demo)


def main() -> None:
    """Measure on a fleet of its own."""
    with tempfile.TemporaryDirectory(prefix='egretmill-bench-') as folder:
        net = 16 + os.getpid() % 200
        fleet = Fleet(pathlib.Path(folder), net, drain_s=0.2)
        try:
            asyncio.run(run(fleet))
        finally:
            fleet.stop()


if __name__ == '__main__':
    main()
