"""Base of the stand-ins for workers: connections, request heads, bodies."""

import asyncio
import contextlib
import re
import socket
from collections.abc import AsyncIterator, Mapping

from review.harness import Record, parse_fields

__all__ = ('ForeignBytesError', 'Worker', 'encode_answer', 'iter_body')

PIECE_BYTES = 65536
RECEIVE_BUFFER_BYTES = 65536
CHUNK_SIZE = re.compile(rb'[0-9a-fA-F]+')


class ForeignBytesError(Exception):
    """Bytes arrived where a body is due, and they do not belong to it."""


class Worker:
    """A worker that serves one request at a time on each connection."""

    def __init__(self, record: Record) -> None:
        """Write what happens to a record."""
        self.record = record
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> int:
        """Listen on a free port; return it."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, limit=PIECE_BYTES
        )
        listener = self.server.sockets[0]
        # Accepted connections inherit it: the windows of the pages are small.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        return listener.getsockname()[1]

    def close(self) -> None:
        """Stop listening, and end the connections."""
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError, OSError, ForeignBytesError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self.serve_request(head, reader, writer)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def serve_request(
        self,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read the body of a request and answer it."""
        raise NotImplementedError


def encode_answer(request_id: str, body: bytes = b'done') -> bytes:
    """Return a signed success."""
    lines = (
        'HTTP/1.1 200 OK',
        f'Egretmill-Request-Id: {request_id}',
        f'Egretmill-Response-Signature: s-{request_id}',
        f'Content-Length: {len(body)}',
        '',
    )
    return ''.join(f'{line}\r\n' for line in lines).encode() + body


async def iter_body(
    reader: asyncio.StreamReader, fields: Mapping[str, str]
) -> AsyncIterator[bytes]:
    """Yield the pieces of a body, which is sent with a length or in chunks.

    :raises ForeignBytesError: a chunk does not begin with its size.
    """
    if 'chunked' not in fields.get('transfer-encoding', ''):
        async for piece in iter_bytes(
            reader, int(fields.get('content-length', '0'))
        ):
            yield piece
        return
    while size := await read_chunk_size(reader):
        async for piece in iter_bytes(reader, size):
            yield piece
        await reader.readexactly(2)
    await reader.readexactly(2)


async def iter_bytes(
    reader: asyncio.StreamReader, size: int
) -> AsyncIterator[bytes]:
    """Yield a number of bytes in pieces."""
    while size:
        piece = await reader.read(min(size, PIECE_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(b'', size)
        size -= len(piece)
        yield piece


async def read_chunk_size(reader: asyncio.StreamReader) -> int:
    """Read the line with the size of a chunk."""
    line = await reader.readuntil(b'\r\n')
    digits = line.strip()
    if CHUNK_SIZE.fullmatch(digits) is None:
        raise ForeignBytesError(line)
    return int(digits, 16)


def request_id_of(head: bytes) -> str:
    """Return the id of a request."""
    return parse_fields(head).get('egretmill-request-id', '')
