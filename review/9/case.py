"""A host is stopped while clients connect to it."""

import asyncio
import signal
import sys

from review.deployment2 import (
    Client,
    Deployment,
    Route,
    Worker,
    is_disrupted,
    run_case,
)

CHARGE = Route('charge', 'unsafe', 'platby', '6s')
DEADLINE_MS = 6000
#: Longer than the mean of the sheet (1.16 s), below its maximum (3.48 s).
WORK_S = 2.6
WORKERS = 8
#: Times between connecting and sending, in seconds.
CONNECTED_S = (0.01, 0.05, 0.1, 0.15, 0.2, 0.24)
INTERVAL_S = 0.01
#: Clients connect for this time after the signal, in seconds.
CLIENTS_S = 3.5
#: Requests sent up to this time after SIGTERM may be cut at the end.
EXCUSED_S = 3.0


async def connect_clients(client: Client) -> None:
    """Let clients connect one after the other."""
    tasks = []
    for number in range(int(CLIENTS_S / INTERVAL_S)):
        connected_s = CONNECTED_S[number % len(CONNECTED_S)]
        tasks.append(
            asyncio.create_task(client.send(CHARGE, DEADLINE_MS, connected_s))
        )
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


async def stop(deployment: Deployment) -> float:
    """Send SIGTERM to the host, if it is to be stopped; return the time."""
    stopped_at = deployment.record.now()
    process = deployment.hosts[0].process
    if is_disrupted() and process is not None:
        process.send_signal(signal.SIGTERM)
        deployment.record.add('SIGTERM')
    return stopped_at


def find_late(
    client: Client, workers: list[Worker], stopped_at: float
) -> list[str]:
    """Return the requests that ran and were sent too late to be excused."""
    ran = {run[1] for worker in workers for run in worker.runs}
    return [
        request_id
        for request_id, sent_at in client.sent_at.items()
        if sent_at > stopped_at + EXCUSED_S and request_id in ran
    ]


async def play(deployment: Deployment) -> tuple[str, bool]:
    """Play the case."""
    deployment.store.configure(CHARGE)
    workers = [
        await deployment.start_worker(f'p-{number}', CHARGE.service, WORK_S)
        for number in range(1, WORKERS + 1)
    ]
    client = Client(await deployment.start_host(), deployment.record)
    stopped_at = await stop(deployment)
    await connect_clients(client)
    late = find_late(client, workers, stopped_at)
    cut = [name for name in late if client.ends[name] == 'cut']
    seen = (
        f'{len(late)} requests were sent later than {EXCUSED_S} s after the '
        f'time of the SIGTERM and passed on to a worker, which answered them '
        f'after {WORK_S} s; {len(cut)} of them ended without an answer'
    )
    return seen, bool(cut)


if __name__ == '__main__':
    sys.exit(run_case(play, __file__))
