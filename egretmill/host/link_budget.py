"""Limits the requests that a host takes to what its link can carry."""

from collections.abc import Callable

from egretmill.shares.bucket import Share, TokenBucket

__all__ = ('LinkBudget',)

#: Fraction of the bandwidth for requests that are sent on; the rest is for
#: handshakes, refusals, the store and other hosts.
REQUEST_FRACTION = 0.8
#: Requests may use the bandwidth of this time at once, in seconds. Handshakes
#: wait for as long behind their bytes.
BURST_S = 0.5
#: Heads of a request and its response and the packets of both, in bytes.
MESSAGE_OVERHEAD_BYTES = 1000
#: Expected bytes of a request before any was answered.
INITIAL_REQUEST_BYTES = 6500.0
#: Weight of the latest request in the mean.
MEAN_WEIGHT = 0.05


class LinkBudget:
    """Token bucket of the bytes that requests will bring.

    A request passes the link twice in each direction, from the caller and
    from the upstream, with its body once and the response's once.

    :param mean_bytes: expected bytes of a request in one direction.
    """

    def __init__(
        self, link_bytes_per_s: float, now: Callable[[], float]
    ) -> None:
        """Start with a full bucket.

        :param link_bytes_per_s: bandwidth in each direction.
        """
        rate = link_bytes_per_s * REQUEST_FRACTION
        limit = Share(rate, max(rate * BURST_S, INITIAL_REQUEST_BYTES))
        self.bucket = TokenBucket(now(), limit.capacity, limit)
        self.now = now
        self.mean_bytes = INITIAL_REQUEST_BYTES

    def try_take(self) -> bool:
        """Take the bytes of a request; return whether there were enough."""
        self.bucket.advance(self.now())
        return self.bucket.take(
            min(self.mean_bytes, self.bucket.limit.capacity)
        )

    def give_back(self) -> None:
        """Return the bytes of a request that was not sent on."""
        self.bucket.put_back(self.mean_bytes)

    def record(self, body_bytes: int) -> None:
        """Record a request that was answered.

        :param body_bytes: length of its body and of the response's.
        """
        request_bytes = body_bytes + MESSAGE_OVERHEAD_BYTES
        self.mean_bytes += MEAN_WEIGHT * (request_bytes - self.mean_bytes)
