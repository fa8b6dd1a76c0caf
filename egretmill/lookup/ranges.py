"""Map from address ranges to one byte, in chunks of sorted starts."""

import bisect
import dataclasses
from array import array
from collections.abc import Iterator

__all__ = ('CHUNK_SEGMENTS', 'NO_SITE', 'RangeMap', 'Segments')

#: Byte of addresses that belong to no site.
NO_SITE = 255
#: Segments per chunk. Changing one segment moves at most one chunk of
#: memory (20 KB for IPv4), and the index of chunks stays small.
CHUNK_SEGMENTS = 4096


@dataclasses.dataclass(slots=True)
class Segments:
    """Sorted starts with the site byte from each start to the next."""

    starts: array
    sites: bytearray

    def join_tail(self, low: int, other: 'Segments', limit: int) -> None:
        """Replace all from index low by what starts behind a limit.

        :param other: segments that lie behind these.
        """
        keep = bisect.bisect_right(other.starts, limit)
        self.starts[low:] = other.starts[keep:]
        self.sites[low:] = other.sites[keep:]

    def part(self, low: int, high: int | None = None) -> 'Segments':
        """Return a copy of the segments from index low to high."""
        return Segments(self.starts[low:high], self.sites[low:high])


class RangeMap:
    """Sites by address; each segment ends where the next one starts.

    The first segment starts at 0. Neighbouring segments have different
    sites, so equal maps have equal segments.
    """

    def __init__(self, typecode: str, bits: int) -> None:
        """Make a map without sites.

        :param typecode: :mod:`array` type of the starts.
        :param bits: number of bits of an address.
        """
        self.typecode = typecode
        self.last_address = (1 << bits) - 1
        empty = Segments(array(typecode, [0]), bytearray([NO_SITE]))
        self.chunks = [empty]
        self.firsts = array(typecode, [0])

    def site_at(self, address: int) -> int:
        """Return the site byte of an address."""
        chunk = self.chunks[bisect.bisect_right(self.firsts, address) - 1]
        return chunk.sites[bisect.bisect_right(chunk.starts, address) - 1]

    def segment_count(self) -> int:
        """Return the number of segments, gaps included."""
        return sum(len(chunk.starts) for chunk in self.chunks)

    def is_empty(self) -> bool:
        """Tell whether no address has a site."""
        first = self.chunks[0]
        return first.sites == bytes([NO_SITE]) and len(self.chunks) == 1

    def append(self, start: int, site: int) -> None:
        """Add a segment behind all others.

        Used to build a map in order. A segment of the same site as the one
        before it is joined with it; one at the same start replaces it.
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
            self.firsts.append(start)
        chunk.starts.append(start)
        chunk.sites.append(site)

    def set_range(self, start: int, end: int, site: int) -> None:
        """Give all addresses from start to end (inclusive) to a site."""
        segments: list[tuple[int, int]] = []
        if start == 0 or self.site_at(start - 1) != site:
            segments.append((start, site))
        limit = end
        if end < self.last_address:
            after = self.site_at(end + 1)
            limit = end + 1
            if after != site:
                segments.append((end + 1, after))
        self.replace(start, limit, segments)

    def replace(
        self,
        start: int,
        limit: int,
        segments: list[tuple[int, int]],
    ) -> None:
        """Replace the segments that start from start to limit."""
        first = bisect.bisect_right(self.firsts, start) - 1
        last = bisect.bisect_right(self.firsts, limit) - 1
        chunk = self.chunks[first]
        low = bisect.bisect_left(chunk.starts, start)
        if last > first:
            chunk.join_tail(low, self.chunks[last], limit)
            self.chunks[first + 1 : last + 1] = []
            self.firsts[first + 1 : last + 1] = array(self.typecode)
        high = bisect.bisect_right(chunk.starts, limit)
        starts = array(self.typecode, [pair[0] for pair in segments])
        chunk.starts[low:high] = starts
        chunk.sites[low:high] = bytes(pair[1] for pair in segments)
        self.settle(first)

    def settle(self, index: int) -> None:
        """Drop an empty chunk or split one that has grown too large."""
        chunk = self.chunks[index]
        if not chunk.starts:
            self.chunks.pop(index)
            self.firsts.pop(index)
            return
        self.firsts[index] = chunk.starts[0]
        if len(chunk.starts) < 2 * CHUNK_SEGMENTS:
            return
        lower = chunk.part(0, CHUNK_SEGMENTS)
        upper = chunk.part(CHUNK_SEGMENTS)
        self.chunks[index : index + 1] = [lower, upper]
        self.firsts.insert(index + 1, upper.starts[0])

    def canonical(self) -> Iterator[Segments]:
        """Yield all segments in chunks of equal size, whatever the history.

        The last chunk may be smaller.
        """
        pending = Segments(array(self.typecode), bytearray())
        for chunk in list(self.chunks):
            pending.starts.extend(chunk.starts)
            pending.sites.extend(chunk.sites)
            while len(pending.starts) >= CHUNK_SEGMENTS:
                yield pending.part(0, CHUNK_SEGMENTS)
                pending = pending.part(CHUNK_SEGMENTS)
        if pending.starts:
            yield pending
