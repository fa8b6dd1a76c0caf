"""Demand by region, from the heartbeats of all hosts."""

import pytest

from egretmill.host.demand import ServiceDemand, peer_demand, sum_by_region
from egretmill.peers import Heartbeat, PeerTable
from tests.host.fakes import make_state, upstream

NOW = 1000.0
ADDRESS = ('10.0.0.2', 7000)


def beat(host, region, **demand):
    """Return the heartbeat of a host."""
    return Heartbeat(
        host, 1, '', '', region, True, NOW, 0, 0, 0, 0, 0, demand=demand
    )


def test_demand_is_summed_by_service_and_region():
    """Guards against objects that are divided by a wrong demand."""
    totals = sum_by_region(
        (('west', {'s': 10.0}), ('west', {'s': 5.0, 't': 1.0}), ('east', {}))
    )
    assert totals == {
        's': {'west': 15, 'east': 0},
        't': {'west': 1, 'east': 0},
    }


def test_demand_of_a_lost_host_decays():
    """Guards against a region that counts callers twice after a loss."""
    peers = PeerTable('h1')
    peers.record_heartbeat(beat('h2', 'west', s=10.0), ADDRESS, NOW)
    fresh = sum_by_region(peer_demand(peers.peers.values(), NOW))
    old = sum_by_region(peer_demand(peers.peers.values(), NOW + 60))
    assert fresh['s']['west'] == pytest.approx(10)
    assert old['s']['west'] < 1


def test_own_demand_is_known_after_a_second():
    """Guards against a restarted host that lowers its region's demand."""
    demand = ServiceDemand()
    for number in range(50):
        demand.record('s', NOW + number / 50)
    assert demand.rates(NOW + 1)['s'] == pytest.approx(50, rel=0.15)


def test_objects_of_a_region_run_there_while_it_has_capacity():
    """Guards against round trips to other regions without need."""
    upstreams = [
        upstream(f'{region}-{number}', region=region)
        for region in ('east', 'west')
        for number in range(5)
    ]
    state = make_state(*upstreams)
    state.pool.apply_demand({'svc': {'east': 100.0, 'west': 100.0}})
    homes = [
        state.pool.preference_order('svc', f'o{number}', frozenset())[0]
        for number in range(100)
    ]
    local = [
        home for home in homes if home.record.region == state.settings.region
    ]
    assert len(local) > 90


def test_small_changes_of_the_demand_keep_the_orders():
    """Guards against objects that move with each heartbeat."""
    state = make_state(upstream('u1'))
    state.pool.apply_demand({'svc': {'east': 1000.0, 'west': 1000.0}})
    first = state.pool.preference_order('svc', 'o', frozenset())
    state.pool.apply_demand({'svc': {'east': 1005.0, 'west': 1000.0}})
    assert state.pool.preference_order('svc', 'o', frozenset()) is first
