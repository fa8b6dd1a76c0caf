"""A worker answers long uploads before it has read them, and reads on."""

import asyncio
import contextlib
import itertools

from review.harness import (
    Deployment,
    Record,
    parse_fields,
    read_answer,
    request_head,
    route,
    run_case,
)
from review.workers import (
    ForeignBytesError,
    Worker,
    encode_answer,
    iter_body,
    request_id_of,
)

MIB = 1 << 20
UPLOAD_BYTES = 10 * MIB
BODY_BYTE = b'u'
#: The worker answers when it has read so much of an upload. How much the
#: kernel buffers on the way differs between machines.
ANSWERED_AFTER = tuple(range(MIB, UPLOAD_BYTES, MIB // 4))
#: Pause of the worker between two pieces of a body, in seconds.
READ_PAUSE_S = 0.001
#: Time between an early answer and the rest of the body, in seconds.
READS_ON_AFTER_S = 0.2
CHUNK_BYTES = 65536


class EarlyWorker(Worker):
    """Answers an upload early, if it is to, and then reads the rest."""

    def __init__(self, record: Record, *, is_early: bool) -> None:
        """Answer early or after the whole body."""
        super().__init__(record)
        self.is_early = is_early
        self.answered_after = 0
        self.foreign: list[str] = []

    async def serve_request(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request."""
        request_id = request_id_of(head)
        self.record.add('worker', f'runs {request_id}')
        due = self.answered_after if self.is_early else UPLOAD_BYTES
        received = 0
        try:
            async for piece in iter_body(reader, parse_fields(head)):
                check_piece(piece)
                is_due = received < due <= received + len(piece)
                received += len(piece)
                if is_due and self.is_early:
                    await self.answer_early(request_id, received, writer)
                await asyncio.sleep(READ_PAUSE_S)
        except ForeignBytesError as error:
            text = f'body of {request_id}, after {received} bytes: {error}'
            self.foreign.append(text)
            self.record.add('worker', f'foreign bytes in the {text}')
            raise
        if not received or not self.is_early:
            writer.write(encode_answer(request_id))

    async def answer_early(
        self, request_id: str, received: int, writer: asyncio.StreamWriter
    ) -> None:
        """Answer, and pause before the rest of the body is read."""
        writer.write(encode_answer(request_id))
        await writer.drain()
        self.record.add('worker', f'answers {request_id} after {received}')
        await asyncio.sleep(READS_ON_AFTER_S)


def check_piece(piece: bytes) -> None:
    """Check that a piece holds nothing but the bytes of the upload."""
    other = piece.strip(BODY_BYTE)
    if other:
        raise ForeignBytesError(other[:64])


async def send_upload(
    writer: asyncio.StreamWriter, request_id: str, *, in_chunks: bool
) -> None:
    """Send an upload with a length or in chunks."""
    framing = f'Content-Length: {UPLOAD_BYTES}'
    piece = BODY_BYTE * CHUNK_BYTES
    if in_chunks:
        framing = 'Transfer-Encoding: chunked'
        piece = b'%x\r\n%b\r\n' % (CHUNK_BYTES, piece)
    writer.write(request_head('POST', '/files/1', request_id, framing))
    for _ in range(UPLOAD_BYTES // CHUNK_BYTES):
        writer.write(piece)
        await writer.drain()
    if in_chunks:
        writer.write(b'0\r\n\r\n')
    await writer.drain()


async def call(deployment: Deployment, serial: int, *, in_chunks: bool) -> None:
    """Send an upload, and a view when the upload is answered."""
    record = deployment.record
    reader, writer = await asyncio.open_connection(*deployment.hosts[0].front)
    upload_id = f'upload-{serial}'
    coding = 'chunks' if in_chunks else 'length'
    record.add('client', f'sends {upload_id} with {coding}')
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await send_upload(writer, upload_id, in_chunks=in_chunks)
        status, _, _ = await read_answer(reader)
        record.add('client', f'{upload_id} is answered {status}')
        writer.write(request_head('GET', '/views/1', f'view-{serial}'))
        status, _, _ = await read_answer(reader)
        record.add('client', f'view-{serial} is answered {status}')
    writer.close()


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Return whether the worker got other bytes in the body of an upload."""
    worker = EarlyWorker(deployment.record, is_early=trouble)
    deployment.register('w-1', 'intake', await worker.open())
    routes = (
        route('files', 'upload', 'intake'),
        route('views', 'safe', 'intake'),
    )
    deployment.put_configuration(1, routes)
    await deployment.start_hosts(3)
    serials = itertools.count(1)
    thresholds = ANSWERED_AFTER if trouble else ANSWERED_AFTER[:2]
    for threshold in thresholds:
        worker.answered_after = threshold
        await call(deployment, next(serials), in_chunks=False)
    for late_threshold in thresholds[::8]:
        worker.answered_after = late_threshold
        await call(deployment, next(serials), in_chunks=True)
    worker.close()
    return bool(worker.foreign)


if __name__ == '__main__':
    run_case('1', case)
