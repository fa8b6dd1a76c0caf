"""Confirmation of versions and the lowest version still in use."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.membership.confirmation import Confirmation
from egretmill.wire.messages import Heartbeat, HostRecord, PeerState

LEASE_END_S = 4204.2


@pytest.fixture
def confirmation():
    """Return host ``a`` with version 3 applied, read at 0 s."""
    aggregate = Confirmation('a')
    aggregate.record_platform_read(3, 0, 0.1)
    aggregate.apply_version(3, 0.1)
    return aggregate


def peer(name, incarnation=1, version=3, reachable=True):
    """Return the state of a peer."""
    host = HostRecord(name, 'fd-1', '127.0.0.1', 1, 2, 3, 4)
    return PeerState(host, incarnation, version, reachable, False, True)


def outage_heartbeat(make_heartbeat, host, slot_index, **fields):
    """Return the heartbeat of a host that does not reach the platform."""
    defaults = {'version': 3, 'platform_age_s': 10, 'confirmation_age_s': 10}
    return make_heartbeat(
        host=host, slot_index=slot_index, **(defaults | fields)
    )


def test_own_read_confirms_as_of_its_sending(confirmation):
    """Guards against a slow answer that counts as fresh."""
    confirmation.record_platform_read(3, 5, 9)
    assert confirmation.applied_confirmed_at == 5


def test_age_of_a_peer_counts_from_before_the_request(
    confirmation, make_heartbeat
):
    """Guards against a confirmation that looks younger than it is.

    The time in flight of request and answer must not be left out.
    """
    heartbeat = make_heartbeat(version=3, confirmation_age_s=2)
    confirmation.receive_heartbeat(heartbeat, 10, 14)
    assert confirmation.applied_confirmed_at == 8


def test_heartbeat_that_came_as_a_request_confirms_nothing(
    confirmation,
    make_heartbeat,
):
    """Guards against a confirmation from a request delayed in a buffer."""
    confirmation.receive_heartbeat(make_heartbeat(version=3), None, 10)
    assert confirmation.applied_confirmed_at == 0


@pytest.mark.parametrize('age_s', [math.nan, -1, math.inf])
def test_impossible_ages_confirm_nothing(confirmation, make_heartbeat, age_s):
    """Guards against a peer whose clock or memory is broken."""
    confirmation.receive_heartbeat(
        make_heartbeat(version=3, confirmation_age_s=age_s), 9, 9
    )
    assert confirmation.applied_confirmed_at == 0


def test_confirmation_of_a_newer_version_does_not_confirm_the_applied_one(
    confirmation,
    make_heartbeat,
):
    """Guards against a superseded version that looks confirmed."""
    assert confirmation.receive_heartbeat(make_heartbeat(version=4), 9, 9)
    assert confirmation.applied_confirmed_at == 0
    assert confirmation.platform_age_s(9) == 0
    assert confirmation.apply_version(4, 9)
    assert confirmation.applied_confirmed_at == 9


def test_lower_version_is_not_applied_or_confirmed(confirmation):
    """Guards against a configuration that reverts."""
    assert not confirmation.record_platform_read(2, 5, 5)
    assert not confirmation.apply_version(2, 5)
    assert (
        confirmation.applied_version,
        confirmation.applied_confirmed_at,
    ) == (3, 0)


def test_outage_rule_renews_up_to_the_earliest_request(
    confirmation,
    make_heartbeat,
):
    """Guards against a connected fleet that an outage makes unconfirmed."""
    confirmation.receive_heartbeat(
        outage_heartbeat(make_heartbeat, 'b', 0), 20, 20.1
    )
    confirmation.receive_heartbeat(
        outage_heartbeat(make_heartbeat, 'c', 1), 20.3, 20.4
    )
    peers = (peer('b'), peer('c'))
    assert confirmation.apply_outage_rule(peers, 2, 20.5)
    assert confirmation.applied_confirmed_at == 20


@pytest.mark.parametrize(
    ('fields', 'peers', 'slots'),
    [
        ({'platform_age_s': 0.4}, (peer('b'), peer('c')), 2),
        ({}, (peer('b'), peer('c', reachable=False)), 2),
        ({}, (peer('b'), peer('c', incarnation=2)), 2),
        ({}, (peer('b'),), 2),
        ({}, (peer('b'), peer('c')), 3),
        ({}, (peer('b'), peer('c'), peer('d')), 2),
    ],
    ids=[
        'reaches the platform',
        'unreachable holder',
        'restarted holder',
        'unknown holder',
        'unknown slot',
        'fresh host not heard',
    ],
)
def test_outage_rule_needs_every_host(
    confirmation,
    make_heartbeat,
    fields,
    peers,
    slots,
):
    """Guards against a promotion through a host that did not report."""
    confirmation.receive_heartbeat(
        outage_heartbeat(make_heartbeat, 'b', 0), 20, 20.1
    )
    confirmation.receive_heartbeat(
        outage_heartbeat(make_heartbeat, 'c', 1, **fields), 20, 20.1
    )
    assert not confirmation.apply_outage_rule(peers, slots, 20.5)
    assert confirmation.applied_confirmed_at <= 10


def test_outage_rule_waits_for_a_pending_promotion(
    confirmation, make_heartbeat
):
    """Guards against a promotion that took effect but lost its answer."""
    confirmation.receive_heartbeat(
        outage_heartbeat(make_heartbeat, 'b', 0), 20, 20.1
    )
    confirmation.begin_promotion()
    assert confirmation.platform_age_s(20.2) == 0
    assert not confirmation.apply_outage_rule((peer('b'),), 1, 20.2)
    confirmation.end_promotion()
    assert confirmation.apply_outage_rule((peer('b'),), 1, 20.2)


def test_outage_report_of_a_restarted_host_needs_a_platform_answer(
    confirmation,
    make_heartbeat,
):
    """Guards against a missed promotion whose agent died before its answer.

    The agent restarts and has not reached the platform since.
    """
    peers = (peer('b', incarnation=2),)
    confirmation.receive_heartbeat(
        make_heartbeat(version=3, slot_index=0), 19, 19.1
    )
    fresh = outage_heartbeat(
        make_heartbeat,
        'b',
        None,
        incarnation=2,
        platform_age_s=math.inf,
    )
    confirmation.receive_heartbeat(fresh, 20, 20.1)
    assert not confirmation.apply_outage_rule(peers, 1, 20.2)
    reached = outage_heartbeat(make_heartbeat, 'b', 0, incarnation=2)
    confirmation.receive_heartbeat(reached, 21, 21.1)
    assert confirmation.apply_outage_rule(peers, 1, 21.2)


def test_outage_report_of_a_host_restarted_in_the_outage_counts(
    confirmation, make_heartbeat
):
    """Guards against a restart in an outage that makes a fleet unconfirmed."""
    confirmation.receive_heartbeat(
        outage_heartbeat(make_heartbeat, 'b', 0), 19, 19.1
    )
    fresh = outage_heartbeat(
        make_heartbeat,
        'b',
        None,
        incarnation=2,
        platform_age_s=math.inf,
    )
    confirmation.receive_heartbeat(fresh, 20, 20.1)
    peers = (peer('b', incarnation=2),)
    assert confirmation.apply_outage_rule(peers, 1, 20.2)


def test_reported_outage_must_exceed_the_time_in_flight(
    confirmation, make_heartbeat
):
    """Guards against an outage that began and ended before the answer came."""
    slow = outage_heartbeat(make_heartbeat, 'b', 0, platform_age_s=4)
    confirmation.receive_heartbeat(slow, 20, 24)
    assert not confirmation.apply_outage_rule((peer('b'),), 1, 24)


def test_settled_version_counts_holders_until_their_lease_ends(
    confirmation,
    make_heartbeat,
):
    """Guards against a share that grows while another host still uses it.

    A holder that no longer answers may still apply the older version.
    """
    heartbeat = make_heartbeat(version=2, slot_index=0)
    confirmation.receive_heartbeat(heartbeat, 10, 10.1)
    assert confirmation.settled_version(11, 1) == 2
    assert confirmation.settled_version(10 + LEASE_END_S - 1, 1) == 2
    assert confirmation.settled_version(10 + LEASE_END_S + 1, 1) == 3


def test_settled_version_follows_the_holder(confirmation, make_heartbeat):
    """Guards against a version that stays unsettled once all apply it."""
    confirmation.receive_heartbeat(
        make_heartbeat(version=2, slot_index=0), 10, 10.1
    )
    confirmation.receive_heartbeat(
        make_heartbeat(version=3, slot_index=0), 11, 11.1
    )
    assert confirmation.settled_version(12, 1) == 3


def test_restarted_holder_counts_with_its_own_version(
    confirmation, make_heartbeat
):
    """Guards against counting a holder with its earlier process's version."""
    confirmation.receive_heartbeat(
        make_heartbeat(version=3, slot_index=0), 10, 10.1
    )
    restarted = make_heartbeat(incarnation=2, version=1, slot_index=0)
    confirmation.receive_heartbeat(restarted, 11, 11.1)
    late = make_heartbeat(incarnation=1, version=3, slot_index=0)
    confirmation.receive_heartbeat(late, 10.5, 11.2)
    assert confirmation.settled_version(12, 1) == 1


def test_unknown_slot_counts_until_one_lease_after_the_version(confirmation):
    """Guards against a holder from which no heartbeat has come."""
    assert confirmation.settled_version(1, 1) == 0
    assert confirmation.settled_version(LEASE_END_S, 1) == 0
    assert confirmation.settled_version(LEASE_END_S + 1, 1) == 3


def test_rows_show_free_and_held_slots(confirmation, make_heartbeat):
    """Guards against a free slot that keeps a version unsettled."""
    confirmation.holders.record_rows({0: None, 1: 'b'}, 5)
    assert confirmation.settled_version(6, 2) == 0
    confirmation.receive_heartbeat(
        make_heartbeat(version=3, slot_index=1), 6, 6
    )
    assert confirmation.settled_version(6, 2) == 3
    confirmation.holders.record_rows({0: None, 1: 'c'}, 5)
    assert confirmation.settled_version(6, 2) == 3


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['read', 'heard', 'request', 'apply']),
        st.integers(0, 6),
        st.floats(0, 3),
    ),
    max_size=40,
)


@settings(derandomize=True)
@given(STEPS)
def test_version_in_force_never_falls(steps):
    """Guards against a version that reverts.

    Reads, heartbeats and documents arrive in any order.
    """
    confirmation = Confirmation('a')
    now = 0
    for action, version, age_s in steps:
        now += 1
        previous = (confirmation.applied_version, confirmation.newest_version)
        heartbeat = Heartbeat('b', 1, version, age_s, 0, False, True)
        if action == 'read':
            confirmation.record_platform_read(version, now - age_s, now)
        elif action == 'apply':
            confirmation.apply_version(version, now)
        else:
            sent_at = now - age_s if action == 'heard' else None
            confirmation.receive_heartbeat(heartbeat, sent_at, now)
        assert confirmation.applied_version >= previous[0]
        assert confirmation.newest_version >= max(
            previous[1], confirmation.applied_version
        )
        assert confirmation.applied_confirmed_at <= now
