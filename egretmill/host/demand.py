"""Demand of the callers of each host and region, by service."""

import math
from collections.abc import Iterable, Iterator, Mapping

from egretmill.peers.table import Peer
from egretmill.shares.rate_meter import RateMeter

__all__ = ('ServiceDemand', 'peer_demand', 'sum_by_region')

#: Time constant of the rates. Short, because the upstreams of a region are
#: overloaded while its demand rises unnoticed.
TIME_CONSTANT_S = 2.5


class ServiceDemand:
    """Rates of the requests that this host has admitted, by service."""

    def __init__(self) -> None:
        """Start without any requests."""
        self.meters: dict[str, RateMeter] = {}

    def record(self, service: str, now: float) -> None:
        """Count an admitted request."""
        meter = self.meters.get(service)
        if meter is None:
            meter = RateMeter(TIME_CONSTANT_S, now)
            self.meters[service] = meter
        meter.record(now)

    def rates(self, now: float) -> dict[str, float]:
        """Return the requests per second by service."""
        return {
            service: round(meter.rate_at(now), 2)
            for service, meter in self.meters.items()
        }


def peer_demand(
    peers: Iterable[Peer], now: float
) -> Iterator[tuple[str, Mapping[str, float]]]:
    """Yield the region and the rates by service of each peer.

    The demand of a lost peer decays while its callers appear at other hosts.
    """
    for peer in peers:
        if peer.heartbeat is None:
            continue
        age_s = max(now - peer.last_received_at, 0)
        decay = math.exp(-age_s / TIME_CONSTANT_S)
        yield (
            peer.heartbeat.region,
            {
                service: rate * decay
                for service, rate in peer.heartbeat.demand.items()
            },
        )


def sum_by_region(
    rates_by_host: Iterable[tuple[str, Mapping[str, float]]],
) -> dict[str, dict[str, float]]:
    """Return the rates by service and region, from those of each host."""
    rows = tuple(rates_by_host)
    regions = {region for region, _ in rows}
    totals: dict[str, dict[str, float]] = {}
    for region, rates in rows:
        for service, rate in rates.items():
            by_region = totals.setdefault(service, dict.fromkeys(regions, 0.0))
            by_region[region] += rate
    return totals
