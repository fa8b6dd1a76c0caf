"""Upstreams that keep a record of what they ran, with their faults."""

import asyncio
import contextlib
import dataclasses
import enum
import random

from soak.record import Execution, Record

__all__ = ('Answering', 'SoakUpstream')

#: Time of one request in a slot, in seconds.
WORK_S = 0.03
SLOTS = 6


class Answering(enum.StrEnum):
    """How an upstream answers."""

    NORMALLY = 'normally'
    SLOWLY = 'slowly'
    NEVER = 'never'
    LOST = 'lost'
    CUT = 'cut'
    TWICE = 'twice'
    GARBLED = 'garbled'
    SHEDDING = 'shedding'


SLOW_FACTOR = 12
#: How the service of a connection ends.
ENDS = (asyncio.IncompleteReadError, OSError, asyncio.CancelledError)


@dataclasses.dataclass(eq=False)
class SoakUpstream:
    """One incarnation of an upstream."""

    name: str
    service: str
    domain: str
    born: int
    record: Record
    clock: asyncio.AbstractEventLoop
    rng: random.Random
    answering: Answering = Answering.NORMALLY
    share: float = 1
    server: asyncio.Server | None = None
    running: int = 0
    writers: set = dataclasses.field(default_factory=set)

    async def open(self, port: int = 0) -> int:
        """Listen; return the port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        return self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """End at once, with all connections."""
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
        # Connections that are open at the end of a run are cancelled.
        with contextlib.suppress(*ENDS):
            while await self.exchange(reader, writer):
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection goes on."""
        head = await reader.readuntil(b'\r\n\r\n')
        fields = parse_fields(head)
        await reader.readexactly(int(fields.get('content-length', '0')))
        identifier = fields.get('egretmill-request-id', '')
        if fields.get('egretmill-target-instance', self.name) != self.name:
            writer.write(answer(421, identifier, 'Egretmill-Not-Executed: 1'))
            return True
        way = self.answering
        if self.rng.random() > self.share:
            way = Answering.NORMALLY
        if way is Answering.SHEDDING or self.running >= 3 * SLOTS:
            writer.write(answer(503, identifier, 'Egretmill-Not-Executed: 1'))
            return True
        self.note(head, fields, identifier)
        self.running += 1
        try:
            work_s = WORK_S * max(1, self.running / SLOTS)
            if way is Answering.SLOWLY:
                work_s *= SLOW_FACTOR
            await asyncio.sleep(work_s)
        finally:
            self.running -= 1
        return await self.respond(writer, way, identifier)

    def note(
        self,
        head: bytes,
        fields: dict[str, str],
        identifier: str,
    ) -> None:
        """Record that a request runs."""
        self.record.executions.append(
            Execution(
                identifier,
                self.clock.time(),
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
        way: Answering,
        identifier: str,
    ) -> bool:
        """Answer in a way; return whether the connection goes on."""
        load = f'Egretmill-Server-Load: {self.running},0,{SLOTS}'
        signed = f'Egretmill-Response-Signature: {identifier}\r\n{load}'
        whole = answer(200, identifier, signed)
        match way:
            case Answering.NEVER:
                await asyncio.sleep(60)
            case Answering.LOST:
                writer.transport.abort()
            case Answering.CUT:
                writer.write(whole[:-3])
            case Answering.TWICE:
                writer.write(whole + answer(200, 'x', signed))
                return True
            case Answering.GARBLED:
                writer.write(b'\x00\x01' + whole)
            case _:
                writer.write(whole)
                return True
        return False


def parse_fields(head: bytes) -> dict[str, str]:
    """Return the headers of a head, names in lower case."""
    lines = head.decode('latin-1').split('\r\n')[1:]
    pairs = (line.partition(':') for line in lines if line)
    return {name.lower(): text.strip() for name, _, text in pairs}


def answer(status: int, identifier: str, extra: str) -> bytes:
    """Return the bytes of an answer; its body names the request."""
    body = f'done {identifier}'.encode()
    return (
        f'HTTP/1.1 {status} X\r\nEgretmill-Request-Id: {identifier}\r\n'
        f'{extra}\r\nContent-Length: {len(body)}\r\n\r\n'
    ).encode() + body
