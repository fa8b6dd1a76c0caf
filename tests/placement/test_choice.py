"""Choice of an upstream under load."""

from egretmill.fleet.upstreams import Upstream
from egretmill.placement import (
    Crowded,
    LoadReport,
    Placed,
    Placement,
    Unplaced,
    UpstreamLoad,
    WorkTimes,
    rendezvous_order,
)
from egretmill.placement.observations import ObservationKind

NOW = 100.0
SLOTS = 4
#: Requests in flight with which an upstream gets no more.
FULL = 10


def record(name, slots=SLOTS, region='west'):
    """Return an upstream."""
    return Upstream(name, 1, 's', '10.0.0.1', 80, 'a', region, slots)


def loads(count=4):
    """Return idle upstreams in an order."""
    return [UpstreamLoad(record(f'u{number}')) for number in range(count)]


def placement(left_s=2.0, idempotent=True):
    """Return a request for an object."""
    times = WorkTimes(warm_s=0.1, cold_s=0.3)
    return Placement('o', 'west', times, 0.3, left_s, idempotent, NOW)


def chosen(order, **options):
    """Return the name of the chosen upstream."""
    placed = placement(**options).choose(order)
    assert isinstance(placed, Placed)
    return placed.load.record.name


def occupy(load, requests):
    """Send requests that do not end."""
    for _ in range(requests):
        load.begin(NOW)


def test_first_of_the_order_gets_the_object():
    """Guards against hosts that spread an object over upstreams."""
    assert chosen(loads()) == 'u0'


def test_object_moves_on_when_its_upstream_is_busy():
    """Guards against a queue at one upstream while others idle."""
    order = loads()
    occupy(order[0], FULL)
    assert chosen(order) == 'u1'


def test_warm_upstream_is_worth_a_short_wait():
    """Guards against leaving a warm upstream for a cold one too early."""
    order = loads()
    occupy(order[0], FULL)
    order[2].handled('o', 0.1, 0.1, NOW)
    occupy(order[2], SLOTS + 1)
    assert chosen(order) == 'u2'


def test_object_stays_at_its_home_for_a_short_queue():
    """Guards against cold requests elsewhere: others keep the home warm."""
    order = loads()
    occupy(order[0], SLOTS + 1)
    assert chosen(order) == 'u0'


def test_new_upstream_gets_its_objects():
    """Guards against upstreams that join and get nothing.

    All others are warm for all objects then.
    """
    order = loads()
    for load in order[1:]:
        load.handled('o', 0.1, 0.1, NOW)
    assert chosen(order) == 'u0'


def test_load_of_other_hosts_counts():
    """Guards against sending where other hosts have filled the slots."""
    order = loads()
    for _ in range(8):
        order[0].take_report(LoadReport(SLOTS, FULL, SLOTS), NOW)
    assert chosen(order) == 'u1'


def test_slow_upstream_is_left_and_returns():
    """Guards against slow upstreams that keep, or never regain, work."""
    order = loads()
    for _ in range(20):
        order[0].handled('x', 2.0, 0.3, NOW)
    assert chosen(order) == 'u1'
    later = Placement('o', 'west', WorkTimes(0.1, 0.3), 0.3, 2, True, NOW + 60)
    assert later.choose(order).load is order[0]


def test_silent_upstream_is_left():
    """Guards against sending more to an upstream that answers nothing."""
    order = loads()
    order[0].begin(NOW - 3)
    assert chosen(order) == 'u1'


def test_rejection_holds_the_upstream_for_a_moment():
    """Guards against repeated arrivals where a request was just rejected."""
    order = loads()
    order[0].begin(NOW)
    order[0].finish(ObservationKind.SHED, NOW)
    assert chosen(order) == 'u1'
    assert order[0].can_send(NOW + 0.2, idempotent=True)


def test_failed_upstream_gets_no_request_that_runs_once():
    """Guards against a probe whose outcome would stay unknown."""
    order = loads(1)
    for _ in range(2):
        order[0].begin(NOW - 1)
        order[0].finish(ObservationKind.FAILED, NOW - 1)
    assert chosen(order) == 'u0'
    refused = placement(idempotent=False).choose(order)
    assert isinstance(refused, Unplaced)


def test_unreachable_upstream_returns_by_a_request_that_runs_once():
    """Guards against upstreams without idempotent requests that stay out.

    After a cut they were idle for 30 s; a request whose connection fails
    has not been sent.
    """
    order = loads(1)
    order[0].begin(NOW - 1)
    order[0].finish(ObservationKind.REFUSED, NOW - 1)
    assert chosen(order, idempotent=False) == 'u0'


def test_failed_upstream_returns_without_idempotent_requests():
    """Guards against upstreams that stay out long after they have returned."""
    order = loads(1)
    for _ in range(2):
        order[0].begin(NOW - 10)
        order[0].finish(ObservationKind.FAILED, NOW - 10)
    assert chosen(order, idempotent=False) == 'u0'


def test_silent_upstream_is_left_out_after_timeouts():
    """Guards against a silent upstream that gets request after request."""
    order = loads(1)
    for _ in range(2):
        order[0].begin(NOW - 1)
        order[0].finish(ObservationKind.TIMEOUT, NOW, NOW - 1)
    assert not order[0].can_send(NOW + 0.1, idempotent=True)


def test_timeout_at_an_upstream_that_answers_others_is_no_failure():
    """Guards against leaving out an upstream for a request that takes long."""
    order = loads(1)
    for _ in range(2):
        order[0].begin(NOW - 1)
        order[0].begin(NOW - 1)
        order[0].finish(ObservationKind.OK, NOW - 0.5, NOW - 1)
        order[0].finish(ObservationKind.TIMEOUT, NOW, NOW - 1)
    assert order[0].can_send(NOW + 0.1, idempotent=True)


def test_request_that_cannot_be_in_time_is_refused_at_once():
    """Guards against requests that wait until their deadline passes."""
    order = loads(1)
    occupy(order[0], 2 * SLOTS)
    crowded = placement(left_s=0.2).choose(order)
    assert isinstance(crowded, Crowded)
    assert crowded.wait_s > 0


def test_free_slot_is_tried_when_the_work_is_not_known():
    """Guards against refusing a route whose requests were never seen."""
    times = WorkTimes(warm_s=0.5, cold_s=5)
    request = Placement('o', 'west', times, 0.3, 1.2, True, NOW)
    assert isinstance(request.choose(loads()), Placed)


def test_first_times_stay_inside_the_timeout():
    """Guards against a target that is far above the timeout."""
    times = WorkTimes.from_target(target_s=5, timeout_s=1)
    assert times.warm_s < times.cold_s < 1


def test_full_upstreams_are_crowded_not_lost():
    """Guards against a refusal without a time to come back."""
    order = loads(2)
    for load in order:
        occupy(load, 3 * SLOTS)
    assert isinstance(placement().choose(order), Crowded)


def test_no_upstream_is_said():
    """Guards against waiting for a service without upstreams."""
    assert isinstance(placement().choose([]), Unplaced)


def test_order_is_the_same_on_all_hosts_and_moves_little():
    """Guards against cold upstreams after each change of the list."""
    upstreams = [record(f'u{number}') for number in range(10)]
    objects = [f'o{number}' for number in range(300)]
    first = {key: rendezvous_order(key, upstreams)[0] for key in objects}
    shuffled = list(reversed(upstreams))
    again = {key: rendezvous_order(key, shuffled)[0] for key in objects}
    assert first == again
    rest = {key: rendezvous_order(key, upstreams[1:])[0] for key in objects}
    moved = [key for key in objects if rest[key] != first[key]]
    assert all(first[key].name == 'u0' for key in moved)


def test_order_follows_the_slots():
    """Guards against small upstreams that get as much as large ones."""
    upstreams = [record('large', slots=9), record('small', slots=1)]
    firsts = [
        rendezvous_order(f'o{number}', upstreams)[0].name
        for number in range(1000)
    ]
    assert 850 < firsts.count('large') < 950
