"""Selection of an upstream under load."""

import dataclasses

from egretmill.fleet.upstreams import Upstream
from egretmill.placement import (
    LoadReport,
    NoCapacity,
    NoUpstream,
    RoundTrips,
    SelectedUpstream,
    ServiceTimes,
    UpstreamLoad,
    UpstreamSelector,
    rendezvous_order,
)
from egretmill.placement.observations import ObservationKind

NOW = 100.0
SLOTS = 4
#: Requests in flight at which an upstream gets no more.
FULL_REQUESTS = 10


def record(name, slots=SLOTS, region='west'):
    """Return an upstream."""
    return Upstream(name, 1, 's', '10.0.0.1', 80, 'a', region, slots)


def idle_upstreams(count=4):
    """Return idle upstreams in preference order."""
    return [UpstreamLoad(record(f'u{number}')) for number in range(count)]


def selector(remaining_s=2.0, idempotent=True):
    """Return the selector for a request for an object."""
    service_times = ServiceTimes(warm_s=0.1, cold_s=0.3)
    return UpstreamSelector(
        'o',
        RoundTrips(),
        service_times,
        0.3,
        remaining_s,
        idempotent,
        NOW,
    )


def chosen_name(order, **options):
    """Return the name of the chosen upstream."""
    selected = selector(**options).choose(order)
    assert isinstance(selected, SelectedUpstream)
    return selected.load.record.name


def send_unanswered(load, requests):
    """Send requests that get no response."""
    for _ in range(requests):
        load.begin(NOW)


def test_first_of_the_order_gets_the_object():
    """Guards against spreading requests for an object over upstreams."""
    assert chosen_name(idle_upstreams()) == 'u0'


def test_busy_first_upstream_is_passed_over():
    """Guards against a queue at one upstream while others are idle."""
    order = idle_upstreams()
    send_unanswered(order[0], FULL_REQUESTS)
    assert chosen_name(order) == 'u1'


def test_warm_upstream_is_chosen_despite_a_short_queue():
    """Guards against a cold upstream that is slower than a short wait."""
    order = idle_upstreams()
    send_unanswered(order[0], FULL_REQUESTS)
    order[2].record_response('o', 0.1, 0.1, NOW)
    send_unanswered(order[2], SLOTS + 1)
    assert chosen_name(order) == 'u2'


def test_first_upstream_is_chosen_despite_a_short_queue():
    """Guards against a cold upstream while other hosts keep u0 warm."""
    order = idle_upstreams()
    send_unanswered(order[0], SLOTS + 1)
    assert chosen_name(order) == 'u0'


def test_new_upstream_gets_its_objects():
    """Guards against a new upstream that gets no requests.

    All other upstreams are warm for all objects when it is added.
    """
    order = idle_upstreams()
    for load in order[1:]:
        load.record_response('o', 0.1, 0.1, NOW)
    assert chosen_name(order) == 'u0'


def test_load_of_other_hosts_counts():
    """Guards against sending to an upstream that other hosts have filled."""
    order = idle_upstreams()
    for _ in range(8):
        order[0].record_report(LoadReport(SLOTS, FULL_REQUESTS, SLOTS), NOW)
    assert chosen_name(order) == 'u1'


def test_slow_upstream_is_avoided_until_it_recovers():
    """Guards against requests to slow, and none to recovered, upstreams."""
    order = idle_upstreams()
    for _ in range(20):
        order[0].record_response('x', 2.0, 0.3, NOW)
    assert chosen_name(order) == 'u1'
    later = dataclasses.replace(selector(), now=NOW + 60)
    assert later.choose(order).load is order[0]


def test_stalled_upstream_is_avoided():
    """Guards against more requests to an upstream that does not respond."""
    order = idle_upstreams()
    order[0].begin(NOW - 3)
    assert chosen_name(order) == 'u1'


def test_load_shedding_starts_a_short_backoff():
    """Guards against sending again to an upstream that just shed load."""
    order = idle_upstreams()
    order[0].begin(NOW)
    order[0].finish(ObservationKind.SHED, NOW)
    assert chosen_name(order) == 'u1'
    assert order[0].can_send(NOW + 0.2, idempotent=True)


def test_failed_upstream_gets_no_unsafe_request():
    """Guards against a probe whose outcome would remain unknown."""
    order = idle_upstreams(1)
    for _ in range(2):
        order[0].begin(NOW - 1)
        order[0].finish(ObservationKind.FAILED, NOW - 1)
    assert chosen_name(order) == 'u0'
    refused = selector(idempotent=False).choose(order)
    assert isinstance(refused, NoUpstream)


def test_unreachable_upstream_is_probed_by_an_unsafe_request():
    """Guards against upstreams that stay ejected after a network failure.

    Upstreams without idempotent requests were idle for 30 s. If the
    connection fails again, the request has not been sent.
    """
    order = idle_upstreams(1)
    order[0].begin(NOW - 1)
    order[0].finish(ObservationKind.REFUSED, NOW - 1)
    assert chosen_name(order, idempotent=False) == 'u0'


def test_failed_upstream_returns_without_idempotent_requests():
    """Guards against upstreams that stay ejected long after recovery."""
    order = idle_upstreams(1)
    for _ in range(2):
        order[0].begin(NOW - 10)
        order[0].finish(ObservationKind.FAILED, NOW - 10)
    assert chosen_name(order, idempotent=False) == 'u0'


def test_unresponsive_upstream_is_ejected_after_timeouts():
    """Guards against repeated requests to an unresponsive upstream."""
    order = idle_upstreams(1)
    for _ in range(2):
        order[0].begin(NOW - 1)
        order[0].finish(ObservationKind.TIMEOUT, NOW, NOW - 1)
    assert not order[0].can_send(NOW + 0.1, idempotent=True)


def test_timeout_at_an_upstream_that_answers_others_is_no_failure():
    """Guards against ejecting an upstream because of one long request."""
    order = idle_upstreams(1)
    for _ in range(2):
        order[0].begin(NOW - 1)
        order[0].begin(NOW - 1)
        order[0].finish(ObservationKind.OK, NOW - 0.5, NOW - 1)
        order[0].finish(ObservationKind.TIMEOUT, NOW, NOW - 1)
    assert order[0].can_send(NOW + 0.1, idempotent=True)


def test_request_that_cannot_be_in_time_is_refused_at_once():
    """Guards against requests that wait although they must time out."""
    order = idle_upstreams(1)
    send_unanswered(order[0], 2 * SLOTS)
    rejected = selector(remaining_s=0.2).choose(order)
    assert isinstance(rejected, NoCapacity)
    assert rejected.wait_s > 0


def test_free_slot_is_tried_when_the_service_time_is_unknown():
    """Guards against refusing requests of a route without statistics."""
    service_times = ServiceTimes(warm_s=0.5, cold_s=5)
    request = dataclasses.replace(
        selector(remaining_s=1.2),
        service_times=service_times,
    )
    assert isinstance(request.choose(idle_upstreams()), SelectedUpstream)


def test_initial_service_times_stay_below_the_timeout():
    """Guards against estimates above the timeout from a high target."""
    service_times = ServiceTimes.from_target(target_s=5, timeout_s=1)
    assert service_times.warm_s < service_times.cold_s < 1


def test_full_upstreams_give_an_expected_wait():
    """Guards against a refusal under load without a retry delay."""
    order = idle_upstreams(2)
    for load in order:
        send_unanswered(load, 3 * SLOTS)
    assert isinstance(selector().choose(order), NoCapacity)


def test_service_without_upstreams_is_reported():
    """Guards against a retry delay for a service without upstreams."""
    assert isinstance(selector().choose([]), NoUpstream)


def test_order_is_equal_on_all_hosts_and_stable():
    """Guards against objects that move when another upstream is removed."""
    upstreams = [record(f'u{number}') for number in range(10)]
    objects = [f'o{number}' for number in range(300)]
    first = {key: rendezvous_order(key, upstreams)[0] for key in objects}
    shuffled = list(reversed(upstreams))
    shuffled_first = {
        key: rendezvous_order(key, shuffled)[0] for key in objects
    }
    assert first == shuffled_first
    without_first = {
        key: rendezvous_order(key, upstreams[1:])[0] for key in objects
    }
    moved = [key for key in objects if without_first[key] != first[key]]
    assert all(first[key].name == 'u0' for key in moved)


def test_order_is_weighted_by_slots():
    """Guards against small upstreams that get as much load as large ones."""
    upstreams = [record('large', slots=9), record('small', slots=1)]
    firsts = [
        rendezvous_order(f'o{number}', upstreams)[0].name
        for number in range(1000)
    ]
    assert 850 < firsts.count('large') < 950


def test_wait_beyond_the_limit_of_urgent_routes_is_refused():
    """Guards against a queue in which urgent requests miss their target."""
    order = idle_upstreams(1)
    send_unanswered(order[0], SLOTS + 1)
    limited = dataclasses.replace(selector(), wait_limit_s=0.01)
    assert isinstance(selector().choose(order), SelectedUpstream)
    assert isinstance(limited.choose(order), NoCapacity)


def test_free_slot_needs_no_wait_limit():
    """Guards against refusing less urgent requests while slots are free."""
    limited = dataclasses.replace(selector(), wait_limit_s=0)
    assert isinstance(limited.choose(idle_upstreams(1)), SelectedUpstream)


def test_distant_upstream_is_passed_over_for_a_near_one():
    """Guards against round trips that are longer than the wait they save."""
    round_trips = RoundTrips()
    round_trips.add('east', 0.2)
    far, near = (
        UpstreamLoad(record('u0', region='east')),
        UpstreamLoad(record('u1')),
    )
    for load in (far, near):
        load.record_response('o', 0.1, 0.1, NOW)
    request = dataclasses.replace(selector(), round_trips=round_trips)
    assert request.choose([far, near]).load is near


def test_shedding_with_a_free_slot_starts_no_backoff():
    """Guards against moving objects away from upstreams that fail at random.

    Upstreams that shed half of their requests at any load would all be left
    out in turn, and objects would run at upstreams that are cold for them.
    """
    order = idle_upstreams()
    order[0].begin(NOW)
    order[0].finish(ObservationKind.SHED, NOW, report=LoadReport(1, 0, SLOTS))
    assert chosen_name(order) == 'u0'


def test_shedding_of_a_full_upstream_starts_a_backoff():
    """Guards against sending again to an upstream that has no room."""
    order = idle_upstreams()
    order[0].begin(NOW)
    order[0].finish(
        ObservationKind.SHED, NOW, report=LoadReport(SLOTS, 2, SLOTS)
    )
    assert chosen_name(order) == 'u1'


def test_estimate_that_refuses_all_requests_is_checked():
    """Guards against a route that is refused for good by what it once took.

    Requests that are refused give no sample, so nothing else corrects it.
    """
    late = selector(remaining_s=1.2)
    late.service_times.warm_s = 2.5
    order = idle_upstreams(1)
    assert isinstance(late.choose(order), SelectedUpstream)
    assert isinstance(late.choose(order), NoCapacity)
    later = dataclasses.replace(late, now=NOW + 2)
    assert isinstance(later.choose(order), SelectedUpstream)
    late.service_times.add(0.05, NOW + 2.1, warm=False)
    assert isinstance(later.choose(order), SelectedUpstream)
    assert isinstance(later.choose(order), SelectedUpstream)


def test_full_upstream_is_not_sent_a_request_to_check_an_estimate():
    """Guards against requests that are late for certain."""
    order = idle_upstreams(1)
    send_unanswered(order[0], SLOTS + 1)
    late = selector(remaining_s=0.05)
    assert isinstance(late.choose(order), NoCapacity)


def test_target_below_the_round_trip_is_no_reason_to_refuse():
    """Guards against a route that is refused for good for its distance."""
    round_trips = RoundTrips()
    round_trips.add('far', 0.4)
    far = UpstreamLoad(record('u0', region='far'))
    request = dataclasses.replace(selector(), round_trips=round_trips)
    assert isinstance(request.choose([far]), SelectedUpstream)
