"""Fleet-wide limits and their derivation from document and upstreams."""

import dataclasses
import functools
from collections.abc import Iterator, Mapping, Sequence

from egretmill.document import Environment
from egretmill.wire.messages import UpstreamRecord

__all__ = ('ConcurrencyTotal', 'RateTotal', 'Total', 'Totals')

BYTES_PER_MEGABIT = 125000
#: A link may carry this much of one second's bytes at once. Queues of long
#: links hold roughly a tenth of a second.
LINK_BURST_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RateTotal:
    """A rate per second and a burst in whole tokens."""

    rate_per_s: float
    burst: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencyTotal:
    """A number of requests in flight."""

    slots: int


Total = RateTotal | ConcurrencyTotal


@dataclasses.dataclass(frozen=True)
class Totals:
    """All totals of one document version and one upstream list.

    Totals are looked up by name and not enumerated: pairs of sites make
    too many shift totals to build them ahead of use.
    """

    environment: Environment
    upstreams: tuple[UpstreamRecord, ...]

    def find(self, name: str) -> Total | None:
        """Return the total of that name, ``None`` when there is none."""
        match name.split('/'):
            case ['account', account]:
                return self._account(account)
            case ['link', first, second]:
                return self._link(first, second)
            case ['shift', first, second]:
                return self._shift(first, second)
            case ['slots', service, site]:
                return self._slots(service, site)
        return None

    def owners(self, name: str) -> Sequence[int]:
        """Return the share slots among which a total is divided.

        A link is only used by entry hosts of the two regions that it
        joins, so only their slots own parts of it.
        """
        if not name.startswith('link/'):
            return range(self.environment.share_slots)
        regions = set(name.split('/')[1:])
        inside = [
            index
            for index, domain in enumerate(self.domains)
            if self.environment.region_of_domain(domain) in regions
        ]
        return inside or range(self.environment.share_slots)

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
        return self._limits.get(name.split('/')[1], 0.0)

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
            row.name
            for row in self.environment.document.failure_domains
            for _ in range(row.share_slots)
        )

    def _shift_names(self) -> Iterator[str]:
        for first in self.environment.sites:
            for second in self.environment.sites:
                if first != second:
                    yield f'shift/{first}/{second}'

    def _account(self, name: str) -> Total | None:
        row = self.environment.accounts.get(name)
        return RateTotal(row.rate_per_s, row.burst) if row else None

    def _link(self, first: str, second: str) -> Total | None:
        megabits = self._links.get((first, second))
        if megabits is None:
            return None
        rate = megabits * BYTES_PER_MEGABIT
        return RateTotal(rate, max(1, int(rate * LINK_BURST_S)))

    def _shift(self, first: str, second: str) -> Total | None:
        sites = self.environment.sites
        if first == second or first not in sites or second not in sites:
            return None
        cap = self.environment.document.shift
        return RateTotal(cap.rate_per_s, cap.burst)

    def _slots(self, service: str, site: str) -> Total | None:
        row = self.environment.services.get(service)
        if row is None or site not in row.sites:
            return None
        return ConcurrencyTotal(self._capacity.get((service, site), 0))

    @functools.cached_property
    def _links(self) -> Mapping[tuple[str, str], float]:
        found: dict[tuple[str, str], float] = {}
        for row in self.environment.document.links:
            first, second = row.regions
            found[first, second] = row.megabits_per_s
            found[second, first] = row.megabits_per_s
        return found

    @functools.cached_property
    def _limits(self) -> Mapping[str, float]:
        found: dict[str, float] = {}
        for route in self.environment.document.routes:
            limit_s = route.time_limit_ms / 1000
            found[route.service] = max(limit_s, found.get(route.service, 0))
        return found

    @functools.cached_property
    def _capacity(self) -> Mapping[tuple[str, str], int]:
        found: dict[tuple[str, str], int] = {}
        for row in self.upstreams:
            if row.state == 'live':
                place = (row.service, row.site)
                found[place] = found.get(place, 0) + row.slots
        return found
