"""What callers get when they ask for more than the upstreams bear."""

import pytest

from bench.placing import Load, play

#: Requests per second that fourteen upstreams with six slots bear when they
#: remember all objects: 84 slots over 0.36 s * 0.3.
WARM_CAPACITY_PER_S = 777
PHASE_S = 5.0


@pytest.mark.parametrize('seed', range(3))
def test_overload_does_not_make_all_requests_late(seed):
    """Guards against queues in which every request misses its target.

    The load: twice a service's usual, then 1.3 times what it can bear, with
    seven hosts that know only their own requests and reported loads.
    """
    load = Load((300, 600, 1000, 1000, 300), PHASE_S)
    phases = play(load, seed)
    busy = phases[1]
    assert busy.in_target > 0.6 * busy.asked
    for phase in phases[2:4]:
        assert phase.in_target > 0.75 * WARM_CAPACITY_PER_S * PHASE_S
    after = phases[-1]
    assert after.in_target > 0.95 * after.asked


def test_rejections_of_upstreams_are_rare():
    """Guards against arrivals that upstreams refuse: each is a retry."""
    phases = play(Load((600, 1000), PHASE_S))
    assert all(phase.rejected < 0.01 * phase.asked for phase in phases)


def test_same_seed_same_outcome():
    """Guards against experiments that cannot be repeated."""
    load = Load((300, 600))
    assert play(load, 4) == play(load, 4)
