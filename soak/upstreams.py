"""Upstreams that record the requests they execute, with answer faults."""

import asyncio
import contextlib
import dataclasses
import enum
import random

from soak.record import Execution, Notice, Record, UploadEnd
from soak.uploads import ForeignBytesError, is_answered_early, read_body

__all__ = ('AnswerMode', 'SoakUpstream')

#: Service time of a request while a slot is free.
SERVICE_TIME_S = 0.03
SLOTS = 6


class AnswerMode(enum.StrEnum):
    """How an upstream answers; all but ``NORMALLY`` are faults."""

    NORMALLY = 'normally'
    SLOWLY = 'slowly'
    NEVER = 'never'
    LOST = 'lost'
    CUT = 'cut'
    TWICE = 'twice'
    GARBLED = 'garbled'
    SHEDDING = 'shedding'
    PAUSING = 'pausing'


SLOW_FACTOR = 12
#: Time between an early answer and the rest of the body.
READS_ON_AFTER_S = 0.1
#: Pause that a refusal asks for.
PAUSE_S = 2.0
#: Errors that end the service of a connection.
CONNECTION_ERRORS = (
    asyncio.IncompleteReadError,
    OSError,
    asyncio.CancelledError,
    ForeignBytesError,
)


@dataclasses.dataclass(eq=False)
class SoakUpstream:
    """One incarnation of an upstream.

    :param fault_fraction: fraction of the requests that are answered in
        ``answer_mode``; the others are answered normally.
    :param running: requests in execution.
    """

    name: str
    service: str
    domain: str
    incarnation: int
    record: Record
    loop: asyncio.AbstractEventLoop
    rng: random.Random
    answer_mode: AnswerMode = AnswerMode.NORMALLY
    fault_fraction: float = 1
    server: asyncio.Server | None = None
    running: int = 0
    says_leaving: bool = False
    writers: set = dataclasses.field(default_factory=set)

    @property
    def start_name(self) -> str:
        """Return a name that differs after each start."""
        return f'{self.name}/{self.incarnation}'

    async def open(self, port: int = 0) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        return self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        # Connections still open at the end of a run are cancelled.
        with contextlib.suppress(*CONNECTION_ERRORS):
            while await self.serve_request(reader, writer):
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def serve_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = await reader.readuntil(b'\r\n\r\n')
        fields = parse_fields(head)
        request_id = fields.get('egretmill-request-id', '')
        if not is_answered_early(request_id, fields):
            await self.read_body(request_id, reader, fields)
            return await self.answer_request(head, fields, writer)
        stays_open = await self.answer_request(head, fields, writer)
        if stays_open:
            await asyncio.sleep(READS_ON_AFTER_S)
            await self.read_body(request_id, reader, fields)
        return stays_open

    async def read_body(
        self,
        request_id: str,
        reader: asyncio.StreamReader,
        fields: dict[str, str],
    ) -> None:
        """Read a body to its end, and record how it ended."""
        is_whole = False
        foreign = b''
        try:
            await read_body(reader, fields)
            is_whole = True
        except ForeignBytesError as error:
            foreign = error.args[0]
            raise
        finally:
            self.record.uploads.append(
                UploadEnd(request_id, self.loop.time(), is_whole, foreign)
            )

    async def answer_request(
        self,
        head: bytes,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run and answer a request; return whether the connection stays."""
        request_id = fields.get('egretmill-request-id', '')
        if fields.get('egretmill-target-instance', self.name) != self.name:
            writer.write(
                encode_answer(421, request_id, 'Egretmill-Not-Executed: 1')
            )
            return True
        mode = self.answer_mode
        if self.rng.random() > self.fault_fraction:
            mode = AnswerMode.NORMALLY
        host = self.record.record_arrival(
            self.start_name, request_id, self.loop.time()
        )
        if mode is AnswerMode.PAUSING:
            self.notify(host, PAUSE_S)
            writer.write(
                encode_answer(
                    503,
                    request_id,
                    f'Egretmill-Not-Executed: 1\r\nRetry-After: {PAUSE_S}',
                )
            )
            return True
        if mode is AnswerMode.SHEDDING or self.running >= 3 * SLOTS:
            writer.write(
                encode_answer(503, request_id, 'Egretmill-Not-Executed: 1')
            )
            return True
        self.record_execution(head, fields, request_id)
        self.running += 1
        try:
            service_time_s = SERVICE_TIME_S * max(1, self.running / SLOTS)
            if mode is AnswerMode.SLOWLY:
                service_time_s *= SLOW_FACTOR
            await asyncio.sleep(service_time_s)
        finally:
            self.running -= 1
        if self.says_leaving and mode in {
            AnswerMode.NORMALLY,
            AnswerMode.SLOWLY,
        }:
            self.notify(host, None)
        return await self.respond(writer, mode, request_id)

    def notify(self, host: str, pause_s: float | None) -> None:
        """Record what the next answer to a host says."""
        self.record.notices.append(
            Notice(self.start_name, host, self.loop.time(), pause_s)
        )

    def record_execution(
        self,
        head: bytes,
        fields: dict[str, str],
        request_id: str,
    ) -> None:
        """Record that a request starts to execute."""
        self.record.executions.append(
            Execution(
                request_id,
                self.loop.time(),
                self.name,
                self.service,
                fields.get('egretmill-tenant-id', ''),
                head.split(b' ', 2)[1].decode(),
                'authorization' in fields,
            ),
        )

    async def respond(
        self,
        writer: asyncio.StreamWriter,
        mode: AnswerMode,
        request_id: str,
    ) -> bool:
        """Answer in a mode; return whether the connection stays open."""
        load = f'Egretmill-Server-Load: {self.running},0,{SLOTS}'
        response_fields = (
            f'Egretmill-Response-Signature: {request_id}\r\n{load}'
        )
        if self.says_leaving:
            response_fields += '\r\nServer-Leaving: 1'
        complete = encode_answer(200, request_id, response_fields)
        match mode:
            case AnswerMode.NEVER:
                await asyncio.sleep(60)
            case AnswerMode.LOST:
                writer.transport.abort()
            case AnswerMode.CUT:
                writer.write(complete[:-3])
            case AnswerMode.TWICE:
                writer.write(
                    complete + encode_answer(200, 'x', response_fields)
                )
                return True
            case AnswerMode.GARBLED:
                writer.write(b'\x00\x01' + complete)
            case _:
                writer.write(complete)
                return True
        return False


def parse_fields(head: bytes) -> dict[str, str]:
    """Return the header fields of a message head, names in lower case."""
    lines = head.decode('latin-1').split('\r\n')[1:]
    pairs = (line.partition(':') for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


def encode_answer(status: int, request_id: str, extra_fields: str) -> bytes:
    """Return the bytes of an answer whose body names the request."""
    body = f'done {request_id}'.encode()
    return (
        f'HTTP/1.1 {status} X\r\nEgretmill-Request-Id: {request_id}\r\n'
        f'{extra_fields}\r\nContent-Length: {len(body)}\r\n\r\n'
    ).encode() + body
