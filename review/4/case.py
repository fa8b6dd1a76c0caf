"""A planned stop while long uploads that are answered already arrive."""

import asyncio
import signal

from review.harness import (
    Deployment,
    Host,
    Record,
    parse_fields,
    read_answer,
    request_head,
    route,
    run_case,
)
from review.workers import Worker, encode_answer, iter_body, request_id_of

UPLOAD_BYTES = 3 << 20
PIECE_BYTES = 65536
#: The worker answers an upload when it has read so much of it.
ANSWERED_AFTER = 512 << 10
#: Time in which the clients' links carry an upload, in seconds.
UPLOAD_TIMES_S = (3.2, 3.4, 3.6, 3.8, 4.0, 4.2)
TIMEOUT_S = 5.0
#: The stop begins so long after the uploads.
STOP_AFTER_S = 1.0
#: Bounds of the pages that the rule names.
LOSS_SLACK_S = 0.2
WORK_S = 0.05


class EarlyWorker(Worker):
    """Answers uploads early, and reads on."""

    async def serve_request(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request."""
        request_id = request_id_of(head)
        self.record.add('worker', f'runs {request_id}')
        received = 0
        async for piece in iter_body(reader, parse_fields(head)):
            is_due = received < ANSWERED_AFTER <= received + len(piece)
            received += len(piece)
            if is_due:
                writer.write(encode_answer(request_id))
                self.record.add('worker', f'answers {request_id} early')
        if not received:
            await asyncio.sleep(WORK_S)
            writer.write(encode_answer(request_id))


class Client:
    """Sends an upload, and then a view on the same connection."""

    def __init__(self, record: Record, number: int) -> None:
        """Write what is sent and answered to a record."""
        self.record = record
        self.name = f'client-{number}'
        self.number = number

    async def run(self, host: Host, upload_s: float) -> bool:
        """Return whether the view was read and lost."""
        reader, writer = await asyncio.open_connection(*host.front)
        upload = asyncio.create_task(self.send_upload(writer, upload_s))
        try:
            return await self.receive_answers(upload, reader, writer)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.add(self.name, f'the connection ends: {error!r}')
            return False
        finally:
            upload.cancel()
            writer.close()

    async def send_upload(
        self, writer: asyncio.StreamWriter, upload_s: float
    ) -> None:
        """Send an upload over a slow link."""
        self.record.add(self.name, f'sends upload-{self.number}')
        framing = f'Content-Length: {UPLOAD_BYTES}'
        upload_id = f'upload-{self.number}'
        writer.write(
            request_head('POST', '/files/1', upload_id, framing, limit_ms=5000)
        )
        pieces = UPLOAD_BYTES // PIECE_BYTES
        for _ in range(pieces):
            writer.write(bytes(PIECE_BYTES))
            await writer.drain()
            await asyncio.sleep(upload_s / pieces)
        self.record.add(self.name, f'has sent upload-{self.number}')

    async def receive_answers(
        self,
        upload: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Get the answer to the upload, then send the view.

        Return whether the connection ends without an answer to the view, and
        later than the rule allows.
        """
        status, fields, _ = await read_answer(reader)
        self.record.add(self.name, f'upload-{self.number} gets {status}')
        await upload
        if fields.get('connection') == 'close':
            return False
        self.record.add(self.name, f'sends view-{self.number}')
        writer.write(
            request_head(
                'GET', '/views/1', f'view-{self.number}', limit_ms=5000
            )
        )
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            status, _, _ = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            took_s = loop.time() - sent_at
            text = f'no answer, the connection ends after {took_s:.3f} s'
            self.record.add(self.name, f'{text}: {error!r}')
            return took_s > LOSS_SLACK_S
        self.record.add(self.name, f'view-{self.number} gets {status}')
        return False


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Return whether a request was read and its connection ended."""
    record = deployment.record
    worker = EarlyWorker(record)
    deployment.register('w-1', 'intake', await worker.open())
    routes = (
        route('files', 'upload', 'intake', TIMEOUT_S),
        route('views', 'safe', 'intake', TIMEOUT_S),
    )
    deployment.put_configuration(1, routes)
    await deployment.start_hosts(3)
    host = deployment.hosts[0]
    runs = [
        asyncio.create_task(Client(record, number).run(host, upload_s))
        for number, upload_s in enumerate(UPLOAD_TIMES_S, 1)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    if trouble:
        record.add('platform', f'SIGTERM to {host.name}')
        host.signal(signal.SIGTERM)
    is_lost = await asyncio.gather(*runs)
    worker.close()
    return any(is_lost)


if __name__ == '__main__':
    run_case('4', case)
