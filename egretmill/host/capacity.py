"""Computes the capacity of a host. No I/O."""

import dataclasses
from collections.abc import Mapping

__all__ = ('Capacity', 'find_large')

#: Processor time of one request, its part of heartbeats and logs included, in
#: core seconds (docs/machines.md: 0.08 of a core at 35 requests per second).
REQUEST_CPU_S = 0.0023
#: Bytes of one request and its response that pass the link in one direction:
#: from the caller and again to the upstream (users' sheets: 6.5 KB each).
REQUEST_BYTES = 13_000
BYTES_PER_MEGABIT = 125_000
#: A host counts as large with at least this fraction of the largest host's
#: capacity: a smaller one would be full under an even spread while the others
#: are at a quarter of their load.
MIN_LARGE_RATIO = 0.25
#: Only the large hosts are used if these have this fraction of all capacity.
MIN_LARGE_CAPACITY_FRACTION = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Resources that a machine gives the program.

    :param share: fraction of the time for which it gets its cores.
    :param cores: speed as a multiple of one core.
    :param link_mbps: bandwidth in each direction, in megabits per second.
    """

    share: float = 1
    cores: float = 1
    link_mbps: float = 1000

    @property
    def requests_per_s(self) -> float:
        """Return the requests per second that these resources allow."""
        by_processor = self.share * self.cores / REQUEST_CPU_S
        return min(by_processor, self.link_bytes_per_s / REQUEST_BYTES)

    @property
    def link_bytes_per_s(self) -> float:
        """Return the bandwidth in each direction in bytes per second."""
        return self.link_mbps * BYTES_PER_MEGABIT


def find_large(capacities_per_s: Mapping[str, float]) -> frozenset[str]:
    """Return the hosts that work may be spread over evenly.

    Small hosts are included when the large ones do not have most of the
    capacity, or when the capacity of some host is not known.

    :param capacities_per_s: requests per second by host, 0 for unknown.
    """
    largest = max(capacities_per_s.values(), default=0)
    large = frozenset(
        name
        for name, capacity_per_s in capacities_per_s.items()
        if capacity_per_s >= largest * MIN_LARGE_RATIO
    )
    total = sum(capacities_per_s.values())
    large_total = sum(capacities_per_s[name] for name in large)
    if (
        large_total < total * MIN_LARGE_CAPACITY_FRACTION
        or 0 in capacities_per_s.values()
    ):
        return frozenset(capacities_per_s)
    return large
