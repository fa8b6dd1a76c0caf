"""Clients that offer an upgrade of the protocol in their first request."""

import asyncio
import contextlib

from review.harness import (
    Deployment,
    Record,
    read_answer,
    request_head,
    route,
    run_case,
)
from review.workers import Worker, encode_answer, request_id_of

CONNECTIONS = 8
WORK_S = 0.05
BAD_REQUEST = 400
#: What a client sends that offers HTTP/2 without TLS (RFC 7540, section 3.2).
#: A server that does not speak it answers as if the headers were absent.
OFFER = (
    'Connection: Upgrade, HTTP2-Settings',
    'Upgrade: h2c',
    'HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA',
)


class SwapWorker(Worker):
    """Runs requests without a body."""

    def __init__(self, record: Record) -> None:
        """Start without requests."""
        super().__init__(record)
        self.ran: set[str] = set()

    async def serve_request(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request."""
        request_id = request_id_of(head)
        self.ran.add(request_id)
        self.record.add('worker', f'runs {request_id}')
        await asyncio.sleep(WORK_S)
        writer.write(encode_answer(request_id))


class Client:
    """Sends a view and then a swap on one connection.

    :param statuses: of the answers, by the id of the request.
    """

    def __init__(self, record: Record, offer: tuple[str, ...]) -> None:
        """Send the headers of an offer with the first request."""
        self.record = record
        self.offer = offer
        self.statuses: dict[str, int] = {}

    async def run(self, number: int, front: tuple[str, int]) -> None:
        """Use one connection."""
        reader, writer = await asyncio.open_connection(*front)
        view_id = f'view-{number}'
        swap_id = f'swap-{number}'
        view = request_head('GET', '/views/1', view_id, *self.offer)
        swap = request_head('POST', '/swaps/1', swap_id, 'Content-Length: 0')
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            for request_id, head in ((view_id, view), (swap_id, swap)):
                self.record.add('client', f'sends {request_id}')
                writer.write(head)
                await self.receive_answer(request_id, reader)
        writer.close()

    async def receive_answer(
        self, request_id: str, reader: asyncio.StreamReader
    ) -> None:
        """Take the next answer for that to a request."""
        status, fields, _ = await read_answer(reader)
        self.statuses[request_id] = status
        self.record.add('client', f'{request_id} gets {status} {fields}')


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Return whether a client got an answer that is not to its request."""
    worker = SwapWorker(deployment.record)
    deployment.register('w-1', 'ledger', await worker.open())
    routes = (
        route('views', 'safe', 'ledger'),
        route('swaps', 'unsafe', 'ledger'),
    )
    deployment.put_configuration(1, routes)
    await deployment.start_hosts(3)
    client = Client(deployment.record, OFFER if trouble else ())
    for number in range(CONNECTIONS):
        host = deployment.hosts[number % len(deployment.hosts)]
        await client.run(number, host.front)
    foreign = [
        request_id
        for request_id, status in client.statuses.items()
        if status == BAD_REQUEST and request_id not in worker.ran
    ]
    deployment.record.add('case', f'got the answer to another: {foreign}')
    worker.close()
    return bool(foreign)


if __name__ == '__main__':
    run_case('4', case)
