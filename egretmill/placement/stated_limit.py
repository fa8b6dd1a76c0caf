"""The rate that an upstream in need states for all hosts together. No I/O.

A few hosts own a part of the rate each, by the roster; the others send the
upstream nothing while it states a limit. Times are boot times in seconds.
"""

import dataclasses

from egretmill.shares.bucket import Share, TokenBucket
from egretmill.shares.roster import FleetShare, owners_of

__all__ = (
    'RateStatement',
    'StatedLimit',
    'StatedRate',
    'announces_limit',
    'host_rate_per_s',
)

#: Rate of one owner below which a rate is divided by fewer hosts, in requests
#: per second: with little demand at each owner, saved-up requests are lost.
MIN_OWNER_RATE_PER_S = 1.0
#: Owners of the smallest rates; one may be lost.
MIN_OWNERS = 2
#: Hosts that tell the others what an upstream states.
ANNOUNCERS = 2
#: Smallest rate that is divided, in requests per second. Without any request,
#: no host would learn of the end of a limit.
MIN_RATE_PER_S = 0.25
#: Time without a renewal after which a host that owns no part of the rate may
#: send again, since the owners may be unable to tell it of the end, in seconds.
RENEWAL_S = 10.0
#: Part of the rate that all such hosts may send together.
UNRENEWED_FRACTION = 0.25
#: A host may save up its rate for this time, in seconds.
BURST_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class StatedRate:
    """What one answer of an upstream says about its limit.

    :param per_s: requests per second from all hosts; ``None`` for no limit.
    """

    per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RateStatement:
    """A stated rate, and when the answer with it arrived at some host."""

    rate: StatedRate
    stated_at: float


@dataclasses.dataclass(slots=True)
class StatedLimit:
    """The limit of one upstream, and what this host may send under it.

    :param statement: the newest one that this host knows, ``None`` at first.
    """

    statement: RateStatement | None = None
    bucket: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(0),
    )

    @property
    def rate_per_s(self) -> float | None:
        """Return the stated rate, ``None`` while there is no limit."""
        return self.statement.rate.per_s if self.statement else None

    @property
    def host_rate_per_s(self) -> float | None:
        """Return the part of this host, ``None`` while there is no limit."""
        return None if self.rate_per_s is None else self.bucket.limit.amount

    def record(self, statement: RateStatement) -> bool:
        """Record a statement unless a newer one is known.

        :return: whether the rate has changed.
        """
        before = self.rate_per_s
        if before is None and statement.rate.per_s is None:
            return False
        current = self.statement
        if current is not None and statement.stated_at <= current.stated_at:
            return False
        self.statement = statement
        if before is None and self.rate_per_s is not None:
            self.bucket = TokenBucket(statement.stated_at)
        return before != self.rate_per_s

    def set_host_rate(self, rate_per_s: float, now: float) -> None:
        """Set what this host may send; saved requests are kept."""
        self.bucket.advance(now)
        capacity = max(rate_per_s * BURST_S, 1.0) if rate_per_s > 0 else 0.0
        self.bucket.apply_limit(Share(rate_per_s, capacity))

    def wait_s(self, now: float) -> float | None:
        """Return when a request may be sent; ``None`` if it is not known."""
        if self.rate_per_s is None:
            return 0.0
        self.bucket.advance(now)
        return self.bucket.wait_s(1)

    def can_send(self, now: float) -> bool:
        """Return whether the limit allows a request now."""
        return self.wait_s(now) == 0

    def record_request(self, now: float) -> None:
        """Count a request that is sent."""
        if self.rate_per_s is not None:
            self.bucket.advance(now)
            self.bucket.take(1)


def host_rate_per_s(
    name: str, statement: RateStatement, share: FleetShare, now: float
) -> float:
    """Return the requests per second that a host may send under a limit.

    :param name: of the upstream; determines which hosts own its rate.
    :param share: the host's part of fleet-wide limits; nothing while it waits
        for its part or cannot confirm the roster.
    """
    if statement.rate.per_s is None:
        return 0.0
    rate_per_s = max(statement.rate.per_s, MIN_RATE_PER_S)
    owners = max(int(rate_per_s / MIN_OWNER_RATE_PER_S), MIN_OWNERS)
    fraction = share.fraction_of_upstream(name, owners, now)
    if fraction or now - statement.stated_at <= RENEWAL_S:
        return rate_per_s * fraction
    return rate_per_s * UNRENEWED_FRACTION * share.fraction(now)


def announces_limit(name: str, share: FleetShare) -> bool:
    """Return whether a host tells the others what an upstream states."""
    return share.host in owners_of(name, ANNOUNCERS, share.candidates)
