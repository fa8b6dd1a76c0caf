"""A route comes back under its name, at a faster service."""

import asyncio
import sys

from review.deployment2 import Client, Deployment, Route, is_disrupted, run_case

BALANCE = Route('balance', 'safe', 'ucet', '4s')
SLOW_REPORT = Route('report', 'safe', 'archive', '6s')
FAST_REPORT = Route('report', 'safe', 'ucet', '1200ms')
#: How long clients wait for an answer, in milliseconds.
DEADLINE_MS = 4000
ARCHIVE_WORK_S = 2.5
REQUESTS_PER_S = 15
#: Time with the first version, in seconds.
FIRST_VERSION_S = 15
#: ``ConfigApply`` after the last version, and ``Contact`` for steady state.
SETTLE_S = 2.5 + 3
STEADY_S = 15
MIN_REQUESTS = 20
MIN_RATIO = 0.25


async def send_to_all(
    clients: list[Client], routes: tuple[Route, ...], seconds: float
) -> list[str]:
    """Send requests on routes to all hosts; return the ids."""
    tasks = []
    for _ in range(int(seconds * REQUESTS_PER_S)):
        tasks.extend(
            asyncio.create_task(client.send(route, DEADLINE_MS))
            for client in clients
            for route in routes
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


def count_served(clients: list[Client], route: Route) -> tuple[int, int]:
    """Return the requests on a route, and how many of them were served."""
    ends = [
        end
        for client in clients
        for request_id, end in client.ends.items()
        if request_id.startswith(f'{route.name}-')
    ]
    return len(ends), ends.count('200')


async def start(deployment: Deployment) -> None:
    """Start the workers and two hosts."""
    for number in range(1, 4):
        await deployment.start_worker(f'u-{number}', BALANCE.service)
        await deployment.start_worker(
            f'a-{number}', SLOW_REPORT.service, ARCHIVE_WORK_S
        )
    for _ in range(2):
        await deployment.start_host()


async def replace_route(deployment: Deployment) -> None:
    """Serve the first version, remove the report, and add it again."""
    store = deployment.store
    first = SLOW_REPORT if is_disrupted() else FAST_REPORT
    store.configure(BALANCE, first)
    await start(deployment)
    await send_to_all(
        [Client(host, deployment.record) for host in deployment.hosts],
        (BALANCE, first),
        FIRST_VERSION_S,
    )
    store.configure(BALANCE)
    await asyncio.sleep(3)
    store.configure(BALANCE, FAST_REPORT)
    await asyncio.sleep(SETTLE_S)


async def play(deployment: Deployment) -> tuple[str, bool]:
    """Play the case."""
    await replace_route(deployment)
    steady = [Client(host, deployment.record) for host in deployment.hosts]
    await send_to_all(steady, (BALANCE, FAST_REPORT), STEADY_S)
    sent, served = count_served(steady, FAST_REPORT)
    all_first, served_first = count_served(steady, BALANCE)
    is_broken = (
        sent >= MIN_REQUESTS
        and served / sent < MIN_RATIO * served_first / all_first
    )
    seen = (
        f'in steady state, {served} of {sent} served on the route that was '
        f'added, {served_first} of {all_first} on the first route'
    )
    return seen, is_broken


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
