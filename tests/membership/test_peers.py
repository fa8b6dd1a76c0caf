"""Failure detection of peers: reachability, restarts and replacements."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.events import CATALOGUE
from egretmill.membership.peers import Peers
from egretmill.wire.messages import Heartbeat, HostRecord

A_ADDRESS = '127.0.0.1'
OTHER_ADDRESS = '127.0.0.2'


@pytest.fixture
def peers(make_host):
    """Return the peers of host ``a`` with ``b`` listed at 0 s."""
    aggregate = Peers('a')
    aggregate.apply_host_list((make_host('a'), make_host('b')), 0)
    return aggregate


def state_of(peers, now, host='b'):
    """Return the state of one host."""
    states = {state.host.name: state for state in peers.states(now)}
    return states[host]


def events_of(changes):
    """Return the names of the events of changes."""
    return [change.event.name for change in changes]


def pass_time(peers, start, end):
    """Check every 0.1 s from start to end; return the changes."""
    changes = []
    for step in range(round((end - start) * 10) + 1):
        changes.extend(peers.check_timeouts(start + step / 10))
    return changes


def test_listed_host_is_not_reachable_before_it_answers(peers, make_heartbeat):
    """Guards against look-ups that return hosts of a stale list."""
    assert not state_of(peers, 0).reachable
    changes = peers.receive_heartbeat(make_heartbeat(), 0, 0.01)
    assert events_of(changes) == ['peer_up']
    assert state_of(peers, 0.1).reachable


def test_own_host_gets_no_heartbeat(peers):
    """Guards against a host that sends heartbeats to itself."""
    assert peers.schedule_heartbeats(0) == ['b']


def test_heartbeats_are_due_each_half_second(peers):
    """Guards against heartbeats sent at each call of the timer."""
    sent = [
        now / 10 for now in range(21) if peers.schedule_heartbeats(now / 10)
    ]
    assert sent == [0, 0.5, 1, 1.5, 2]


def test_three_missed_heartbeats_make_a_host_unreachable(peers, make_heartbeat):
    """Guards against a dead host that stays in look-ups."""
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    assert not peers.record_missed_heartbeat('b', 0.1)
    assert not peers.record_missed_heartbeat('b', 0.2)
    assert events_of(peers.record_missed_heartbeat('b', 0.3)) == ['peer_down']
    assert not state_of(peers, 0.3).reachable


def test_time_without_answer_makes_a_host_unreachable(peers, make_heartbeat):
    """Guards against a dead host that stays reachable until a deadline.

    Heartbeats with a long deadline are not counted as missed in time.
    """
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    assert not pass_time(peers, 0, 1.4)
    assert events_of(pass_time(peers, 1.5, 1.7)) == ['peer_down']


def test_own_pause_makes_no_peer_unreachable(peers, make_heartbeat):
    """Guards against empty look-ups after this process was paused.

    The time in which it read no answers must not count against its peers.
    """
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    assert not peers.check_timeouts(60)
    assert state_of(peers, 60).reachable
    assert events_of(pass_time(peers, 60, 61.5)) == ['peer_down']


def test_paused_host_comes_back_with_the_same_incarnation(
    peers, make_heartbeat
):
    """Guards against a resumed host that stays unreachable."""
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    pass_time(peers, 0, 3)
    assert peers.is_live('b', 1, 3) is None
    assert events_of(peers.receive_heartbeat(make_heartbeat(), 3, 3)) == [
        'peer_up'
    ]
    assert peers.is_live('b', 1, 3) is True


def test_request_alone_does_not_make_a_host_reachable(peers, make_heartbeat):
    """Guards against a one-way partition that passes for a working link."""
    peers.receive_heartbeat(make_heartbeat(version=4), None, 0)
    assert not state_of(peers, 0).reachable
    assert state_of(peers, 0).version == 4


def test_request_marks_a_host_as_leaving(peers, make_heartbeat):
    """Guards against a leaving host that is used until its next answer."""
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    peers.receive_heartbeat(make_heartbeat(leaving=True), None, 0.1)
    assert state_of(peers, 0.1).leaving
    peers.receive_heartbeat(make_heartbeat(), 0.5, 0.5)
    assert not state_of(peers, 0.5).leaving


def test_restart_at_the_same_address_is_an_event(peers, make_heartbeat):
    """Guards against state of the earlier process that stays in use."""
    peers.receive_heartbeat(make_heartbeat(version=5, slot_index=2), 0, 0)
    changes = peers.receive_heartbeat(
        make_heartbeat(incarnation=2, version=3), 0.5, 0.5
    )
    assert events_of(changes) == ['peer_restarted']
    state = state_of(peers, 0.5)
    assert (state.incarnation, state.version, state.slot_index) == (2, 3, None)
    assert peers.is_live('b', 1, 0.5) is False
    assert peers.is_live('b', 3, 0.5) is None


def test_late_message_of_an_earlier_incarnation_is_ignored(
    peers, make_heartbeat
):
    """Guards against a delayed message of a dead process.

    It must not overwrite the state of the process that replaced it.
    """
    peers.receive_heartbeat(make_heartbeat(incarnation=2, version=3), 0.5, 0.5)
    late = make_heartbeat(incarnation=1, version=9, leaving=True)
    assert not peers.receive_heartbeat(late, 0.2, 0.6)
    state = state_of(peers, 0.6)
    assert (state.incarnation, state.version, state.leaving) == (2, 3, False)


def test_late_answer_of_the_same_incarnation_changes_no_fact(
    peers, make_heartbeat
):
    """Guards against answers that arrive out of order."""
    peers.receive_heartbeat(make_heartbeat(version=4, slot_index=1), 1, 1.1)
    peers.receive_heartbeat(
        make_heartbeat(version=3, entry_ready=False), 0.5, 1.2
    )
    state = state_of(peers, 1.2)
    assert (state.version, state.entry_ready, state.slot_index) == (4, True, 1)


def test_incarnation_known_from_a_request_only_is_not_reachable(
    peers, make_heartbeat
):
    """Guards against a restarted host that is used at its old address."""
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    changes = peers.receive_heartbeat(make_heartbeat(incarnation=2), None, 0.1)
    assert events_of(changes) == ['peer_restarted', 'peer_down']
    assert peers.schedule_heartbeats(0.1) == ['b']


def test_replaced_host_moves_when_the_old_address_stops_answering(
    peers,
    make_host,
    make_heartbeat,
):
    """Guards against a replacement that never gets a heartbeat."""
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    moved = make_host('b', OTHER_ADDRESS)
    peers.apply_host_list((moved,), 0.1)
    assert peers.host_record('b').address == A_ADDRESS
    pass_time(peers, 0, 2)
    peers.record_missed_heartbeat('b', 2)
    assert peers.host_record('b').address == OTHER_ADDRESS
    changes = peers.receive_heartbeat(make_heartbeat(incarnation=2), 2.1, 2.1)
    assert events_of(changes) == ['peer_restarted', 'peer_up']


def test_replaced_host_that_sends_a_request_gets_the_new_address(
    peers,
    make_host,
    make_heartbeat,
):
    """Guards against a draining process that still gets the heartbeats.

    It answers at the old address until it ends.
    """
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    peers.receive_heartbeat(make_heartbeat(incarnation=2), None, 0.1)
    peers.apply_host_list((make_host('b', OTHER_ADDRESS),), 0.2)
    assert peers.host_record('b').address == OTHER_ADDRESS


def test_stale_list_does_not_move_a_host_that_answers(
    peers,
    make_host,
    make_heartbeat,
):
    """Guards against a stale list that makes a live host unreachable."""
    peers.apply_host_list((make_host('b', OTHER_ADDRESS),), 0)
    peers.receive_heartbeat(make_heartbeat(incarnation=2), 0, 0)
    peers.apply_host_list((make_host('b'),), 0.1)
    assert peers.host_record('b').address == OTHER_ADDRESS
    assert state_of(peers, 0.1).reachable


def test_unreachable_host_is_tried_at_both_addresses(
    peers, make_host, make_heartbeat
):
    """Guards against a recovered host that stays unreachable.

    A stale list names its previous address.
    """
    peers.apply_host_list((make_host('b', OTHER_ADDRESS),), 0)
    peers.receive_heartbeat(make_heartbeat(incarnation=2), 0, 0)
    peers.apply_host_list((make_host('b'),), 0.1)
    pass_time(peers, 0.1, 3)
    tried_addresses = set()
    for attempt in range(4):
        tried_addresses.add(peers.host_record('b').address)
        peers.record_missed_heartbeat('b', 3 + attempt / 2)
    assert tried_addresses == {A_ADDRESS, OTHER_ADDRESS}


def test_unlisted_host_is_kept_while_it_answers(
    peers,
    make_heartbeat,
):
    """Guards against an empty host list that leads to empty look-ups."""
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    assert not peers.apply_host_list((), 0.1)
    assert state_of(peers, 0.1).reachable
    assert 'b' in peers.schedule_heartbeats(0.5)


def test_unlisted_host_is_dropped_after_the_longest_lease(
    peers,
    make_heartbeat,
):
    """Guards against a table of peers that only grows."""
    peers.receive_heartbeat(make_heartbeat(), 0, 0)
    peers.apply_host_list((), 4199)
    assert peers.host_record('b') is not None
    peers.apply_host_list((), 4201)
    assert peers.host_record('b') is None


def test_sender_that_is_not_listed_yet_has_no_state(peers, make_heartbeat):
    """Guards against hosts without an address in look-ups."""
    peers.receive_heartbeat(make_heartbeat(host='c'), None, 0)
    assert 'c' not in {state.host.name for state in peers.states(0)}
    assert 'c' not in peers.schedule_heartbeats(0)


def test_answer_of_another_host_at_the_address_is_a_miss(
    peers,
    make_heartbeat,
):
    """Guards against a reused address that makes a gone host reachable."""
    peers.receive_heartbeat(make_heartbeat(host='c'), 0, 0, requested_host='b')
    assert not state_of(peers, 0).reachable


def test_leaving_by_list_or_by_heartbeat(peers, make_host, make_heartbeat):
    """Guards against a leaving host that is used as one source is stale."""
    peers.receive_heartbeat(make_heartbeat(leaving=True), 0, 0)
    assert state_of(peers, 0).leaving
    peers.receive_heartbeat(make_heartbeat(), 0.5, 0.5)
    peers.apply_host_list((make_host('b', state='leaving'),), 0.6)
    assert state_of(peers, 0.6).leaving


def test_states_include_the_own_host(peers, make_host, make_heartbeat):
    """Guards against look-ups without the host that answers them."""
    peers.update_own_state(
        make_host('a'), make_heartbeat(host='a', version=7), 0
    )
    own = state_of(peers, 0, 'a')
    assert (own.reachable, own.version) == (True, 7)
    assert not peers.check_timeouts(0)


def test_heartbeat_with_the_own_name_changes_nothing(
    peers,
    make_host,
    make_heartbeat,
):
    """Guards against a replacement that overwrites this host's own state.

    It has the same name and runs at another address.
    """
    peers.update_own_state(
        make_host('a'), make_heartbeat(host='a', version=7), 0
    )
    assert not peers.receive_heartbeat(
        make_heartbeat(host='a', incarnation=9), 0, 0
    )
    peers.receive_heartbeat(
        make_heartbeat(host='a', incarnation=9), 0, 0, requested_host='b'
    )
    own = state_of(peers, 0, 'a')
    assert (own.reachable, own.version, own.incarnation) == (True, 7, 1)


HEARTBEATS = st.lists(
    st.tuples(
        st.integers(1, 4),
        st.integers(1, 5),
        st.one_of(st.none(), st.floats(0, 10)),
    ),
    min_size=1,
    max_size=30,
)


@settings(derandomize=True)
@given(HEARTBEATS)
def test_highest_incarnation_always_wins(heartbeats):
    """Guards against an order of delayed messages that brings back old state.

    Such state is that of an earlier incarnation or a lower version.
    """
    peers = Peers('a')
    peers.apply_host_list((HostRecord('b', 'fd', A_ADDRESS, 1, 2, 3, 4),), 0)
    highest_incarnation = 0
    version = 0
    for incarnation, carried_version, sent_at in heartbeats:
        heartbeat = Heartbeat(
            'b', incarnation, carried_version, 0, 0, False, True
        )
        changes = peers.receive_heartbeat(heartbeat, sent_at, 10)
        if incarnation > highest_incarnation:
            highest_incarnation, version = incarnation, 0
        if incarnation == highest_incarnation:
            version = max(version, carried_version)
        state = state_of(peers, 10)
        assert (state.incarnation, state.version) == (
            highest_incarnation,
            version,
        )
        assert peers.is_live('b', highest_incarnation - 1, 10) is False
        for change in changes:
            if change.event is CATALOGUE.PEER_RESTARTED:
                assert change.incarnation == highest_incarnation
