"""Sites as candidates: order of preference, capacity, caps and budgets."""

import dataclasses
import enum
import random
from typing import Protocol

from egretmill.document import Environment
from egretmill.routing.upstreams import UpstreamTable
from egretmill.routing.view import DrainSource, UpstreamStatus, UpstreamView

__all__ = (
    'Limits',
    'SiteStatus',
    'SiteView',
    'Tier',
    'should_spill_over',
    'site_order',
)

#: Utilisation of the own capacity from which requests spill over to the next
#: site of the same region. At full utilisation, all of them do.
SPILLOVER_START = 0.8
#: Sources of drains that all hosts know. The quota totals already exclude
#: upstreams that these drain.
FLEET_WIDE_SOURCES = frozenset((DrainSource.DOCUMENT, DrainSource.HOST_LIST))


class Limits(Protocol):
    """Limits of this host; a check reserves nothing."""

    def free_slots(self, service: str, site: str, now: float) -> int:
        """Return how many more requests this host may send to a site."""
        raise NotImplementedError

    def allows_shift(self, from_site: str, to_site: str, now: float) -> bool:
        """Return whether the shift cap allows one more request."""
        raise NotImplementedError

    def allows_link(
        self,
        from_region: str,
        to_region: str,
        now: float,
    ) -> bool:
        """Return whether the link budget allows one more request."""
        raise NotImplementedError


class Tier(enum.IntEnum):
    """Distance of a site from this host, nearest first.

    The nearest site is the preferred one; using another counts as a shift.
    """

    PREFERRED = 0
    SAME_DOMAIN = 1
    SAME_REGION = 2
    OTHER_REGION = 3


class SiteStatus(enum.StrEnum):
    """Whether a site can take a request, or why not."""

    OPEN = 'open'
    NO_UPSTREAM = 'no usable upstream'
    SHEDDING = 'the whole site sheds load'
    NO_FREE_SLOTS = 'no slots free for this host'
    NO_REDUCED_CAPACITY = 'no slots free at the reduced capacity'
    SHIFT_CAP = 'shift cap reached'
    LINK_BUDGET = 'link budget reached'
    AT_LIMIT = 'all upstreams are at their limit'


@dataclasses.dataclass(slots=True)
class SiteView:
    """One site as a candidate for one request.

    :param free: free slots within this host's limits.
    :param running: requests of this host in flight at the site.
    :param capacity: this host's slots, reduced for ejected and cold
        upstreams.
    :param views: upstreams that can take the request.
    """

    name: str
    region: str
    tier: Tier
    free: int
    running: int
    capacity: int
    views: list[UpstreamView]
    status: SiteStatus = SiteStatus.OPEN

    @property
    def utilisation(self) -> float:
        """Return the used part of this host's capacity."""
        if self.capacity <= 0:
            return 1
        return min(1, self.running / self.capacity)


@dataclasses.dataclass(frozen=True, slots=True)
class SiteEvaluator:
    """Evaluates sites for one decision.

    :param preferred: name of the preferred site.
    :param from_region: region of this host.
    :param exclude: names of upstreams that were already tried.
    :param idempotent: the request may be a probe.
    :param with_slow_start: limit cold upstreams to their slow-start level.
    """

    table: UpstreamTable
    limits: Limits
    service: str
    preferred: str
    from_region: str
    now: float
    exclude: frozenset[str]
    idempotent: bool = True
    with_slow_start: bool = True

    def evaluate(self, name: str, region: str, tier: Tier) -> SiteView:
        """Return a site with its capacity and status."""
        upstreams = self.table.upstreams_at(self.service, name)
        capacities = [
            view.capacity(self.now, with_slow_start=self.with_slow_start)
            for view in upstreams
        ]
        running = sum(view.in_flight for view in upstreams)
        free = self.limits.free_slots(self.service, name, self.now)
        site = SiteView(
            name,
            region,
            tier,
            free,
            running,
            _capacity(upstreams, sum(capacities), free + running),
            list(filter(self.can_send_to, upstreams)),
        )
        in_use = [
            view
            for view, capacity in zip(upstreams, capacities, strict=True)
            if capacity
        ]
        site.status = self._status_of(site, in_use)
        return site

    def can_send_to(self, view: UpstreamView) -> bool:
        """Return whether an upstream can take the request."""
        if view.record.name in self.exclude:
            return False
        status = view.status(
            self.now,
            with_slow_start=self.with_slow_start,
            idempotent=self.idempotent,
        )
        return status in {UpstreamStatus.USABLE, UpstreamStatus.STALLED}

    def _status_of(
        self,
        site: SiteView,
        in_use: list[UpstreamView],
    ) -> SiteStatus:
        if in_use and all(view.is_shedding(self.now) for view in in_use):
            return SiteStatus.SHEDDING
        if not site.views:
            remaining = [v for v in in_use if v.record.name not in self.exclude]
            return SiteStatus.AT_LIMIT if remaining else SiteStatus.NO_UPSTREAM
        if site.free <= 0:
            return SiteStatus.NO_FREE_SLOTS
        if site.running >= site.capacity:
            return SiteStatus.NO_REDUCED_CAPACITY
        return self._shift_status(site)

    def _shift_status(self, site: SiteView) -> SiteStatus:
        if site.name == self.preferred:
            return self._link_status(site)
        if not self.limits.allows_shift(self.preferred, site.name, self.now):
            return SiteStatus.SHIFT_CAP
        return self._link_status(site)

    def _link_status(self, site: SiteView) -> SiteStatus:
        if site.region == self.from_region:
            return SiteStatus.OPEN
        if self.limits.allows_link(self.from_region, site.region, self.now):
            return SiteStatus.OPEN
        return SiteStatus.LINK_BUDGET


def _capacity(
    upstreams: list[UpstreamView], usable_slots: float, own_slots: int
) -> int:
    listed_slots = sum(
        view.record.slots
        for view in upstreams
        if not view.drains & FLEET_WIDE_SOURCES
    )
    if not listed_slots:
        return 0
    # At least one request must be possible: the only upstream may need a
    # probe.
    return max(1, int(own_slots * usable_slots / listed_slots))


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
    ordered = []
    for name in declared.sites:
        region = environment.region_of_site(name)
        tier = Tier.OTHER_REGION
        if environment.sites[name].failure_domain == host_domain:
            tier = Tier.SAME_DOMAIN
        elif region == host_region:
            tier = Tier.SAME_REGION
        ordered.append((tier, name, region))
    ordered.sort(key=lambda row: row[0])
    _, preferred, region = ordered[0]
    return [(Tier.PREFERRED, preferred, region), *ordered[1:]]


def should_spill_over(site: SiteView, rng: random.Random) -> bool:
    """Return whether to consider further sites although this one is open.

    The probability rises with the utilisation of the site, so that load
    moves gradually and not only when the last slot is taken.
    """
    probability = (site.utilisation - SPILLOVER_START) / (1 - SPILLOVER_START)
    return rng.random() < probability
