"""Divides the memory of a host between its kinds of connections."""

import dataclasses

__all__ = ('MemoryPlan',)

#: Fraction for what callers have sent, and for answers that they have not read.
CALLER_FRACTION = 0.25
#: Fraction for responses of upstreams that are being received.
UPSTREAM_FRACTION = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Largest amounts of memory, in bytes; the rest is for the program.

    :param callers: for all connections of callers.
    :param upstreams: for all responses that are being received.
    """

    callers: int
    upstreams: int

    @classmethod
    def from_limit(cls, memory_bytes: int) -> 'MemoryPlan':
        """Divide the memory that the process may use."""
        return cls(
            int(memory_bytes * CALLER_FRACTION),
            int(memory_bytes * UPSTREAM_FRACTION),
        )
