"""Tests of the placement of callers: balance, load bound, few moves."""

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.lookup.placement import (
    LOAD_FACTOR,
    Candidate,
    Placement,
    caller_bucket,
)

CALLERS = 6000
#: A fleet of 7 hosts in 6 failure domains of 3 regions.
DOMAINS = ('tb-a', 'tb-b', 'ku-a', 'ku-b', 'ba-a', 'ba-b')
REGIONS = {domain: domain[:2] for domain in DOMAINS}
FLEET = tuple(
    Candidate(f'entry-{index}', domain)
    for index, domain in enumerate((*DOMAINS, 'tb-a'), 1)
)


def place(candidates, callers=CALLERS, regions=REGIONS):
    """Return the first host by caller; callers are spread over domains."""
    placement = Placement(candidates, regions, {})
    domains = sorted(regions)
    found = {}
    for number in range(callers):
        bucket = caller_bucket(f'10.0.{number >> 8}.{number & 255}')
        own = domains[number % len(domains)]
        best = placement.choose(own, bucket)[0]
        found[number] = candidates[best].name
    return found


def loads(placed):
    """Return the number of callers by host."""
    return collections.Counter(placed.values())


def test_callers_stay_in_their_domain_while_it_has_capacity():
    """Guards against callers that cross regions without need."""
    placement = Placement(FLEET, REGIONS, {})
    for number in range(100):
        bucket = caller_bucket(str(number))
        assert placement.domains_for_caller('ba-b', bucket)[0] == 'ba-b'


def test_loss_of_any_host_keeps_the_bound():
    """Guards against one host that gets all callers of a lost host.

    Hashing spreads 1,000 callers per host with a standard deviation of
    about 30; three standard deviations are 10%.
    """
    for lost in FLEET:
        remaining = [host for host in FLEET if host is not lost]
        fair = CALLERS / len(remaining)
        assert max(loads(place(remaining)).values()) <= LOAD_FACTOR * fair * 1.1


def test_only_callers_of_the_lost_host_move_within_a_large_domain():
    """Guards against a lost host that moves callers of other hosts."""
    regions = {'fd-1': 'r-1'}
    hosts = [Candidate(f'entry-{index}', 'fd-1') for index in range(20)]
    before = place(hosts, 2000, regions)
    after = place(hosts[1:], 2000, regions)
    for caller, host in before.items():
        if host != 'entry-0':
            assert after[caller] == host
    moved = loads(
        {key: after[key] for key in before if before[key] == 'entry-0'},
    )
    assert len(moved) > 10


def test_share_of_callers_that_move_when_a_host_is_lost():
    """Guards against a placement that reshuffles callers on each change.

    The callers of the lost host must move. The load bound moves others to
    make room for them; together they stay below two fair shares.
    """
    before = place(FLEET)
    for lost in FLEET:
        after = place([host for host in FLEET if host is not lost])
        moved = sum(before[key] != after[key] for key in before)
        assert moved <= 2 * CALLERS / len(FLEET)


def test_weights_are_followed():
    """Guards against weights that are ignored."""
    hosts = (Candidate('small', 'fd-1', 1), Candidate('large', 'fd-1', 3))
    found = loads(place(hosts, CALLERS, {'fd-1': 'r-1'}))
    assert found['large'] / found['small'] == pytest.approx(3, rel=0.15)


def test_callers_without_domain_are_spread_over_all_hosts():
    """Guards against one domain that gets all callers of unknown domain."""
    placement = Placement(FLEET, REGIONS, {})
    found = collections.Counter(
        placement.domains_for_caller('', caller_bucket(str(number)))[0]
        for number in range(CALLERS)
    )
    assert set(found) == set(DOMAINS)
    assert found['tb-a'] / CALLERS == pytest.approx(2 / 7, rel=0.1)


def test_domains_of_the_region_come_before_others():
    """Guards against callers sent to another region before their own."""
    placement = Placement(FLEET, REGIONS, {})
    order = placement.domains_for_caller('ku-a', caller_bucket('caller'))
    assert order[:2] == ('ku-a', 'ku-b')
    assert sorted(order) == sorted(DOMAINS)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.sets(st.sampled_from(FLEET), min_size=1))
def test_every_set_of_hosts_serves_every_caller(candidates):
    """Guards against callers left without a host after losses."""
    ordered = sorted(candidates, key=lambda host: host.name)
    placement = Placement(ordered, REGIONS, {})
    for own in ('', *DOMAINS):
        bucket = caller_bucket(own)
        chosen = placement.choose(own, bucket)
        assert sorted(chosen) == list(range(len(ordered)))


def test_rankings_of_unchanged_domains_are_reused():
    """Guards against ranking all domains again when one host is lost."""
    before = Placement(FLEET, REGIONS, {})
    after = Placement(FLEET[1:], REGIONS, {}, before)
    fresh = Placement(FLEET[1:], REGIONS, {})
    assert after.rankings['ku-a'] is before.rankings['ku-a']
    assert after.rankings['tb-a'] is not before.rankings['tb-a']
    for bucket in range(0, 8192, 100):
        assert after.choose('tb-a', bucket) == fresh.choose('tb-a', bucket)
