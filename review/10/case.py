"""The tenants leave, one after the other."""

import asyncio
import sys

from review.deployment2 import Client, Deployment, Route, is_disrupted, run_case

BALANCE = Route('balance', 'safe', 'ucet', '2s')
FIRST_KEY = 's989anu6wsjnbanfqasn'
LAST_KEY = 'mgkcuyj8pjbvk9m68k7b'
UNKNOWN_KEY = 'q0q0q0q0q0q0q0q0q0q0'
DEADLINE_MS = 2000
CALM_S = 4
#: ``Revoke``, and half a second more.
REVOKED_AFTER_S = 5.5
REQUESTS = 20
INTERVAL_S = 0.1


async def call_all(deployment: Deployment, key: str) -> int:
    """Send requests with a key to all hosts; return how many ran."""
    workers = deployment.workers
    clients = [
        Client(host, deployment.record, key) for host in deployment.hosts
    ]
    before = sum(len(worker.runs) for worker in workers)
    for _ in range(REQUESTS):
        for client in clients:
            await client.send(BALANCE, DEADLINE_MS)
        await asyncio.sleep(INTERVAL_S)
    return sum(len(worker.runs) for worker in workers) - before


async def start(deployment: Deployment) -> None:
    """Start workers and two hosts, with two tenants."""
    deployment.store.configure(
        BALANCE, tenants={'rodina': FIRST_KEY, 'obec': LAST_KEY}
    )
    for number in (1, 2):
        await deployment.start_worker(f'u-{number}', BALANCE.service)
    for _ in range(2):
        await deployment.start_host()
    await asyncio.sleep(CALM_S)


async def play(deployment: Deployment) -> tuple[str, bool]:
    """Play the case."""
    await start(deployment)
    held = await call_all(deployment, FIRST_KEY)
    deployment.store.configure(BALANCE, tenants={'obec': LAST_KEY})
    await asyncio.sleep(REVOKED_AFTER_S)
    between = await call_all(deployment, FIRST_KEY)
    withdrawn = [FIRST_KEY]
    if is_disrupted():
        deployment.store.configure(BALANCE, tenants={})
        withdrawn.append(LAST_KEY)
    await asyncio.sleep(REVOKED_AFTER_S)
    ran = [await call_all(deployment, key) for key in withdrawn]
    unknown = await call_all(deployment, UNKNOWN_KEY)
    seen = (
        f'of {REQUESTS * 2} requests each, {held} ran with the first key while '
        f'it was held, {between} after it was taken away; at the end, {ran} '
        f'with the keys that were taken away and {unknown} with a key that no '
        'configuration ever held'
    )
    return seen, bool(between or sum(ran) or unknown)


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
