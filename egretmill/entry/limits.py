"""Limits of routing and streaming from the quota shares of this host."""

import asyncio

from egretmill.document import Environment
from egretmill.quota.holdings import Holdings, Refused

__all__ = ('LinkMeter', 'ShareLimits', 'account_total')

# Wait of a stream when the refill time of its link share is not known.
DEFAULT_LINK_WAIT_S = 0.02
# Upper bound of a wait, so that a loan or a changed share is noticed.
MAX_LINK_WAIT_S = 0.25
MAX_LINK_PART_BYTES = 16384
# Smaller parts cost more processing than they are worth.
MIN_LINK_PART_BYTES = 512


def account_total(account: str) -> str:
    """Return the name of the total of a client account."""
    return f'account/{account}'


def slots_total(service: str, site: str) -> str:
    """Return the name of the concurrency total of a service at a site."""
    return f'slots/{service}/{site}'


def shift_total(from_site: str, to_site: str) -> str:
    """Return the name of the total of requests shifted between two sites."""
    return f'shift/{from_site}/{to_site}'


def link_total(from_region: str, to_region: str) -> str:
    """Return the name of the total of bytes between two regions."""
    return f'link/{from_region}/{to_region}'


class ShareLimits:
    """Returns what this host may use of the fleet-wide totals."""

    def __init__(self, holdings: Holdings) -> None:
        """Read from the holdings of the entry program."""
        self.holdings = holdings

    def free_slots(self, service: str, site: str, now: float) -> int:
        """Return how many more requests this host may run at a site."""
        total = slots_total(service, site)
        return int(self.holdings.available(total, now))

    def allows_shift(self, from_site: str, to_site: str, now: float) -> bool:
        """Return whether one more request may leave its preferred site."""
        return (
            self.holdings.available(shift_total(from_site, to_site), now) >= 1
        )

    def allows_link(
        self,
        from_region: str,
        to_region: str,
        now: float,
    ) -> bool:
        """Return whether the link share has any bytes available."""
        return (
            self.holdings.available(link_total(from_region, to_region), now) > 0
        )


class LinkMeter:
    """Keeps one direction of a link within this host's share."""

    def __init__(
        self,
        holdings: Holdings,
        environment: Environment,
        from_region: str,
        to_region: str,
    ) -> None:
        """Meter a link; within a region or without a link there is no limit."""
        self.holdings = holdings
        self.total = link_total(from_region, to_region)
        self.crosses_declared_link = from_region != to_region and any(
            set(link.regions) == {from_region, to_region}
            for link in environment.document.links
        )

    async def spend(self, size: int) -> None:
        """Take a number of bytes from the share, waiting for refills.

        The bytes are taken in parts, because a share can be smaller than
        a chunk. At its deadline the call cancels the wait.
        """
        was_refused = False
        while size > 0 and self.is_metered():
            now = asyncio.get_running_loop().time()
            part = self.next_part_bytes(size, now)
            taken = self.holdings.try_take(
                self.total, part, now, waited=was_refused
            )
            was_refused = isinstance(taken, Refused)
            if isinstance(taken, Refused):
                wait_s = taken.after_s or DEFAULT_LINK_WAIT_S
                await asyncio.sleep(min(wait_s, MAX_LINK_WAIT_S))
            else:
                size -= part

    def is_metered(self) -> bool:
        """Return whether the link has a limit in the current version."""
        totals = self.holdings.ownership.totals
        if not self.crosses_declared_link or totals is None:
            return False
        return totals.find(self.total) is not None

    def next_part_bytes(self, size: int, now: float) -> int:
        """Return the number of bytes to take next."""
        available = int(self.holdings.available(self.total, now))
        holding = self.holdings.by_total[self.total]
        capacity = int(holding.bucket.limit.capacity)
        min_bytes = min(MIN_LINK_PART_BYTES, max(capacity, 1))
        return min(size, MAX_LINK_PART_BYTES, max(available, min_bytes))
