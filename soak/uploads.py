"""Long bodies: how callers send them, and how upstreams read them."""

import asyncio
import re
import zlib
from collections.abc import Mapping

__all__ = (
    'BODY',
    'LONG_BODY',
    'ForeignBytesError',
    'encode_body',
    'is_answered_early',
    'read_body',
)

BODY_BYTE = b'x'
BODY = BODY_BYTE * 2000
#: More than a host and the kernel hold of a body, so that a part of it is not
#: written when it is answered early.
LONG_BODY = BODY_BYTE * 8_000_000
CHUNK_BYTES = 50_000
PIECE_BYTES = 65536
CHUNK_SIZE = re.compile(rb'[0-9a-fA-F]+\r\n')


class ForeignBytesError(Exception):
    """Bytes arrived in the place of a body that do not belong to it."""


def encode_body(content: bytes, *, is_chunked: bool) -> tuple[str, bytes]:
    """Return the framing header of a body, and its bytes."""
    if not is_chunked:
        return f'Content-Length: {len(content)}', content
    chunks = [
        content[start : start + CHUNK_BYTES]
        for start in range(0, len(content), CHUNK_BYTES)
    ]
    framed = [b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks]
    return 'Transfer-Encoding: chunked', b''.join((*framed, b'0\r\n\r\n'))


def is_answered_early(request_id: str, fields: Mapping[str, str]) -> bool:
    """Return whether an upstream answers a request before it reads its body.

    The choice does not depend on the random numbers of the run.
    """
    is_long = int(fields.get('content-length', '0')) > len(BODY)
    if 'transfer-encoding' not in fields and not is_long:
        return False
    return bool(zlib.crc32(request_id.encode()) % 2)


async def read_body(
    reader: asyncio.StreamReader, fields: Mapping[str, str]
) -> None:
    """Read a body to its end.

    :raises ForeignBytesError: it holds other bytes than those of a body.
    """
    if 'transfer-encoding' not in fields:
        await read_piece(reader, int(fields.get('content-length', '0')))
        return
    while size := await read_chunk_size(reader):
        await read_piece(reader, size)
        await reader.readexactly(2)
    await reader.readexactly(2)


async def read_piece(reader: asyncio.StreamReader, size: int) -> None:
    """Read a part of a body."""
    while size:
        piece = await reader.read(min(size, PIECE_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(b'', size)
        if piece.strip(BODY_BYTE):
            raise ForeignBytesError(piece.strip(BODY_BYTE))
        size -= len(piece)


async def read_chunk_size(reader: asyncio.StreamReader) -> int:
    """Read the line with the size of a chunk."""
    line = await reader.readuntil(b'\r\n')
    if CHUNK_SIZE.fullmatch(line) is None:
        raise ForeignBytesError(line)
    return int(line, 16)
