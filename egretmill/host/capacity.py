"""Computes the capacity of a host. No I/O."""

import dataclasses

__all__ = ('Capacity',)

#: Processor time of one request, its part of heartbeats and logs included, in
#: core seconds (docs/machines.md: 0.08 of a core at 35 requests per second).
REQUEST_CPU_S = 0.0023
#: Bytes of one request and its response that pass the link in one direction:
#: from the caller and again to the upstream (users' sheets: 6.5 KB each).
REQUEST_BYTES = 13_000
BYTES_PER_MEGABIT = 125_000


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
        by_link = self.link_mbps * BYTES_PER_MEGABIT / REQUEST_BYTES
        return min(by_processor, by_link)
