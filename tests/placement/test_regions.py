"""Division of a region's objects among the upstreams of all regions."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretmill.placement.regions import (
    MIN_WEIGHT,
    capacity_weights,
    demand_fractions,
)

REGIONS = ('small', 'west', 'east')
SLOTS = {'small': 6, 'west': 30, 'east': 30}
EQUAL = dict.fromkeys(REGIONS, 1 / 3)


def placed_fractions(origin, fractions, slots):
    """Return the part of a region's objects that each region gets."""
    weights = capacity_weights(origin, fractions, slots)
    total = sum(weights[region] * slots[region] for region in slots)
    return {region: weights[region] * slots[region] / total for region in slots}


def test_region_with_capacity_keeps_its_own_objects():
    """Guards against round trips to another region without need."""
    placed = placed_fractions('west', EQUAL, SLOTS)
    assert placed['west'] == pytest.approx(1, abs=0.01)


def test_region_without_capacity_passes_the_excess_on():
    """Guards against overloading the few upstreams of a small region."""
    placed = placed_fractions('small', EQUAL, SLOTS)
    assert placed['small'] == pytest.approx(3 * 6 / 66, rel=0.01)
    assert placed['west'] == pytest.approx(placed['east'])


def test_unknown_demand_spreads_objects_over_all_slots():
    """Guards against a division by a demand that was not measured."""
    assert capacity_weights('west', {}, SLOTS) == dict.fromkeys(SLOTS, 1.0)


def test_region_without_upstreams_uses_the_others():
    """Guards against callers of a region whose upstreams are all lost."""
    slots = {'west': 30, 'east': 30}
    placed = placed_fractions('small', EQUAL, slots)
    assert placed == pytest.approx({'west': 0.5, 'east': 0.5})


@given(
    st.lists(st.floats(0, 1000), min_size=3, max_size=3),
    st.lists(st.integers(1, 300), min_size=3, max_size=3),
)
def test_every_slot_gets_the_same_demand(rates, slot_counts):
    """Guards against regions that are overloaded while others are idle."""
    fractions = demand_fractions(dict(zip(REGIONS, rates, strict=True)))
    slots = dict(zip(REGIONS, slot_counts, strict=True))
    assert sum(fractions.values()) == pytest.approx(1)
    load = dict.fromkeys(REGIONS, 0.0)
    for origin in REGIONS:
        placed = placed_fractions(origin, fractions, slots)
        for region in REGIONS:
            load[region] += fractions[origin] * placed[region]
    total = sum(slot_counts)
    for region in REGIONS:
        excess = load[region] - slots[region] / total
        assert excess < len(REGIONS) * MIN_WEIGHT
