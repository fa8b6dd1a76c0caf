"""The steer program under measurement: HTTP, memory and polling.

Run by ``python -m bench.lookups http program``.
"""

import asyncio
import contextlib
import json
import pathlib
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Sequence

from bench import fleet
from egretmill.lookup.blocks import ClientBlocks
from egretmill.metrics import Metrics
from egretmill.wire import Server

__all__ = ('measure_http', 'measure_idle_sizes')

MICROSECONDS = 1_000_000
HOSTS = (7, 87, 290, 870)
HTTP_RUNS = 7
IDLE_S = 5
QUERY = 'service=service-1&client=10.9.8.7'
# Target of section 1.6 of the design page: 430,000 look-ups/s on 870 nodes.
TARGET_LOOKUPS_PER_S = 494
TARGET_HTTP_RATIO = 1.2


@contextlib.asynccontextmanager
async def running_steer(
    blocks: ClientBlocks,
    hosts: int,
) -> AsyncIterator[tuple[int, int]]:
    """Run a steer program with a simulated agent; yield its port and PID."""
    agent = fleet.BlocksAgent(fleet.free_port(), blocks, hosts)
    server = Server(fleet.ADDRESS, agent.port, agent.handle, Metrics(None))
    server.start()
    port = fleet.free_port()
    with tempfile.TemporaryFile() as log, tempfile.TemporaryDirectory() as name:
        config = pathlib.Path(name) / 'host.toml'
        config.write_text(fleet.settings_text(port, agent.port))
        steer = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'egretmill.steer',
            f'--config={config}',
            stderr=log,
        )
        try:
            await fleet.wait_until_ready(
                f'{port}/v1/health',
                lambda body: json.loads(body)['blocks'],
            )
            yield port, steer.pid
        finally:
            steer.kill()
            await steer.wait()
            server.close()


async def measure_http(blocks: ClientBlocks, requests: int) -> None:
    """Compare look-ups over HTTP with an empty tornado handler."""
    empty_port = fleet.free_port()
    empty = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'bench.fleet',
        str(empty_port),
    )
    try:
        async with running_steer(blocks, HOSTS[0]) as (port, pid):
            pids = {'lookup': pid, 'empty': empty.pid}
            await compare_programs(port, empty_port, requests, pids)
    finally:
        empty.kill()
        await empty.wait()


async def measure_idle_sizes(
    build_blocks: Callable[[int], ClientBlocks],
    sizes: Sequence[int],
) -> None:
    """Measure memory by number of blocks, and polling CPU by fleet size."""
    cases = [(ClientBlocks.empty(), hosts) for hosts in HOSTS]
    cases.extend((build_blocks(size), HOSTS[0]) for size in sizes)
    while cases:
        blocks, hosts = cases.pop(0)
        await measure_idle(blocks, hosts)


async def measure_idle(blocks: ClientBlocks, hosts: int) -> None:
    """Print memory and CPU of a steer program without look-ups."""
    size = blocks.v4.segment_count()
    async with running_steer(blocks, hosts) as (_, pid):
        await asyncio.sleep(1)
        cpu_before = fleet.cpu_s(pid)
        await asyncio.sleep(IDLE_S)
        cpu_s = fleet.cpu_s(pid) - cpu_before
        print(
            f'program: segments={size} hosts={hosts} '
            f'RSS={fleet.rss_mb(pid):.1f} MB '
            f'PSS={fleet.pss_mb(pid):.1f} MB '
            f'idle CPU={cpu_s / IDLE_S * 100:.1f}% of a core',
            flush=True,
        )


async def compare_programs(
    steer_port: int,
    empty_port: int,
    requests: int,
    pids: dict[str, int],
) -> None:
    """Measure both programs alternately; print medians and rates."""
    urls = {
        'lookup': f'{steer_port}/v1/lookup?{QUERY}',
        'empty': f'{empty_port}/?{QUERY}',
    }
    await fleet.wait_until_ready(urls['empty'], bool)
    medians: dict[str, list[float]] = {name: [] for name in urls}
    rates: dict[str, list[float]] = {name: [] for name in urls}
    runs = list(urls) * HTTP_RUNS
    cpu_s = dict.fromkeys(urls, 0.0)
    while runs:
        name = runs.pop()
        cpu_before = fleet.cpu_s(pids[name])
        times = await fleet.closed_loop(urls[name], requests)
        cpu_s[name] += fleet.cpu_s(pids[name]) - cpu_before
        medians[name].append(statistics.median(times))
        rates[name].append(len(times) / sum(times))
    for name in urls:
        median_us = statistics.median(medians[name]) * MICROSECONDS
        print(
            f'http: {name} median={median_us:.0f} us '
            f'rate={statistics.median(rates[name]):.0f}/s '
            f'on one connection, CPU of the server '
            f'{cpu_s[name] / requests / HTTP_RUNS * MICROSECONDS:.0f} us'
        )
    ratios = [
        lookup / empty
        for lookup, empty in zip(
            medians['lookup'],
            medians['empty'],
            strict=True,
        )
    ]
    print(
        f'http: ratio of medians={statistics.median(ratios):.2f} '
        f'(runs {min(ratios):.2f} to {max(ratios):.2f}, '
        f'target {TARGET_HTTP_RATIO}); '
        f'target rate {TARGET_LOOKUPS_PER_S}/s'
    )
    await open_loop(steer_port, pids['lookup'])


async def open_loop(steer_port: int, steer_pid: int) -> None:
    """Send the target rate on several connections; report CPU and delay."""
    path = f'{steer_port}/v1/lookup?{QUERY}'
    cpu_before = fleet.cpu_s(steer_pid)
    times = await fleet.send_at_rate(path, TARGET_LOOKUPS_PER_S, seconds=5)
    cpu_s = fleet.cpu_s(steer_pid) - cpu_before
    quantiles = statistics.quantiles(times, n=100)
    print(
        f'http: at {TARGET_LOOKUPS_PER_S}/s for 5 s: {len(times)} answers, '
        f'p50={quantiles[49] * 1000:.2f} ms p99={quantiles[98] * 1000:.2f} ms '
        f'CPU={cpu_s / 5 * 100:.1f}% of a core '
        f'RSS={fleet.rss_mb(steer_pid):.1f} MB'
    )
