"""Quota shares of this host as the limits of routing and streaming."""

import asyncio

from egretmill.document import Environment
from egretmill.quota.holdings import Holdings, Refused

__all__ = ('LinkMeter', 'ShareLimits', 'account_total')

# How long a stream waits when its link share has no known time of refill.
LINK_WAIT_S = 0.02
# A longer wait would miss a loan or a change of the share.
LINK_WAIT_MOST_S = 0.25
LINK_PART_BYTES = 16384
# Smaller parts cost more than they move.
LEAST_PART_BYTES = 512


def account_total(account: str) -> str:
    """Return the name of the total of a client account."""
    return f'account/{account}'


def slots_total(service: str, site: str) -> str:
    """Return the name of the total of a service at a site."""
    return f'slots/{service}/{site}'


def shift_total(from_site: str, to_site: str) -> str:
    """Return the name of the total of shifted requests."""
    return f'shift/{from_site}/{to_site}'


def link_total(from_region: str, to_region: str) -> str:
    """Return the name of the total of bytes between two regions."""
    return f'link/{from_region}/{to_region}'


class ShareLimits:
    """Answers what this host may use of the fleet-wide totals."""

    def __init__(self, holdings: Holdings) -> None:
        """Read from the holdings of the entry program."""
        self.holdings = holdings

    def free_slots(self, service: str, site: str, now: float) -> int:
        """Return how many more requests this host may run at a site."""
        total = slots_total(service, site)
        return int(self.holdings.available(total, now))

    def allows_shift(self, from_site: str, to_site: str, now: float) -> bool:
        """Tell whether one more request may leave its preferred site."""
        return (
            self.holdings.available(shift_total(from_site, to_site), now) >= 1
        )

    def allows_link(
        self,
        from_region: str,
        to_region: str,
        now: float,
    ) -> bool:
        """Tell whether the link share has anything left."""
        return (
            self.holdings.available(link_total(from_region, to_region), now) > 0
        )


class LinkMeter:
    """Holds one direction of a link inside this host's share."""

    def __init__(
        self,
        holdings: Holdings,
        environment: Environment,
        from_region: str,
        to_region: str,
    ) -> None:
        """Meter nothing within a region or on an undeclared link."""
        self.holdings = holdings
        self.total = link_total(from_region, to_region)
        self.metered = from_region != to_region and any(
            set(link.regions) == {from_region, to_region}
            for link in environment.document.links
        )

    async def spend(self, size: int) -> None:
        """Wait until a number of bytes fits into the share.

        The bytes are taken in parts, because a share can be smaller than
        a chunk. The wait ends with the deadline of the call, which cancels
        it.
        """
        waited = False
        while size > 0 and self.is_metered():
            now = asyncio.get_running_loop().time()
            part = self.part_of(size, now)
            taken = self.holdings.try_take(self.total, part, now, waited=waited)
            waited = isinstance(taken, Refused)
            if isinstance(taken, Refused):
                wait_s = taken.after_s or LINK_WAIT_S
                await asyncio.sleep(min(wait_s, LINK_WAIT_MOST_S))
            else:
                size -= part

    def is_metered(self) -> bool:
        """Tell whether the link still has a limit; versions change."""
        totals = self.holdings.ownership.totals
        if not self.metered or totals is None:
            return False
        return totals.find(self.total) is not None

    def part_of(self, size: int, now: float) -> int:
        """Return how many bytes to take at once."""
        at_hand = int(self.holdings.available(self.total, now))
        holding = self.holdings.by_total[self.total]
        capacity = int(holding.bucket.limit.capacity)
        least = min(LEAST_PART_BYTES, max(capacity, 1))
        return min(size, LINK_PART_BYTES, max(at_hand, least))
