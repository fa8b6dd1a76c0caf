"""Compares the entry path with direct upstream calls; measures memory.

Run as ``python -m bench.entry_path``. It starts a fleet of real processes on
loopback and measures everything in one run, so that ratios are comparable.
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
CONCURRENCY = 16
SEQUENTIAL_REQUESTS = 400
MICROSECONDS = 1000000
KIBIBYTE = 1024
MAX_LATENCY_US = 60000000
PERCENTILES = (50, 99)


class Load:
    """Sends requests to one URL and records their latencies."""

    def __init__(
        self, url: str, headers: dict[str, str], concurrency: int
    ) -> None:
        """Prepare to send at most ``concurrency`` requests at a time."""
        self.request = HTTPRequest(url, headers=headers, request_timeout=20)
        self.concurrency = concurrency
        self.client = AsyncHTTPClient(
            force_instance=True,
            max_clients=concurrency,
        )
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.failed = 0

    async def run(self, count: int) -> float:
        """Send requests and return the rate of answers per second."""
        request_numbers = iter(range(count))
        started_at = time.perf_counter()
        await asyncio.gather(
            *(
                self.send_requests(request_numbers)
                for _ in range(self.concurrency)
            )
        )
        return count / (time.perf_counter() - started_at)

    async def send_requests(self, request_numbers) -> None:
        """Send requests sequentially."""
        for _ in request_numbers:
            started_at = time.perf_counter()
            answer = await self.client.fetch(self.request, raise_error=False)
            latency_s = time.perf_counter() - started_at
            self.histogram.record_value(int(latency_s * MICROSECONDS) + 1)
            self.failed += int(answer.code != 200)

    def percentile_ms(self, percent: int) -> float:
        """Return one percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000

    def latencies(self) -> str:
        """Return the percentiles in milliseconds."""
        return ', '.join(
            f'p{percent} {self.percentile_ms(percent):.2f} ms'
            for percent in PERCENTILES
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
        await Load(url, headers, 4).run(SEQUENTIAL_REQUESTS)
        sequential = Load(url, headers, 1)
        await sequential.run(SEQUENTIAL_REQUESTS)
        concurrent = Load(url, headers, CONCURRENCY)
        rate = await concurrent.run(REQUESTS)
        print(
            f'{name:7} alone {sequential.latencies()}; {CONCURRENCY} at once '
            f'{rate:.0f}/s, {concurrent.latencies()}, '
            f'failed {sequential.failed + concurrent.failed}',
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
    cpu_before = {program: cpu_s(pid) for program, pid in pids.items()}
    await asyncio.sleep(duration_s)
    for program, pid in pids.items():
        cpu_ratio = (cpu_s(pid) - cpu_before[program]) / duration_s
        print(
            f'{program:7} {resident_mb(pid):.1f} MB resident, '
            f'{cpu_ratio:.1%} of a core without requests',
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
    """Measure on a new fleet."""
    with tempfile.TemporaryDirectory(prefix='egretmill-bench-') as folder:
        second_octet = 16 + os.getpid() % 200
        fleet = Fleet(pathlib.Path(folder), second_octet, drain_s=0.2)
        try:
            asyncio.run(run(fleet))
        finally:
            fleet.stop()


if __name__ == '__main__':
    main()
