"""Divides the descriptors of a host between its kinds of connections."""

import dataclasses

__all__ = ('DescriptorPlan',)

#: Fraction for requests of callers that are served at the same time. Each needs
#: a connection to an upstream, besides its caller's.
REQUEST_FRACTION = 0.4
#: Fraction for connections of callers. Those beyond the served requests are
#: idle, or are answered with a refusal at once.
CALLER_FRACTION = 0.5
#: Fraction for connections to each other address of the host; a part of the
#: reserve.
PAGE_CALLER_FRACTION = 0.01
#: Fraction for connections to the directory. Each caller asks it now and then.
DIRECTORY_CALLER_FRACTION = 0.03
#: Smallest number of connections to an address of the host.
MIN_CALLERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorPlan:
    """Largest numbers of connections; the rest of the descriptors is reserved.

    The reserve is for the store, other hosts, look-ups, readiness and files.

    :param requests: requests of callers that are served at the same time.
    :param callers: connections of callers.
    :param upstreams: connections to upstreams, idle ones included.
    :param directory_callers: connections of callers that look up hosts.
    :param page_callers: connections to each of the other addresses.
    """

    requests: int
    callers: int
    upstreams: int
    directory_callers: int
    page_callers: int

    @classmethod
    def from_limit(cls, descriptors: int) -> 'DescriptorPlan':
        """Divide the descriptors that the process may open."""
        requests = int(descriptors * REQUEST_FRACTION)
        return cls(
            requests,
            int(descriptors * CALLER_FRACTION),
            requests,
            max(int(descriptors * DIRECTORY_CALLER_FRACTION), MIN_CALLERS),
            max(int(descriptors * PAGE_CALLER_FRACTION), MIN_CALLERS),
        )
