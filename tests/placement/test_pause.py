"""Pauses that an upstream asks of a host."""

from hypothesis import given, strategies

from egretmill.fleet.upstreams import Upstream
from egretmill.placement.choice import NoCapacity, UpstreamSelector
from egretmill.placement.load import UpstreamLoad
from egretmill.placement.observations import ObservationKind
from egretmill.placement.pause import MAX_PAUSE_S, MAX_PROBES, Pause
from egretmill.placement.round_trips import RoundTrips
from egretmill.placement.service_times import ServiceTimes

NOW = 100.0
#: Requests that were sent before the pause may arrive for this time.
CROSSING_S = 0.5


def test_nothing_is_sent_until_the_end():
    """Guards against requests to an upstream that wants none."""
    pause = Pause()
    assert pause.can_send(NOW)
    pause.record(3, NOW)
    assert not pause.can_send(NOW + 2.9)
    assert pause.can_send(NOW + 3)
    assert pause.wait_s(NOW + 1) == 2


def test_end_releases_no_crowd():
    """Guards against the load of all that waited, at one moment."""
    pause = Pause()
    pause.record(3, NOW)
    for _ in range(MAX_PROBES):
        assert pause.can_send(NOW + 3)
        pause.record_request()
    assert not pause.can_send(NOW + 3)
    pause.record_end(NOW + 3, is_answered=False)
    assert pause.can_send(NOW + 4)
    pause.record_request()
    pause.record_end(NOW + 4, is_answered=True)
    assert all(pause.can_send(NOW + 5) for _ in range(10))


def test_shorter_pause_does_not_end_a_longer_one():
    """Guards against requests in the pause that an earlier answer asked for."""
    pause = Pause()
    pause.record(5, NOW)
    pause.record(1, NOW + 1)
    assert not pause.can_send(NOW + 4.9)


def test_answer_to_an_earlier_request_does_not_end_the_probes():
    """Guards against a crowd after an answer from before the pause."""
    pause = Pause()
    pause.record(1, NOW)
    pause.record_end(NOW - 1, is_answered=True)
    assert pause.is_probing


def test_zero_is_no_pause_and_a_huge_one_is_bounded():
    """Guards against an upstream that is left out for ever."""
    pause = Pause()
    assert not pause.record(0, NOW)
    assert pause.can_send(NOW)
    assert pause.record(float('inf'), NOW)
    assert pause.wait_s(NOW) == MAX_PAUSE_S


def make_load(name='u1'):
    """Return an upstream with four slots."""
    return UpstreamLoad(Upstream(name, 1, 'svc', '', 1, 'west-a', 'west', 4))


def choose(*loads, now=NOW):
    """Choose an upstream for a request."""
    return UpstreamSelector(
        'object',
        RoundTrips(),
        ServiceTimes.from_target(0.2, 1.0),
        0.2,
        5.0,
        True,
        now,
    ).choose(loads)


def test_paused_upstream_is_full():
    """Guards against placement at an upstream that wants a pause."""
    paused, free = make_load('u1'), make_load('u2')
    paused.pause.record(3, NOW)
    assert choose(paused, free).load is free


def test_request_is_refused_with_the_end_of_the_first_pause():
    """Guards against callers that come back too soon or wait too long."""
    first, second = make_load('u1'), make_load('u2')
    first.pause.record(3, NOW - 1)
    second.pause.record(5, NOW - 1)
    match choose(first, second):
        case NoCapacity(wait_s):
            assert wait_s == 2
        case other:
            raise AssertionError(other)


def test_new_incarnation_has_no_pause():
    """Guards against a started upstream that gets nothing."""
    load = make_load()
    load.pause.record(30, NOW)
    load.restart(load.record)
    assert load.can_send(NOW, idempotent=True)


steps = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 1),
        strategies.sampled_from(('send', 'answer', 'refuse', 'fail')),
        strategies.floats(0, 4),
    ),
    max_size=60,
)


KINDS = {
    'answer': ObservationKind.OK,
    'refuse': ObservationKind.SHED,
    'fail': ObservationKind.FAILED,
}


def play(steps):
    """Send and answer requests; return the times of sending and the pauses."""
    load = make_load()
    now = NOW
    in_flight, sent, pauses = [], [], []
    for passed_s, step, pause_s in steps:
        now += passed_s
        if step == 'send' and load.can_send(now, idempotent=True):
            load.begin(now)
            in_flight.append(now)
            sent.append(now)
        if step not in KINDS or not in_flight:
            continue
        load.finish(KINDS[step], now, in_flight.pop(0))
        if step == 'refuse':
            load.pause.record(pause_s, now)
            pauses.append((now + CROSSING_S, now + pause_s))
    return sent, pauses


@given(steps)
def test_two_requests_at_most_reach_an_upstream_in_any_pause(steps):
    """Guards against more requests in a pause, in any order of answers."""
    sent, pauses = play(steps)
    for start, end in pauses:
        assert sum(start < at < end for at in sent) <= MAX_PROBES
