"""Divides the descriptors of a host between its kinds of connections."""

import dataclasses

__all__ = ('DescriptorPlan',)

#: Fraction for requests of callers that are served at the same time. Each needs
#: a connection to an upstream, besides its caller's.
REQUEST_FRACTION = 0.4
#: Fraction for connections of callers. Those beyond the served requests are
#: idle, or are answered with a refusal at once.
CALLER_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """Largest numbers of connections; the rest of the descriptors is reserved.

    The reserve is for the store, other hosts, look-ups, readiness and files.

    :param requests: requests of callers that are served at the same time.
    :param callers: connections of callers.
    :param upstreams: connections to upstreams, idle ones included.
    """

    requests: int
    callers: int
    upstreams: int

    @classmethod
    def from_limit(cls, descriptors: int) -> 'DescriptorPlan':
        """Divide the descriptors that the process may open."""
        requests = int(descriptors * REQUEST_FRACTION)
        return cls(requests, int(descriptors * CALLER_FRACTION), requests)
