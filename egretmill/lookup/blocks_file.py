"""Binary file format of client blocks, read and written incrementally.

The file is a sequence of frames, each four bytes of length (big endian)
and a msgpack message: one :class:`Header`, then :class:`Chunk` frames with
arrays of little-endian range starts. The digest of its bytes identifies a
file. Equal tables whose sites were added in the same order have equal files.
"""

import operator
import sys
from array import array
from collections.abc import Iterator

import msgspec
import xxhash
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.blocks import MAX_SITES, ClientBlocks
from egretmill.lookup.ranges import NO_SITE, RangeMap, Segments

__all__ = ('BlocksReader', 'digest_steps', 'encode_blocks')

LENGTH_BYTES = 4
FORMAT = 1
# A chunk of 4,096 IPv6 segments has 36 KB; a longer frame is corrupt.
MAX_FRAME_BYTES = 65536


class Header(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """First frame: format version and site names by their byte."""

    version: int
    sites: tuple[str, ...]


class Chunk(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Consecutive segments of one range map; ``family`` is 4 or 6."""

    family: int
    starts: bytes
    sites: bytes


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Header | Chunk)


def encode_blocks(blocks: ClientBlocks) -> Iterator[bytes]:
    """Yield the frames of the file."""
    yield encode_frame(Header(FORMAT, tuple(blocks.sites)))
    for family, table in ((4, blocks.v4), (6, blocks.v6)):
        for segments in table.canonical_chunks():
            starts = to_little_endian(segments.starts).tobytes()
            yield encode_frame(Chunk(family, starts, bytes(segments.sites)))


def encode_frame(message: Header | Chunk) -> bytes:
    """Return a message with its length prefix."""
    body = ENCODER.encode(message)
    return len(body).to_bytes(LENGTH_BYTES) + body


def to_little_endian(numbers: array) -> array:
    """Return an array in little-endian byte order."""
    if sys.byteorder == 'little':
        return numbers
    swapped = numbers[:]
    swapped.byteswap()
    return swapped


def digest_steps(blocks: ClientBlocks) -> Iterator[str]:
    """Hash the file frame by frame; the last item yielded is its digest.

    The other items are empty, so that a caller can do other work between
    frames.
    """
    hasher = xxhash.xxh3_128()
    for body in encode_blocks(blocks):
        hasher.update(body)
        yield ''
    yield f'xxh3:{hasher.hexdigest()}'


class BlocksReader:
    """Builds client blocks from parts of a file as they arrive.

    Besides the table, at most one incomplete frame is buffered.
    """

    def __init__(self) -> None:
        """Start before the header."""
        self.blocks: ClientBlocks | None = None
        self.partial_frame = b''
        self.hasher = xxhash.xxh3_128()

    def feed(self, part: bytes) -> Result[None, Failure]:
        """Read the next bytes of the file."""
        self.hasher.update(part)
        buffer = self.partial_frame + part
        position = 0
        while len(buffer) - position >= LENGTH_BYTES:
            begin = position + LENGTH_BYTES
            end = begin + int.from_bytes(buffer[position:begin])
            if end - begin > MAX_FRAME_BYTES:
                return damaged_file_error('frame too long')
            if end > len(buffer):
                break
            frame_read = self.read_frame(buffer[begin:end])
            if isinstance(frame_read, Err):
                return frame_read
            position = end
        self.partial_frame = buffer[position:]
        return Ok(None)

    def finish(self, digest: str) -> Result[ClientBlocks, Failure]:
        """Return the blocks if the file is complete and has the digest."""
        if self.partial_frame or self.blocks is None:
            return damaged_file_error('file is cut')
        actual_digest = f'xxh3:{self.hasher.hexdigest()}'
        if actual_digest != digest:
            return damaged_file_error(
                f'digest is {actual_digest}, not {digest}'
            )
        return Ok(self.blocks)

    def read_frame(self, body: bytes) -> Result[None, Failure]:
        """Decode one frame and add its content."""
        try:
            message = DECODER.decode(body)
        except DECODE_ERRORS as error:
            return damaged_file_error(str(error))
        if isinstance(message, Header):
            return self.read_header(message)
        return self.read_chunk(message)

    def read_header(self, header: Header) -> Result[None, Failure]:
        """Create the table with its sites."""
        if self.blocks is not None or header.version != FORMAT:
            return damaged_file_error(f'header of format {header.version}')
        if len(header.sites) > MAX_SITES:
            return damaged_file_error('too many sites')
        self.blocks = ClientBlocks.empty()
        self.blocks.sites.extend(header.sites)
        return Ok(None)

    def read_chunk(self, chunk: Chunk) -> Result[None, Failure]:
        """Validate a chunk and append its segments."""
        if self.blocks is None or chunk.family not in {4, 6}:
            return damaged_file_error('chunk without header or family')
        table = self.blocks.v4 if chunk.family == 4 else self.blocks.v6
        starts = array(table.typecode)
        if len(chunk.starts) != len(chunk.sites) * starts.itemsize:
            return damaged_file_error('starts and sites differ in number')
        starts.frombytes(chunk.starts)
        segments = Segments(to_little_endian(starts), bytearray(chunk.sites))
        if not can_append(table, segments, len(self.blocks.sites)):
            return damaged_file_error('starts out of order or unknown site')
        append_segments(table, segments)
        return Ok(None)


def can_append(table: RangeMap, segments: Segments, site_count: int) -> bool:
    """Return whether segments are valid and follow those of a range map."""
    starts = segments.starts
    if not starts or not all(map(operator.lt, starts, starts[1:])):
        return False
    if table.is_empty():
        if starts[0] != 0:
            return False
    elif starts[0] <= table.chunks[-1].starts[-1]:
        return False
    known_sites = set(range(site_count)) | {NO_SITE}
    return known_sites.issuperset(segments.sites)


def append_segments(table: RangeMap, segments: Segments) -> None:
    """Append segments to a range map as one chunk."""
    if table.is_empty():
        table.chunks[:] = [segments]
        table.chunk_starts[0] = 0
        return
    table.chunks.append(segments)
    table.chunk_starts.append(segments.starts[0])


def damaged_file_error(detail: str) -> Err[Failure]:
    """Return the failure of a damaged file."""
    return Err(Failure(ErrorKind.INVALID_DOCUMENT, f'blocks: {detail}'))
