"""Client blocks: which site a caller's address belongs to."""

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

#: A site is one byte, and ``NO_SITE`` is taken.
MAX_SITES = NO_SITE
# Changes applied between two look-ups; about 10 us each.
STEP_CHANGES = 64
V6_SHIFT = 64
# Plain numbers: the enum members of socket are slower to pass.
AF_INET = int(socket.AF_INET)
AF_INET6 = int(socket.AF_INET6)
V4_MAPPED = b'\x00' * 10 + b'\xff\xff'


class Change(msgspec.Struct, frozen=True, array_like=True):
    """All addresses from start to end belong to a site; empty for none.

    ``family`` is 4 or 6. IPv6 addresses are given by their upper 64 bits.
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
            start >>= V6_SHIFT
            end >>= V6_SHIFT
        return cls(parsed.version, start, end, site)


class Delta(msgspec.Struct, frozen=True):
    """Blocks added, changed and removed between two tables.

    Changes are applied in order. ``base`` and ``digest`` are the digests
    of the table before and after.
    """

    base: str
    digest: str
    changes: tuple[Change, ...]


@dataclasses.dataclass(slots=True)
class ClientBlocks:
    """Sites by client address, IPv4 and IPv6 in tables of their own.

    :param sites: names by the byte used in the tables. New sites are added
        at the end.
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
        refused = blocks.refusal(ordered)
        if refused is not None:
            return Err(refused)
        for earlier, later in itertools.pairwise(ordered):
            if earlier.family == later.family and earlier.end >= later.start:
                detail = f'overlapping blocks: {earlier} {later}'
                return Err(Failure(ErrorKind.INVALID_DOCUMENT, detail))
        number_of = blocks.add_sites(ordered)
        for change in ordered:
            table = blocks.table(change.family)
            table.append(change.start, number_of[change.site])
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
        # Written out instead of a call of site_at: a look-up does this once
        # and the call takes a fifth of it.
        table = self.v4
        chunk = table.chunks[bisect_right(table.firsts, address) - 1]
        number = chunk.sites[bisect_right(chunk.starts, address) - 1]
        return None if number == NO_SITE else self.sites[number]

    def site_of_v6(self, client: str) -> str | None:
        """Return the site of an IPv6 address or a mapped IPv4 address.

        :raises OSError: the text is no IPv6 address.
        """
        packed = socket.inet_pton(AF_INET6, client)
        if packed.startswith(V4_MAPPED):
            found = self.v4.site_at(int.from_bytes(packed[12:]))
        else:
            found = self.v6.site_at(int.from_bytes(packed[:8]))
        return None if found == NO_SITE else self.sites[found]

    def apply(self, delta: Delta) -> Result[Iterator[int], Failure]:
        """Check a delta and return the steps that apply it.

        Look-ups may be made between the steps and see each block either
        before or after its change. Nothing is changed when the delta is
        refused.
        """
        refused = self.refusal(delta.changes)
        if refused is not None:
            return Err(refused)
        return Ok(self.steps(delta, self.add_sites(delta.changes)))

    def refusal(self, changes: Sequence[Change]) -> Failure | None:
        """Return why changes cannot be applied."""
        names = {change.site for change in changes if change.site}
        if len(names.union(self.sites)) > MAX_SITES:
            detail = f'more than {MAX_SITES} sites'
            return Failure(ErrorKind.INVALID_DOCUMENT, detail)
        for change in changes:
            if not self.is_valid(change):
                detail = f'no address range: {change}'
                return Failure(ErrorKind.INVALID_DOCUMENT, detail)
        return None

    def add_sites(self, changes: Sequence[Change]) -> dict[str, int]:
        """Add the sites that are new and return all numbers by name."""
        names = {change.site for change in changes if change.site}
        self.sites.extend(sorted(names.difference(self.sites)))
        numbers = {name: index for index, name in enumerate(self.sites)}
        return numbers | {'': NO_SITE}

    def steps(
        self,
        delta: Delta,
        number_of: Mapping[str, int],
    ) -> Iterator[int]:
        """Apply a checked delta; yield the count after every few changes."""
        for count, change in enumerate(delta.changes, 1):
            table = self.table(change.family)
            number = number_of[change.site]
            table.set_range(change.start, change.end, number)
            if count % STEP_CHANGES == 0:
                yield count

    def table(self, family: int) -> RangeMap:
        """Return the table of an address family, 4 or 6."""
        return self.v4 if family == 4 else self.v6

    def is_valid(self, change: Change) -> bool:
        """Tell whether a change names addresses of its family."""
        if change.family not in {4, 6}:
            return False
        last = self.table(change.family).last_address
        return 0 <= change.start <= change.end and change.end <= last
