"""Choice of the site: preference order, headroom, caps and budgets."""

import dataclasses
import enum
import random
from typing import Protocol

from egretmill.document import Environment
from egretmill.routing.upstreams import UpstreamTable
from egretmill.routing.view import DrainSource, UpstreamView, Verdict

__all__ = ('Limits', 'SiteVerdict', 'SiteView', 'Tier', 'site_order', 'spills')

#: Part of the own concurrency at which requests begin to go to the next
#: site of the same region. They all do when nothing is free.
SPILL_START = 0.8
#: Sources of a drain that every host learns alike, and that the quota
#: totals therefore already leave out.
SHARED_SOURCES = frozenset((DrainSource.DOCUMENT, DrainSource.HOST_LIST))


class Limits(Protocol):
    """What this host may use now; asking takes nothing."""

    def free_slots(self, service: str, site: str, now: float) -> int:
        """Return how many more requests may be in flight at a site."""
        raise NotImplementedError

    def shift_allows(self, from_site: str, to_site: str, now: float) -> bool:
        """Tell whether the shift cap leaves room for one more request."""
        raise NotImplementedError

    def link_allows(
        self,
        from_region: str,
        to_region: str,
        now: float,
    ) -> bool:
        """Tell whether the link budget leaves room."""
        raise NotImplementedError


class Tier(enum.IntEnum):
    """Distance of a site from the deciding host, nearest first.

    The nearest site is the preferred one; leaving it counts as a shift.
    """

    PREFERRED = 0
    SAME_DOMAIN = 1
    SAME_REGION = 2
    OTHER_REGION = 3


class SiteVerdict(enum.StrEnum):
    """Why a site can or cannot take a request."""

    OPEN = 'open'
    NO_UPSTREAM = 'no usable upstream'
    SHEDS = 'the whole site sheds load'
    NO_FREE_SLOTS = 'no slots free for this host'
    REDUCED = 'no slots free at the reduced capacity'
    SHIFT_CAP = 'shift cap reached'
    LINK_BUDGET = 'link budget reached'
    BUSY = 'all upstreams are at their limit'


@dataclasses.dataclass(slots=True)
class SiteView:
    """One site as a candidate for one request.

    :param free: slots that the limits leave to this host.
    :param running: own requests in flight at the site.
    :param capacity: own slots, reduced by failed and cold upstreams.
    :param views: upstreams that may get the request.
    """

    name: str
    region: str
    tier: Tier
    free: int
    running: int
    capacity: int
    views: list[UpstreamView]
    verdict: SiteVerdict = SiteVerdict.OPEN

    @property
    def utilisation(self) -> float:
        """Return the used part of the own capacity."""
        if self.capacity <= 0:
            return 1
        return min(1, self.running / self.capacity)


@dataclasses.dataclass(frozen=True, slots=True)
class SiteReader:
    """Builds site views for one decision.

    :param idempotent: the request may serve as a probe.
    :param ramped: count cold upstreams only as far as their ramp allows.
    """

    table: UpstreamTable
    limits: Limits
    service: str
    preferred: str
    from_region: str
    now: float
    exclude: frozenset[str]
    idempotent: bool = True
    ramped: bool = True

    def read(self, name: str, region: str, tier: Tier) -> SiteView:
        """Return the view of a site."""
        known = self.table.at(self.service, name)
        weights = [view.weight(self.now, ramped=self.ramped) for view in known]
        running = sum(view.in_flight for view in known)
        free = self.limits.free_slots(self.service, name, self.now)
        site = SiteView(
            name,
            region,
            tier,
            free,
            running,
            _capacity(known, sum(weights), free + running),
            list(filter(self.takes, known)),
        )
        in_use = [
            view for view, weight in zip(known, weights, strict=True) if weight
        ]
        site.verdict = self._verdict(site, in_use)
        return site

    def takes(self, view: UpstreamView) -> bool:
        """Tell whether an upstream may get the request."""
        if view.record.name in self.exclude:
            return False
        verdict = view.verdict(
            self.now,
            ramped=self.ramped,
            idempotent=self.idempotent,
        )
        return verdict in {Verdict.USABLE, Verdict.STALLED}

    def _verdict(
        self,
        site: SiteView,
        in_use: list[UpstreamView],
    ) -> SiteVerdict:
        if in_use and all(view.sheds(self.now) for view in in_use):
            return SiteVerdict.SHEDS
        if not site.views:
            left = [v for v in in_use if v.record.name not in self.exclude]
            return SiteVerdict.BUSY if left else SiteVerdict.NO_UPSTREAM
        if site.free <= 0:
            return SiteVerdict.NO_FREE_SLOTS
        if site.running >= site.capacity:
            return SiteVerdict.REDUCED
        return self._border_verdict(site)

    def _border_verdict(self, site: SiteView) -> SiteVerdict:
        if site.name == self.preferred:
            return self._link_verdict(site)
        if not self.limits.shift_allows(self.preferred, site.name, self.now):
            return SiteVerdict.SHIFT_CAP
        return self._link_verdict(site)

    def _link_verdict(self, site: SiteView) -> SiteVerdict:
        if site.region == self.from_region:
            return SiteVerdict.OPEN
        if self.limits.link_allows(self.from_region, site.region, self.now):
            return SiteVerdict.OPEN
        return SiteVerdict.LINK_BUDGET


def _capacity(known: list[UpstreamView], usable: float, share: int) -> int:
    listed = sum(
        view.record.slots for view in known if not view.drains & SHARED_SOURCES
    )
    if not listed:
        return 0
    # One request must always be possible, also as the probe of the only
    # upstream.
    return max(1, int(share * usable / listed))


def site_order(
    environment: Environment,
    service: str,
    host_domain: str,
) -> list[tuple[Tier, str, str]]:
    """Return tier, name and region of the sites, nearest first."""
    declared = environment.services.get(service)
    if declared is None:
        return []
    host_region = environment.region_of_domain(host_domain)
    found = []
    for name in declared.sites:
        region = environment.region_of_site(name)
        tier = Tier.OTHER_REGION
        if environment.sites[name].failure_domain == host_domain:
            tier = Tier.SAME_DOMAIN
        elif region == host_region:
            tier = Tier.SAME_REGION
        found.append((tier, name, region))
    found.sort(key=lambda row: row[0])
    _, preferred, region = found[0]
    return [(Tier.PREFERRED, preferred, region), *found[1:]]


def spills(site: SiteView, rng: random.Random) -> bool:
    """Tell whether a request tries the next site although one is open.

    The probability rises with the use of the site, so that load moves
    gradually and not all at once when the last slot is taken.
    """
    excess = (site.utilisation - SPILL_START) / (1 - SPILL_START)
    return rng.random() < excess
