"""Load-balancing policies that choose one upstream of a site."""

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

#: Mean latencies up to this multiple of the median upstream's count as equal:
#: with few samples and a long tail, means differ by this much by chance.
SLOW_LATENCY_RATIO = 2.5
#: Assumed latency before the first response, in seconds.
DEFAULT_LATENCY_S = 0.01


class Policy:
    """Base class: chooses the lowest cost, at random among ties."""

    name: ClassVar[str] = ''

    def choose(
        self,
        views: Sequence[UpstreamView],
        now: float,
        rng: random.Random,
    ) -> UpstreamView:
        """Choose one of the views, of which there is at least one."""
        costs = [self.cost(view, now) for view in views]
        lowest_cost = min(costs)
        cheapest = [
            view
            for view, cost in zip(views, costs, strict=True)
            if cost <= lowest_cost
        ]
        return rng.choice(cheapest)

    def cost(self, view: UpstreamView, now: float) -> float:
        """Return the cost of sending one more request to an upstream."""
        raise NotImplementedError


class LeastInFlight(Policy):
    """Fewest of this host's requests in flight per slot, without reports."""

    name = 'least-in-flight'

    def cost(self, view: UpstreamView, now: float) -> float:
        """Return this host's requests per slot."""
        return (view.in_flight + 1) / max(view.record.slots, 1)


class TwoChoices(LeastInFlight):
    """Power of two choices, by this host's requests in flight."""

    name = 'two-choices'

    def choose(
        self,
        views: Sequence[UpstreamView],
        now: float,
        rng: random.Random,
    ) -> UpstreamView:
        """Choose the better of two random views."""
        pair = rng.sample(views, min(2, len(views)))
        return min(pair, key=lambda view: self.cost(view, now))


class PeakEwma(Policy):
    """Lowest product of peak latency and this host's requests."""

    name = 'peak-ewma'

    def cost(self, view: UpstreamView, now: float) -> float:
        """Return the expected time until this host's requests are done."""
        latency_s = view.latency.peak_at(now) or DEFAULT_LATENCY_S
        return latency_s * (view.in_flight + 1)


class LeastLoadLatency(Policy):
    """Fewest requests of all hosts per slot; slow upstreams cost more.

    Load reports contain the requests of other hosts. The mean latency
    detects an upstream that reports no load although it is slow. Loads are
    compared in whole requests and the first of equal views is chosen, so
    that the router's rotation sends hosts to different upstreams.
    """

    name = 'least-load-latency'

    def choose(
        self,
        views: Sequence[UpstreamView],
        now: float,
        rng: random.Random,
    ) -> UpstreamView:
        """Choose the first view with the lowest cost."""
        means = [view.latency.mean_at(now) for view in views]
        known_means = [mean_s for mean_s in means if mean_s]
        median_s = statistics.median_low(known_means) if known_means else 0
        costs = [
            _load_cost(view.load(now), view.record.slots, mean_s, median_s)
            for view, mean_s in zip(views, means, strict=True)
        ]
        return views[costs.index(min(costs))]


def _load_cost(
    load: float,
    slots: int,
    mean_s: float,
    median_s: float,
) -> float:
    requests = load + 1
    if median_s and mean_s > SLOW_LATENCY_RATIO * median_s:
        requests *= mean_s / median_s
    return round(requests) / max(slots, 1)


#: All policies by name.
POLICIES: Mapping[str, type[Policy]] = MappingProxyType(
    {
        policy.name: policy
        for policy in (LeastInFlight, TwoChoices, PeakEwma, LeastLoadLatency)
    }
)


def get_policy(name: str) -> Result[Policy, Failure]:
    """Return a new policy by name."""
    policy_class = POLICIES.get(name)
    if policy_class is None:
        known = ', '.join(sorted(POLICIES))
        detail = f'no policy {name!r}; known are {known}'
        return Err(Failure(ErrorKind.NOT_FOUND, detail))
    return Ok(policy_class())
