"""Loads to simulate: routes, regions, upstreams and their callers."""

import dataclasses
import math
from collections.abc import Mapping
from types import MappingProxyType

__all__ = ('WORKLOADS', 'RegionLoad', 'RouteLoad', 'Workload')


@dataclasses.dataclass(frozen=True, slots=True)
class RouteLoad:
    """Requests of one route.

    :param per_s: requests per second of all callers at a load of 1.
    :param work_s: mean service time at an upstream that is cold for the
        object.
    :param objects: objects that the callers of one region request.
    :param worth: worth of a response within the target.
    :param late_worth: worth of a later one.
    """

    name: str
    per_s: float
    work_s: float
    target_s: float
    timeout_s: float
    objects: int = 24
    priority: int = 0
    worth: float = 1
    late_worth: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class RegionLoad:
    """Callers, hosts and upstreams of one region.

    :param callers: the region's part of all requests, on average.
    :param peak: when its wave of requests is highest, as a part of the period.
    """

    name: str
    callers: float
    hosts: int
    upstreams: int
    peak: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """One service, its routes and the fleet that serves it.

    :param queue: requests that an upstream queues before it rejects others.
    :param memory: objects for which an upstream stays warm.
    :param warm_fraction: service time at a warm upstream, relative to a cold
        one.
    :param spread: standard deviation of the logarithm of the service time.
    :param returns: times that a caller comes back after a refusal.
    :param swing: amplitude of each region's wave of requests.
    """

    routes: tuple[RouteLoad, ...]
    regions: tuple[RegionLoad, ...]
    slots: int = 3
    queue: int = 9
    memory: int = 24
    warm_fraction: float = 0.3
    spread: float = 0.15
    local_rtt_s: float = 0.002
    remote_rtt_s: float = 0.04
    returns: int = 1
    swing: float = 0
    period_s: float = 36

    def caller_weights(self, now: float) -> list[float]:
        """Return the relative demand of each region at a time."""
        return [
            region.callers
            * (1 + self.swing * math.cos(self._phase(region, now)))
            for region in self.regions
        ]

    def round_trip_s(self, region: str, other: str) -> float:
        """Return the round-trip time between two regions."""
        return self.local_rtt_s if region == other else self.remote_rtt_s

    def _phase(self, region: RegionLoad, now: float) -> float:
        return 2 * math.pi * (now / self.period_s - region.peak)


def _make_uneven_regions() -> Workload:
    return Workload(
        routes=(
            RouteLoad('read', 147, 0.36, 0.25, 2, 36, priority=2),
            RouteLoad(
                'book', 60, 0.48, 0.4, 2.5, priority=1, worth=2, late_worth=0.4
            ),
        ),
        regions=(
            RegionLoad('small', 1 / 3, 3, 2, 0.1),
            RegionLoad('west', 1 / 3, 2, 10, 0.43),
            RegionLoad('east', 1 / 3, 2, 10, 0.77),
        ),
        swing=0.55,
    )


def _make_mixed_urgency() -> Workload:
    return Workload(
        routes=(
            RouteLoad('calendar', 51, 0.88, 0.6, 4, priority=2),
            RouteLoad('document', 54, 0.144, 0.15, 0.8, priority=1, worth=2),
        ),
        regions=(
            RegionLoad('small', 1 / 3, 3, 2, 0.1),
            RegionLoad('west', 1 / 3, 2, 6, 0.43),
            RegionLoad('east', 1 / 3, 2, 6, 0.77),
        ),
        swing=0.55,
    )


def _make_one_region() -> Workload:
    return Workload(
        routes=(RouteLoad('board', 300, 0.36, 0.25, 1.2, 66),),
        regions=(RegionLoad('only', 1, 7, 14),),
        slots=6,
        queue=18,
        memory=66,
        local_rtt_s=0.02,
        returns=0,
    )


#: Workloads by the name that the command line takes.
WORKLOADS: Mapping[str, Workload] = MappingProxyType(
    {
        'uneven-regions': _make_uneven_regions(),
        'mixed-urgency': _make_mixed_urgency(),
        'one-region': _make_one_region(),
    }
)
