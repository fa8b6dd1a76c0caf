"""The fraction of fleet-wide limits that a host owns by the roster."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.shares.roster import (
    ROSTER_LEASE_S,
    STALE_FRACTION,
    FleetShare,
    owners_of,
)

NOW = 1000.0


def active_share(host, members, now=NOW):
    """Return the share of a host that has joined and may use it."""
    share = FleetShare(host)
    share.apply_roster(members, now, now)
    share.record_joined(now - ROSTER_LEASE_S, 0)
    return share


def test_fractions_of_all_hosts_add_up_to_one():
    """Guards against fractions that do not add up to one."""
    members = ('a', 'b', 'c', 'd')
    fractions = [active_share(name, members).fraction(NOW) for name in members]
    assert fractions == [0.25] * 4


def test_new_host_waits_for_the_lease_of_the_others():
    """Guards against a new fraction while others count fewer hosts."""
    share = FleetShare('b')
    share.apply_roster(('a', 'b'), NOW, NOW)
    share.record_joined(NOW, ROSTER_LEASE_S)
    assert share.fraction(NOW + ROSTER_LEASE_S) == 0
    share.freshness.confirm(NOW + ROSTER_LEASE_S)
    assert share.fraction(NOW + ROSTER_LEASE_S + 1) == pytest.approx(0.5)


def test_new_host_starts_when_all_others_know_it():
    """Guards against a wait that is longer than needed."""
    share = FleetShare('b')
    share.apply_roster(('a', 'b'), NOW, NOW)
    share.record_joined(NOW, ROSTER_LEASE_S)
    share.record_known_by_all(NOW + 0.5)
    assert share.fraction(NOW + 0.5) == pytest.approx(0.5)


def test_restarted_host_waits_for_the_end_of_its_loans():
    """Guards against using a fraction that a previous run has lent."""
    share = FleetShare('b')
    share.apply_roster(('a', 'b'), NOW, NOW)
    share.record_joined(NOW, 1.0, min_wait_s=1.0)
    share.record_known_by_all(NOW + 0.1)
    assert share.fraction(NOW + 0.9) == 0
    assert share.fraction(NOW + 1.3) == pytest.approx(0.5)


def test_time_until_the_fraction_is_active_is_known():
    """Guards against a Retry-After that is longer than the wait."""
    share = FleetShare('b')
    assert share.active_in_s(NOW) is None
    share.record_joined(NOW, 1.0, min_wait_s=1.0)
    assert share.active_in_s(NOW + 0.5) == pytest.approx(0.7)
    assert share.active_in_s(NOW + 2) is None


def test_fraction_of_a_removed_host_is_taken_over_late():
    """Guards against two users of one fraction.

    A host that was removed from the roster may still be running.
    """
    share = active_share('a', ('a', 'b'))
    share.apply_roster(('a',), NOW, NOW)
    assert share.fraction(NOW + ROSTER_LEASE_S) == pytest.approx(0.5)
    share.freshness.confirm(NOW + ROSTER_LEASE_S + 1)
    assert share.fraction(NOW + ROSTER_LEASE_S + 1) == pytest.approx(1.0)


def test_stale_roster_ends_the_fraction():
    """Guards against hosts that do not know of a new host yet."""
    share = active_share('a', ('a', 'b'))
    assert not share.fraction(NOW + ROSTER_LEASE_S + 0.1)


def test_stale_roster_halves_the_fraction_where_serving_continues():
    """Guards against refusing all requests in a long outage of the store."""
    share = active_share('a', ('a', 'b'))
    share.stale_fraction = STALE_FRACTION
    assert share.fraction(NOW + ROSTER_LEASE_S + 0.1) == pytest.approx(0.25)


def test_host_outside_the_roster_has_no_fraction():
    """Guards against a removed host that is still running."""
    assert active_share('x', ('a', 'b')).fraction(NOW) == 0


def apply_step(shares, roster, action, name, now):
    """Add a host, remove one, or let one read the roster."""
    if action == 'add' and name not in shares:
        roster.add(name)
        shares[name] = joining_share(name, roster, now)
    elif action == 'remove' and len(roster) > 1:
        roster.discard(name)
    elif shares.get(name):
        shares[name].apply_roster(roster, now, now)


def joining_share(name, roster, now):
    """Return the share of a host that has just written its entry."""
    share = FleetShare(name)
    share.record_joined(now, ROSTER_LEASE_S)
    share.apply_roster(roster, now, now)
    return share


def test_few_owners_divide_a_small_limit():
    """Guards against fractions that amount to less than a token."""
    members = [f'h{number}' for number in range(32)]
    shares = [active_share(name, members) for name in members]
    fractions = [share.fraction_of('acct', 3, NOW) for share in shares]
    assert sorted(fractions)[-4:] == pytest.approx([0, 1 / 3, 1 / 3, 1 / 3])


def test_joining_host_moves_one_owner_at_most():
    """Guards against rates that stay unused after each join."""
    members = frozenset(f'h{number}' for number in range(10))
    for account in range(20):
        name = f'a{account}'
        before = set(owners_of(name, 3, members))
        after = set(owners_of(name, 3, members | {'new'}))
        assert len(before - after) <= 1


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.05, 8),
            st.sampled_from(('add', 'remove', 'read', 'read', 'read')),
            st.integers(0, 5),
        ),
        max_size=30,
    ),
)
def test_fractions_never_add_up_to_more_than_one(steps):
    """Guards against fractions that add up to more than one.

    Hosts join, are removed and read the roster in any order.
    """
    now = NOW
    roster = {'h0', 'h1'}
    shares = {name: active_share(name, roster) for name in roster}
    for wait_s, action, index in steps:
        now += wait_s
        apply_step(shares, roster, action, f'h{index}', now)
        fractions = [share.fraction(now) for share in shares.values()]
        assert sum(fractions) <= 1 + 1e-9
        for name in ('a', 'b', 'c'):
            fractions_of_limit = [
                share.fraction_of(name, 2, now) for share in shares.values()
            ]
            assert sum(fractions_of_limit) <= 1 + 1e-9


def test_hosts_without_callers_own_no_limit_of_an_upstream():
    """Guards against parts of a limit that nobody uses."""
    members = [f'h{number}' for number in range(32)]
    large = members[:12]
    owned = []
    for name in members:
        share = FleetShare(name)
        share.record_joined(NOW - 60, 0)
        share.apply_roster(members, NOW, NOW, large)
        owned.append(share.fraction_of_upstream('u1', 8, NOW))
    assert sum(owned) == pytest.approx(1)
    assert not any(owned[len(large) :])


def test_host_that_becomes_an_owner_waits_for_the_previous_ones():
    """Guards against parts that add up to more than one during a change."""
    share = FleetShare('a')
    share.record_joined(NOW - 60, 0)
    share.apply_roster(('a', 'b', 'c'), NOW, NOW, ('b', 'c'))
    share.apply_roster(('a', 'b', 'c'), NOW, NOW, ('a',))
    assert share.fraction_of_upstream('u1', 2, NOW) == 0
    later = NOW + ROSTER_LEASE_S + 1
    share.freshness.confirm(later)
    assert share.fraction_of_upstream('u1', 2, later) == 1
