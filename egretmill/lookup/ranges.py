"""Map from address ranges to one-byte sites, in chunks of sorted starts."""

import bisect
import dataclasses
from array import array
from collections.abc import Iterator

__all__ = ('CHUNK_SEGMENTS', 'NO_SITE', 'RangeMap', 'Segments')

#: Site byte of addresses that belong to no site.
NO_SITE = 255
#: Segments per chunk. Changing one segment moves at most one chunk of
#: memory (20 KB for IPv4), and the list of chunks stays small.
CHUNK_SEGMENTS = 4096


@dataclasses.dataclass(slots=True)
class Segments:
    """Sorted range starts, with the site byte up to the next start."""

    starts: array
    sites: bytearray

    def replace_tail(self, low: int, other: 'Segments', limit: int) -> None:
        """Replace all from index low by segments that start after a limit.

        :param other: the segments of a later chunk.
        """
        first_kept = bisect.bisect_right(other.starts, limit)
        self.starts[low:] = other.starts[first_kept:]
        self.sites[low:] = other.sites[first_kept:]

    def copy_slice(self, low: int, high: int | None = None) -> 'Segments':
        """Return a copy of the segments from index low to high."""
        return Segments(self.starts[low:high], self.sites[low:high])


class RangeMap:
    """Sites by address; each segment ends where the next one starts.

    The first segment starts at 0. Neighbouring segments have different
    sites, so equal maps have equal segments.
    """

    def __init__(self, typecode: str, bits: int) -> None:
        """Make a map in which no address has a site.

        :param typecode: :mod:`array` type of the starts.
        :param bits: number of bits of an address.
        """
        self.typecode = typecode
        self.last_address = (1 << bits) - 1
        empty = Segments(array(typecode, [0]), bytearray([NO_SITE]))
        self.chunks = [empty]
        self.chunk_starts = array(typecode, [0])

    def site_at(self, address: int) -> int:
        """Return the site byte of an address."""
        chunk = self.chunks[bisect.bisect_right(self.chunk_starts, address) - 1]
        return chunk.sites[bisect.bisect_right(chunk.starts, address) - 1]

    def segment_count(self) -> int:
        """Return the number of segments, gaps included."""
        return sum(len(chunk.starts) for chunk in self.chunks)

    def is_empty(self) -> bool:
        """Return whether no address has a site."""
        first = self.chunks[0]
        return first.sites == bytes([NO_SITE]) and len(self.chunks) == 1

    def append(self, start: int, site: int) -> None:
        """Add a segment after all others.

        Used to build a map in order. A segment of the same site as the last
        one is merged with it; one with the same start replaces its site.
        """
        chunk = self.chunks[-1]
        if chunk.starts[-1] == start:
            chunk.sites[-1] = site
            return
        if chunk.sites[-1] == site:
            return
        if len(chunk.starts) >= CHUNK_SEGMENTS:
            chunk = Segments(array(self.typecode), bytearray())
            self.chunks.append(chunk)
            self.chunk_starts.append(start)
        chunk.starts.append(start)
        chunk.sites.append(site)

    def set_range(self, start: int, end: int, site: int) -> None:
        """Assign all addresses from start to end (inclusive) to a site."""
        segments: list[tuple[int, int]] = []
        if start == 0 or self.site_at(start - 1) != site:
            segments.append((start, site))
        limit = end
        if end < self.last_address:
            next_site = self.site_at(end + 1)
            limit = end + 1
            if next_site != site:
                segments.append((end + 1, next_site))
        self.replace_segments(start, limit, segments)

    def replace_segments(
        self,
        start: int,
        limit: int,
        segments: list[tuple[int, int]],
    ) -> None:
        """Replace the segments that start from start to limit (inclusive)."""
        first = bisect.bisect_right(self.chunk_starts, start) - 1
        last = bisect.bisect_right(self.chunk_starts, limit) - 1
        chunk = self.chunks[first]
        low = bisect.bisect_left(chunk.starts, start)
        if last > first:
            chunk.replace_tail(low, self.chunks[last], limit)
            self.chunks[first + 1 : last + 1] = []
            self.chunk_starts[first + 1 : last + 1] = array(self.typecode)
        high = bisect.bisect_right(chunk.starts, limit)
        starts = array(self.typecode, [pair[0] for pair in segments])
        chunk.starts[low:high] = starts
        chunk.sites[low:high] = bytes(pair[1] for pair in segments)
        self.rebalance_chunk(first)

    def rebalance_chunk(self, index: int) -> None:
        """Remove a chunk if it is empty; split it if it is too large."""
        chunk = self.chunks[index]
        if not chunk.starts:
            self.chunks.pop(index)
            self.chunk_starts.pop(index)
            return
        self.chunk_starts[index] = chunk.starts[0]
        if len(chunk.starts) < 2 * CHUNK_SEGMENTS:
            return
        lower = chunk.copy_slice(0, CHUNK_SEGMENTS)
        upper = chunk.copy_slice(CHUNK_SEGMENTS)
        self.chunks[index : index + 1] = [lower, upper]
        self.chunk_starts.insert(index + 1, upper.starts[0])

    def canonical_chunks(self) -> Iterator[Segments]:
        """Yield all segments in chunks of equal size.

        Equal maps yield equal chunks, however their own chunks came about.
        The last chunk may be smaller.
        """
        pending = Segments(array(self.typecode), bytearray())
        for chunk in list(self.chunks):
            pending.starts.extend(chunk.starts)
            pending.sites.extend(chunk.sites)
            while len(pending.starts) >= CHUNK_SEGMENTS:
                yield pending.copy_slice(0, CHUNK_SEGMENTS)
                pending = pending.copy_slice(CHUNK_SEGMENTS)
        if pending.starts:
            yield pending
