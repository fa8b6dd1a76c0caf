"""Division of a region's objects among the upstreams of all regions.

Answers two loads: callers of one region mostly request the same objects, which
upstreams of that region serve without a long round trip; and regions with many
callers may have few upstreams, so their excess goes to regions with capacity
to spare.
"""

import collections
from collections.abc import Iterable, Mapping

from egretmill.fleet.upstreams import Upstream

__all__ = ('capacity_weights', 'demand_fractions', 'slots_by_region')

#: Requests per second of all regions together that are assumed before any
#: were counted, in equal parts.
PRIOR_DEMAND_PER_S = 20.0
#: Weight of an upstream slot in a region that gets none of the objects; such
#: upstreams come last in the order.
MIN_WEIGHT = 1e-3


def demand_fractions(
    demand_by_region: Mapping[str, float],
) -> dict[str, float]:
    """Return the fraction of the demand that each region's callers have.

    :param demand_by_region: requests per second that the hosts of each region
        receive.
    """
    if not demand_by_region:
        return {}
    prior = PRIOR_DEMAND_PER_S / len(demand_by_region)
    total = sum(demand_by_region.values()) + PRIOR_DEMAND_PER_S
    return {
        region: (demand + prior) / total
        for region, demand in demand_by_region.items()
    }


def slots_by_region(upstreams: Iterable[Upstream]) -> dict[str, int]:
    """Return the slots of upstreams by region."""
    slots: collections.Counter[str] = collections.Counter()
    for upstream in upstreams:
        slots[upstream.region] += upstream.slots
    return dict(slots)


def capacity_weights(
    origin: str,
    fractions: Mapping[str, float],
    slots: Mapping[str, int],
) -> dict[str, float]:
    """Return the weight of a slot by its region, for requests of one region.

    A region serves its own objects up to its fraction of all slots. What
    exceeds it is divided among the regions that have slots to spare, so that
    every slot gets the same demand.

    :param origin: region of the callers.
    :param fractions: demand of each region, as a fraction of the whole.
    :param slots: slots by region of the upstreams that can run the requests.
    """
    demand = fractions.get(origin, 0)
    if not slots or not demand:
        return dict.fromkeys(slots, 1.0)
    total_slots = sum(slots.values())
    capacity = {name: count / total_slots for name, count in slots.items()}
    local = min(1.0, capacity.get(origin, 0) / demand)
    assigned = _divide_excess(1 - local, origin, fractions, capacity)
    assigned[origin] = local
    return {
        name: max(assigned[name] / part, MIN_WEIGHT)
        for name, part in capacity.items()
    }


def _divide_excess(
    excess: float,
    origin: str,
    fractions: Mapping[str, float],
    capacity: Mapping[str, float],
) -> dict[str, float]:
    """Divide the excess of a region in proportion to spare capacity."""
    spare = {
        name: max(part - fractions.get(name, 0), 0)
        for name, part in capacity.items()
    }
    spare[origin] = 0
    total_spare = sum(spare.values()) or 1
    return {name: excess * part / total_spare for name, part in spare.items()}
