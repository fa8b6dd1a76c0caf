"""Throughput and latency when callers exceed the upstreams' capacity."""

import pytest

from bench.placing import Load, simulate

#: Capacity in requests per second of 14 upstreams with 6 slots each that are
#: warm for all objects: 84 slots / (0.36 s * 0.3).
WARM_CAPACITY_PER_S = 777
PHASE_S = 5.0


@pytest.mark.parametrize('seed', range(3))
def test_overload_does_not_make_all_requests_late(seed):
    """Guards against long queues that make every request miss its target.

    The load rises to twice the usual rate, then to 1.3 times the capacity,
    with 7 hosts that know only their own requests and the reported loads.
    """
    load = Load((300, 600, 1000, 1000, 300), PHASE_S)
    phases = simulate(load, seed)
    busy = phases[1]
    assert busy.in_target > 0.6 * busy.asked
    for phase in phases[2:4]:
        assert phase.in_target > 0.75 * WARM_CAPACITY_PER_S * PHASE_S
    after = phases[-1]
    assert after.in_target > 0.95 * after.asked


def test_rejections_of_upstreams_are_rare():
    """Guards against rejections by upstreams, each of which costs a retry."""
    phases = simulate(Load((600, 1000), PHASE_S))
    assert all(phase.rejected < 0.01 * phase.asked for phase in phases)


def test_same_seed_same_outcome():
    """Guards against simulations that are not reproducible."""
    load = Load((300, 600))
    assert simulate(load, 4) == simulate(load, 4)
