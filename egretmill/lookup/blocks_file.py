"""Binary form of client blocks, read and written in steps.

The file is a sequence of frames, each four bytes of length (big endian)
and a msgpack message: one :class:`Header`, then :class:`Chunk` frames with
arrays of little-endian starts. It is named by the digest of its bytes.
Equal tables whose sites were added in the same order have equal files.
"""

import operator
import sys
from array import array
from collections.abc import Iterator

import msgspec
import xxhash
from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.blocks import MAX_SITES, ClientBlocks
from egretmill.lookup.ranges import NO_SITE, RangeMap, Segments

__all__ = ('BlocksReader', 'digest_steps', 'write_blocks')

LENGTH_BYTES = 4
FORMAT = 1
# A chunk of 4,096 IPv6 segments has 36 KB; a longer frame is damage.
MAX_FRAME_BYTES = 65536


class Header(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """First frame: format and names of the sites by byte."""

    version: int
    sites: tuple[str, ...]


class Chunk(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Segments of one table, in order; ``family`` is 4 or 6."""

    family: int
    starts: bytes
    sites: bytes


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Header | Chunk)


def write_blocks(blocks: ClientBlocks) -> Iterator[bytes]:
    """Yield the frames of the file."""
    yield frame(Header(FORMAT, tuple(blocks.sites)))
    for family, table in ((4, blocks.v4), (6, blocks.v6)):
        for segments in table.canonical():
            starts = little_endian(segments.starts).tobytes()
            yield frame(Chunk(family, starts, bytes(segments.sites)))


def frame(message: Header | Chunk) -> bytes:
    """Return one frame of the file."""
    body = ENCODER.encode(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


def little_endian(numbers: array) -> array:
    """Return an array in the byte order of the file."""
    if sys.byteorder == 'little':
        return numbers
    swapped = numbers[:]
    swapped.byteswap()
    return swapped


def digest_steps(blocks: ClientBlocks) -> Iterator[str]:
    """Yield after each frame; the last item is the digest of the file."""
    state = xxhash.xxh3_128()
    for body in write_blocks(blocks):
        state.update(body)
        yield ''
    yield f'xxh3:{state.hexdigest()}'


class BlocksReader:
    """Builds client blocks from parts of a file as they arrive.

    Only one unfinished frame is kept besides the table.
    """

    def __init__(self) -> None:
        """Expect the header."""
        self.blocks: ClientBlocks | None = None
        self.rest = b''
        self.state = xxhash.xxh3_128()

    def feed(self, part: bytes) -> Result[None, Failure]:
        """Read the next bytes of the file."""
        self.state.update(part)
        buffer = self.rest + part
        position = 0
        while len(buffer) - position >= LENGTH_BYTES:
            begin = position + LENGTH_BYTES
            end = begin + int.from_bytes(buffer[position:begin])
            if end - begin > MAX_FRAME_BYTES:
                return damaged('frame too long')
            if end > len(buffer):
                break
            done = self.take_frame(buffer[begin:end])
            if isinstance(done, Err):
                return done
            position = end
        self.rest = buffer[position:]
        return Ok(None)

    def finish(self, digest: str) -> Result[ClientBlocks, Failure]:
        """Return the blocks if the file is complete and has the digest."""
        if self.rest or self.blocks is None:
            return damaged('file is cut')
        found = f'xxh3:{self.state.hexdigest()}'
        if found != digest:
            return damaged(f'digest is {found}, not {digest}')
        return Ok(self.blocks)

    def take_frame(self, body: bytes) -> Result[None, Failure]:
        """Add the content of one frame."""
        try:
            message = DECODER.decode(body)
        except msgspec.DecodeError as error:
            return damaged(str(error))
        if isinstance(message, Header):
            return self.take_header(message)
        return self.take_chunk(message)

    def take_header(self, header: Header) -> Result[None, Failure]:
        """Start the table."""
        if self.blocks is not None or header.version != FORMAT:
            return damaged(f'header of format {header.version}')
        if len(header.sites) > MAX_SITES:
            return damaged('too many sites')
        self.blocks = ClientBlocks.empty()
        self.blocks.sites.extend(header.sites)
        return Ok(None)

    def take_chunk(self, chunk: Chunk) -> Result[None, Failure]:
        """Add one chunk behind the chunks read so far."""
        if self.blocks is None or chunk.family not in {4, 6}:
            return damaged('chunk without header or family')
        table = self.blocks.v4 if chunk.family == 4 else self.blocks.v6
        starts = array(table.typecode)
        if len(chunk.starts) != len(chunk.sites) * starts.itemsize:
            return damaged('starts and sites differ in number')
        starts.frombytes(chunk.starts)
        segments = Segments(little_endian(starts), bytearray(chunk.sites))
        if not follows(table, segments, len(self.blocks.sites)):
            return damaged('starts out of order or unknown site')
        add_segments(table, segments)
        return Ok(None)


def follows(table: RangeMap, segments: Segments, site_count: int) -> bool:
    """Tell whether segments continue a table in order."""
    starts = segments.starts
    if not starts or not all(map(operator.lt, starts, starts[1:])):
        return False
    if table.is_empty():
        if starts[0] != 0:
            return False
    elif starts[0] <= table.chunks[-1].starts[-1]:
        return False
    known = set(range(site_count)) | {NO_SITE}
    return known.issuperset(segments.sites)


def add_segments(table: RangeMap, segments: Segments) -> None:
    """Put segments behind those of a table."""
    if table.is_empty():
        table.chunks[:] = [segments]
        table.firsts[0] = 0
        return
    table.chunks.append(segments)
    table.firsts.append(segments.starts[0])


def damaged(detail: str) -> Err[Failure]:
    """Return the failure of a damaged file."""
    return Err(Failure(ErrorKind.INVALID_DOCUMENT, f'blocks: {detail}'))
