"""Client blocks: address ranges (CIDR blocks) and their sites."""

import dataclasses
import ipaddress
import itertools
import operator
import socket
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence

import msgspec
from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.ranges import NO_SITE, RangeMap

__all__ = ('Change', 'ClientBlocks', 'Delta', 'MAX_SITES')

#: Sites are numbered in one byte, whose last value is ``NO_SITE``.
MAX_SITES = NO_SITE
# Changes applied before look-ups get a turn; each takes about 10 us.
CHANGES_PER_STEP = 64
# Only the upper 64 bits of an IPv6 address select its site.
V6_INTERFACE_BITS = 64
# Plain integers: passing the enum members of socket is slower.
AF_INET = int(socket.AF_INET)
AF_INET6 = int(socket.AF_INET6)
V4_MAPPED = b'\x00' * 10 + b'\xff\xff'


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Assigns all addresses from start to end (inclusive) to a site.

    An empty site removes their assignment. ``family`` is 4 or 6. IPv6
    addresses are given by their upper 64 bits.
    """

    family: int
    start: int
    end: int
    site: str

    @classmethod
    def from_network(cls, network: str, site: str) -> 'Change':
        """Build from CIDR notation; IPv6 prefixes are at most 64 bits."""
        parsed = ipaddress.ip_network(network)
        start = int(parsed.network_address)
        end = int(parsed.broadcast_address)
        if parsed.version == 6:
            start >>= V6_INTERFACE_BITS
            end >>= V6_INTERFACE_BITS
        return cls(parsed.version, start, end, site)


class Delta(msgspec.Struct, frozen=True):
    """Changes that turn one table of client blocks into another.

    Changes are applied in order. ``base`` and ``digest`` are the digests
    of the table before and after.
    """

    base: str
    digest: str
    changes: tuple[Change, ...]


@dataclasses.dataclass(slots=True)
class ClientBlocks:
    """Sites by client address, with a range map per address family.

    :param sites: site names; the index is the byte in the range maps. New
        sites are added at the end.
    """

    sites: list[str]
    v4: RangeMap
    v6: RangeMap

    @classmethod
    def empty(cls) -> 'ClientBlocks':
        """Make a table in which no address has a site."""
        return cls([], RangeMap('I', 32), RangeMap('Q', 64))

    @classmethod
    def from_changes(
        cls,
        changes: Iterable[Change],
    ) -> Result['ClientBlocks', Failure]:
        """Build from blocks in any order; overlapping ones are refused."""
        ordered = sorted(changes, key=operator.attrgetter('family', 'start'))
        blocks = cls.empty()
        failure = blocks.check_changes(ordered)
        if failure is not None:
            return Err(failure)
        for earlier, later in itertools.pairwise(ordered):
            if earlier.family == later.family and earlier.end >= later.start:
                detail = f'overlapping blocks: {earlier} {later}'
                return Err(Failure(ErrorKind.INVALID_DOCUMENT, detail))
        site_numbers = blocks.add_sites(ordered)
        for change in ordered:
            table = blocks.range_map_for(change.family)
            table.append(change.start, site_numbers[change.site])
            if change.end < table.last_address:
                table.append(change.end + 1, NO_SITE)
        return Ok(blocks)

    def site_of(self, client: str) -> str | None:
        """Return the site of an address, ``None`` when it has none.

        :raises OSError: the text is no IPv4 or IPv6 address.
        """
        try:
            packed = socket.inet_pton(AF_INET, client)
        except OSError:
            return self.site_of_v6(client)
        address = int.from_bytes(packed)
        # RangeMap.site_at, inlined: every look-up runs this, and the call
        # alone would take a fifth of its time.
        table = self.v4
        chunk = table.chunks[bisect_right(table.chunk_starts, address) - 1]
        number = chunk.sites[bisect_right(chunk.starts, address) - 1]
        return None if number == NO_SITE else self.sites[number]

    def site_of_v6(self, client: str) -> str | None:
        """Return the site of an IPv6 address or a mapped IPv4 address.

        :raises OSError: the text is no IPv6 address.
        """
        packed = socket.inet_pton(AF_INET6, client)
        if packed.startswith(V4_MAPPED):
            number = self.v4.site_at(int.from_bytes(packed[12:]))
        else:
            number = self.v6.site_at(int.from_bytes(packed[:8]))
        return None if number == NO_SITE else self.sites[number]

    def apply(self, delta: Delta) -> Result[Iterator[int], Failure]:
        """Validate a delta and return an iterator that applies it.

        Look-ups between the steps of the iterator see each block either
        before or after its change. An invalid delta changes nothing.
        """
        failure = self.check_changes(delta.changes)
        if failure is not None:
            return Err(failure)
        return Ok(self.apply_validated(delta, self.add_sites(delta.changes)))

    def check_changes(self, changes: Sequence[Change]) -> Failure | None:
        """Return why changes cannot be applied, ``None`` if they can."""
        names = {change.site for change in changes if change.site}
        if len(names.union(self.sites)) > MAX_SITES:
            detail = f'more than {MAX_SITES} sites'
            return Failure(ErrorKind.INVALID_DOCUMENT, detail)
        for change in changes:
            if not self.is_valid_change(change):
                detail = f'no address range: {change}'
                return Failure(ErrorKind.INVALID_DOCUMENT, detail)
        return None

    def add_sites(self, changes: Sequence[Change]) -> dict[str, int]:
        """Add new sites and return the numbers of all sites by name."""
        names = {change.site for change in changes if change.site}
        self.sites.extend(sorted(names.difference(self.sites)))
        numbers = {name: index for index, name in enumerate(self.sites)}
        return numbers | {'': NO_SITE}

    def apply_validated(
        self,
        delta: Delta,
        site_numbers: Mapping[str, int],
    ) -> Iterator[int]:
        """Apply a valid delta; yield the count after every few changes."""
        for count, change in enumerate(delta.changes, 1):
            table = self.range_map_for(change.family)
            number = site_numbers[change.site]
            table.set_range(change.start, change.end, number)
            if count % CHANGES_PER_STEP == 0:
                yield count

    def range_map_for(self, family: int) -> RangeMap:
        """Return the range map of an address family, 4 or 6."""
        return self.v4 if family == 4 else self.v6

    def is_valid_change(self, change: Change) -> bool:
        """Return whether a change has a valid range for its family."""
        if change.family not in {4, 6}:
            return False
        last = self.range_map_for(change.family).last_address
        return 0 <= change.start <= change.end and change.end <= last
