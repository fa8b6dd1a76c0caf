"""Measures claims with and without batching on the platform stand-in.

``python -m bench.ledger`` runs the stand-in as a separate process on a free
loopback port. The load is an open loop with a fixed seed. Each granted claim
is recorded with a 1 KiB answer, so a request without batching costs two store
writes.
"""

import asyncio
import contextlib
import dataclasses
import random
import sys
import time
from collections.abc import AsyncIterator

import msgspec
from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from egretmill.ledger import ClaimLimits, ClaimService, TicketRegistry
from egretmill.ledger.batch import BatchLimits
from egretmill.store import StoreClient
from egretmill.wire.messages import Claim, RecordAnswer, StoredAnswer

__all__ = ('main',)

ADDRESS = '127.0.0.1'
RUN_S = 3
START_TRIES = 100
START_PAUSE_S = 0.05
PLATFORM_TIMEOUT_S = 2
MICROSECONDS = 1000000
MAX_LATENCY_US = 60000000
TICKETS = 20000
TICKET_RUNS = 5
ANSWER = StoredAnswer(200, (), bytes(1024))
HEADING = (
    'mode                 delay   rate  claims/s refused '
    '  p50 ms   p99 ms   max ms  wr/claim  writes/s'
)
#: Offered claims per second; the platform allows several hundred writes/s.
RATES = (20, 50, 300)
#: Delay of each platform answer: same failure domain, other region.
DELAYS_S = (0, 0.02)
MODES = (
    (
        'unbatched',
        BatchLimits(linger_s=0, record_linger_s=0, puts=1, in_flight=64),
    ),
    ('no linger', BatchLimits(linger_s=0, record_linger_s=0)),
    ('records like claims', BatchLimits(record_linger_s=0.002)),
    ('batched', BatchLimits()),
)


@dataclasses.dataclass
class Tally:
    """Outcome of one run."""

    granted: int = 0
    refused: int = 0
    latency_us: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3),
    )


@contextlib.asynccontextmanager
async def running_platform() -> AsyncIterator[str]:
    """Start the stand-in and yield its URL."""
    listener, port = bind_unused_port(address=ADDRESS)
    listener.close()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'standins.platform',
        '--address',
        ADDRESS,
        '--port',
        str(port),
    )
    url = f'http://{ADDRESS}:{port}'
    try:
        await wait_until_answering(url)
        yield url
    finally:
        process.terminate()
        await process.wait()


async def wait_until_answering(url: str) -> None:
    """Wait until the stand-in answers."""
    store = StoreClient(url, PLATFORM_TIMEOUT_S)
    tries = START_TRIES
    while tries and (await store.hosts()).is_err():
        tries -= 1
        await asyncio.sleep(START_PAUSE_S)
    assert tries, 'the stand-in does not answer'


async def set_delay(url: str, delay_s: float) -> None:
    """Set the delay of the stand-in's answers."""
    body = msgspec.json.encode({'delay_s': delay_s})
    await AsyncHTTPClient().fetch(f'{url}/faults', method='POST', body=body)


async def fetch_write_count(url: str) -> int:
    """Return the number of writes that the stand-in has received."""
    answer = await AsyncHTTPClient().fetch(f'{url}/faults')
    return msgspec.json.decode(answer.body)['writes']


async def send_claims(service: ClaimService, rate: int, name: str) -> Tally:
    """Offer claims at a rate and wait for all of them."""
    rng = random.Random(rate)
    tally = Tally()
    loop = asyncio.get_running_loop()
    due_at = loop.time()
    requests = []
    for number in range(rate * RUN_S):
        due_at += rng.expovariate(rate)
        await asyncio.sleep(due_at - loop.time())  # noqa: WPS476 open loop
        key = f'{name}-{number}'
        requests.append(
            asyncio.create_task(claim_and_record(service, key, tally))
        )
    await asyncio.gather(*requests)
    return tally


async def claim_and_record(
    service: ClaimService, key: str, tally: Tally
) -> None:
    """Claim a key and record its answer."""
    started_at = time.perf_counter()
    decision = await service.claim(Claim('rota', key, 'd1', key, 10))
    duration_s = time.perf_counter() - started_at
    tally.latency_us.record_value(int(duration_s * MICROSECONDS))
    if decision.status != 'granted':
        tally.refused += 1
        return
    tally.granted += 1
    await service.record(RecordAnswer('rota', key, key, 'done', ANSWER))


async def run_mode(
    url: str,
    rate: int,
    delay_s: float,
    mode: tuple[str, BatchLimits],
) -> None:
    """Run one mode and print its figures."""
    name, batch = mode
    service = ClaimService(
        StoreClient(url, PLATFORM_TIMEOUT_S),
        'bench',
        1,
        lambda host, number: False,
        limits=ClaimLimits(),
        batch=batch,
    )
    writes_before = await fetch_write_count(url)
    started_at = time.perf_counter()
    tally = await send_claims(
        service, rate, f'{name.replace(" ", "")}-{delay_s}-{rate}'
    )
    elapsed_s = time.perf_counter() - started_at
    writes = await fetch_write_count(url) - writes_before
    await service.close()
    percentiles_us = map(
        tally.latency_us.get_value_at_percentile, (50, 99, 100)
    )
    figures = ' '.join(
        f'{percentile_us / 1000:8.2f}' for percentile_us in percentiles_us
    )
    claims_per_s = tally.granted / elapsed_s
    writes_per_claim = writes / max(tally.granted, 1)
    load = f'{name:20} {delay_s * 1000:5.0f} {rate:6} {claims_per_s:9.1f}'
    cost = f'{writes_per_claim:9.2f} {writes / elapsed_s:9.1f}'
    print(load, f'{tally.refused:7}', figures, cost, flush=True)


def ticket_rate() -> float:
    """Return the ticket lifecycles per second of the fastest run."""
    return max(ticket_run() for _ in range(TICKET_RUNS))


def ticket_run() -> float:
    """Issue, begin, finish and repeat tickets; return the rate per second."""
    registry = TicketRegistry('bench', 1)
    rng = random.Random(1)
    started_at = time.perf_counter()
    for number in range(TICKETS):
        account = f'account-{number % 8}'
        ticket = registry.issue(account, number / 1000, rng).ok_value
        registry.begin(ticket, account, 'd1', number / 1000)
        registry.finish(ticket, 'done', ANSWER, number / 1000)
        registry.begin(ticket, account, 'd1', number / 1000)
    return TICKETS / (time.perf_counter() - started_at)


async def run_all_modes() -> None:
    """Run all delays, rates and modes on one stand-in."""
    print(HEADING)
    async with running_platform() as url:
        for delay_s in DELAYS_S:
            await set_delay(url, delay_s)  # noqa: WPS476 runs in order
            for rate in RATES:
                for mode in MODES:
                    await run_mode(  # noqa: WPS476 runs in order
                        url,
                        rate,
                        delay_s,
                        mode,
                    )
    print(f'tickets/s (issue, run, finish, repeat): {ticket_rate():.0f}')


def main() -> None:
    """Run the bench."""
    asyncio.run(run_all_modes())


if __name__ == '__main__':
    main()
