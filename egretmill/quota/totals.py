"""Fleet-wide limits, derived from the document and the upstream list."""

import dataclasses
import functools
from collections.abc import Iterator, Mapping, Sequence

from egretmill.document import Environment
from egretmill.wire.messages import UpstreamRecord

__all__ = ('ConcurrencyTotal', 'RateTotal', 'Total', 'Totals')

BYTES_PER_MEGABIT = 125000
#: Burst of a link, as the time in which it carries that many bytes. Queues
#: of long links hold roughly a tenth of a second of traffic.
LINK_BURST_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RateTotal:
    """A limit on a rate per second, with a burst in whole tokens."""

    rate_per_s: float
    burst: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyTotal:
    """A limit on the number of requests in flight."""

    slots: int


Total = RateTotal | ConcurrencyTotal


@dataclasses.dataclass(frozen=True)
class Totals:
    """All totals of one document version and one upstream list.

    Totals are built when they are looked up by name: there are too many
    pairs of sites to build all shift totals in advance.
    """

    environment: Environment
    upstreams: tuple[UpstreamRecord, ...]

    def find(self, name: str) -> Total | None:
        """Return the total of that name, ``None`` when there is none."""
        match name.split('/'):
            case ['account', account]:
                return self._account_total(account)
            case ['link', first, second]:
                return self._link_total(first, second)
            case ['shift', first, second]:
                return self._shift_total(first, second)
            case ['slots', service, site]:
                return self._slot_total(service, site)
        return None

    def owners(self, name: str) -> Sequence[int]:
        """Return the share slots among which a total is divided.

        A link is only used by entry hosts of the two regions that it
        connects, so only their slots own shares of it.
        """
        if not name.startswith('link/'):
            return range(self.environment.share_slots)
        regions = set(name.split('/')[1:])
        linked = [
            index
            for index, domain in enumerate(self.domains)
            if self.environment.region_of_domain(domain) in regions
        ]
        return linked or range(self.environment.share_slots)

    def local_slots(self, name: str) -> Sequence[int]:
        """Return the share slots in the failure domain of a slots total."""
        site = self.environment.sites.get(name.rsplit('/', 1)[1])
        if site is None:
            return ()
        return [
            index
            for index, domain in enumerate(self.domains)
            if domain == site.failure_domain
        ]

    def time_limit_s(self, name: str) -> float:
        """Return how long a request of a slots total may run, in seconds."""
        return self._time_limits_s.get(name.split('/')[1], 0.0)

    def names(self) -> Iterator[str]:
        """Yield the names of all totals."""
        for account in self.environment.accounts:
            yield f'account/{account}'
        for first, second in self._links:
            yield f'link/{first}/{second}'
        for service in self.environment.document.services:
            for site in service.sites:
                yield f'slots/{service.name}/{site}'
        yield from self._shift_names()

    @functools.cached_property
    def domains(self) -> tuple[str, ...]:
        """Return the failure domain of each share slot, in slot order."""
        return tuple(
            domain.name
            for domain in self.environment.document.failure_domains
            for _ in range(domain.share_slots)
        )

    def _shift_names(self) -> Iterator[str]:
        for first in self.environment.sites:
            for second in self.environment.sites:
                if first != second:
                    yield f'shift/{first}/{second}'

    def _account_total(self, name: str) -> Total | None:
        account = self.environment.accounts.get(name)
        return RateTotal(account.rate_per_s, account.burst) if account else None

    def _link_total(self, first: str, second: str) -> Total | None:
        megabits = self._links.get((first, second))
        if megabits is None:
            return None
        rate = megabits * BYTES_PER_MEGABIT
        return RateTotal(rate, max(1, int(rate * LINK_BURST_S)))

    def _shift_total(self, first: str, second: str) -> Total | None:
        sites = self.environment.sites
        if first == second or first not in sites or second not in sites:
            return None
        shift_limit = self.environment.document.shift
        return RateTotal(shift_limit.rate_per_s, shift_limit.burst)

    def _slot_total(self, service: str, site: str) -> Total | None:
        declared = self.environment.services.get(service)
        if declared is None or site not in declared.sites:
            return None
        return ConcurrencyTotal(self._live_slots.get((service, site), 0))

    @functools.cached_property
    def _links(self) -> Mapping[tuple[str, str], float]:
        megabits_by_regions: dict[tuple[str, str], float] = {}
        for link in self.environment.document.links:
            first, second = link.regions
            megabits_by_regions[first, second] = link.megabits_per_s
            megabits_by_regions[second, first] = link.megabits_per_s
        return megabits_by_regions

    @functools.cached_property
    def _time_limits_s(self) -> Mapping[str, float]:
        limits_by_service: dict[str, float] = {}
        for route in self.environment.document.routes:
            limit_s = route.time_limit_ms / 1000
            limits_by_service[route.service] = max(
                limit_s, limits_by_service.get(route.service, 0)
            )
        return limits_by_service

    @functools.cached_property
    def _live_slots(self) -> Mapping[tuple[str, str], int]:
        slots_by_place: dict[tuple[str, str], int] = {}
        for upstream in self.upstreams:
            if upstream.state == 'live':
                place = (upstream.service, upstream.site)
                slots_by_place[place] = (
                    slots_by_place.get(place, 0) + upstream.slots
                )
        return slots_by_place
