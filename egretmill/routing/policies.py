"""Policies that choose one upstream of a site."""

import random
import statistics
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import ClassVar

from result import Err, Ok, Result

from egretmill.errors import ErrorKind, Failure
from egretmill.routing.view import UpstreamView

__all__ = (
    'POLICIES',
    'LeastInFlight',
    'LeastLoadLatency',
    'PeakEwma',
    'Policy',
    'TwoChoices',
    'get_policy',
)

#: Latencies up to this factor over the median upstream's count as equal:
#: means of few samples with a long tail differ by as much by chance.
SLOW_FACTOR = 2.5
#: Latency that is assumed before the first answer, in seconds.
UNKNOWN_LATENCY_S = 0.01


class Policy:
    """Base of the policies: the lowest cost wins, ties are random."""

    name: ClassVar[str] = ''

    def choose(
        self,
        views: Sequence[UpstreamView],
        now: float,
        rng: random.Random,
    ) -> UpstreamView:
        """Return one of the views; there is at least one."""
        costs = [self.cost(view, now) for view in views]
        lowest = min(costs)
        best = [
            view
            for view, cost in zip(views, costs, strict=True)
            if cost <= lowest
        ]
        return rng.choice(best)

    def cost(self, view: UpstreamView, now: float) -> float:
        """Return the cost of one more request at an upstream."""
        raise NotImplementedError


class LeastInFlight(Policy):
    """Fewest own requests in flight per slot; uses no report."""

    name = 'least-in-flight'

    def cost(self, view: UpstreamView, now: float) -> float:
        """Return own requests per slot."""
        return (view.in_flight + 1) / max(view.record.slots, 1)


class TwoChoices(LeastInFlight):
    """The better of two random upstreams, by own requests in flight."""

    name = 'two-choices'

    def choose(
        self,
        views: Sequence[UpstreamView],
        now: float,
        rng: random.Random,
    ) -> UpstreamView:
        """Return the better of two random views."""
        pair = rng.sample(views, min(2, len(views)))
        return min(pair, key=lambda view: self.cost(view, now))


class PeakEwma(Policy):
    """Lowest product of peak latency and own requests in flight."""

    name = 'peak-ewma'

    def cost(self, view: UpstreamView, now: float) -> float:
        """Return the expected time to work off the own requests."""
        latency_s = view.latency.peak_at(now) or UNKNOWN_LATENCY_S
        return latency_s * (view.in_flight + 1)


class LeastLoadLatency(Policy):
    """Fewest requests of all hosts per slot, slow upstreams last.

    Reports show the requests of other hosts. The mean latency exposes an
    upstream that reports itself idle while it is slow. Loads are compared
    in whole requests, and the first of equal views is taken, so that the
    router's order keeps hosts apart.
    """

    name = 'least-load-latency'

    def choose(
        self,
        views: Sequence[UpstreamView],
        now: float,
        rng: random.Random,
    ) -> UpstreamView:
        """Return the first view with the lowest cost."""
        means = [view.latency.mean_at(now) for view in views]
        known = [mean_s for mean_s in means if mean_s]
        usual_s = statistics.median_low(known) if known else 0
        costs = [
            _load_cost(view.load(now), view.record.slots, mean_s, usual_s)
            for view, mean_s in zip(views, means, strict=True)
        ]
        return views[costs.index(min(costs))]


def _load_cost(
    load: float,
    slots: int,
    mean_s: float,
    usual_s: float,
) -> float:
    requests = load + 1
    if usual_s and mean_s > SLOW_FACTOR * usual_s:
        requests *= mean_s / usual_s
    return round(requests) / max(slots, 1)


#: All policies by their declared name.
POLICIES: Mapping[str, type[Policy]] = MappingProxyType(
    {
        policy.name: policy
        for policy in (LeastInFlight, TwoChoices, PeakEwma, LeastLoadLatency)
    }
)


def get_policy(name: str) -> Result[Policy, Failure]:
    """Return a new policy by its declared name."""
    found = POLICIES.get(name)
    if found is None:
        known = ', '.join(sorted(POLICIES))
        detail = f'no policy {name!r}; known are {known}'
        return Err(Failure(ErrorKind.NOT_FOUND, detail))
    return Ok(found())
