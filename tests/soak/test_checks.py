"""Checks of the soak: each finds its own kind of fault."""

import pytest

from soak.checks import check
from soak.plan import draw_plan
from soak.record import Asked, Execution, Key, Record

KEY = 'k1'


def make_record(route='swaps', status=200, **options):
    """Return the record of one request that went well."""
    record = Record(calm_from=0)
    record.keys[KEY] = Key(KEY, 'first')
    asked = Asked('1-1', 10, route, 'first', KEY, 'h1', status, True, 10.2)
    record.asked[asked.identifier] = asked
    service = 'ledger' if route == 'swaps' else 'board'
    told = {'identifier': '1-1', 'at': 10.1, 'upstream': 'u1'}
    told |= {'service': service, 'account': 'first'}
    told |= {'path': f'/{route}/1-1', 'key_seen': False, **options}
    record.executions.append(Execution(**told))
    return record


def promises(record):
    """Return the names of the promises that were not kept."""
    return {violation.promise for violation in check(record)}


def test_good_run_passes():
    """Guards against checks that find faults in everything."""
    assert not promises(make_record())


@pytest.mark.parametrize(
    'options',
    [
        {'identifier': 'x'},
        {'account': 'second'},
        {'key_seen': True},
        {'service': 'board'},
        {'path': '/swaps/2-2'},
    ],
)
def test_execution_that_nobody_asked_for_is_found(options):
    """Guards against a soak that does not see a wrong execution."""
    assert 'only what was asked' in promises(make_record(**options))


def test_second_execution_is_found_only_where_it_matters():
    """Guards against missing a double run, or blaming a repeated read."""
    for route, expected in (('swaps', True), ('views', False)):
        record = make_record(route)
        record.executions *= 2
        assert ('at most once' in promises(record)) is expected


def test_false_refusal_is_found():
    """Guards against a 503 for a request that has run."""
    assert 'true refusals' in promises(make_record(status=503))


def test_foreign_answer_is_found():
    """Guards against a success with the body of another request."""
    record = make_record()
    record.asked['1-1'].intact = False
    assert 'whole answers' in promises(record)


def test_too_many_attempts_are_found():
    """Guards against more attempts than the route allows."""
    record = make_record('views')
    record.executions *= 4
    assert 'attempts' in promises(record)


def test_withdrawn_key_is_found():
    """Guards against a key that works long after its withdrawal."""
    record = make_record()
    record.keys[KEY].withdrawn_at = 4
    assert 'withdrawn keys' in promises(record)
    record.keys[KEY].withdrawn_at = 6
    assert 'withdrawn keys' not in promises(record)


def test_late_request_to_a_leaving_upstream_is_found_when_calm():
    """Guards against missing new work for an upstream that has left."""
    record = make_record()
    record.left['u1'] = 7
    assert 'leaving upstreams' in promises(record)
    record.disturbed.append((5, 6))
    assert 'leaving upstreams' not in promises(record)


def test_excess_over_a_rate_is_found():
    """Guards against missing an account beyond its rate."""
    record = make_record()
    record.executions *= 400
    assert 'rates' in promises(record)


def test_repeats_beyond_the_budget_are_found():
    """Guards against missing a storm of retries."""
    record = make_record('views')
    record.executions *= 25
    assert 'retry budget' in promises(record)


def test_denied_request_is_found():
    """Guards against 404 for a route that every version has.

    Seed 30: a key was used 1 ms before its host applied the version.
    """
    record = make_record(status=404)
    assert 'configured requests' in promises(record)
    record.keys[KEY].added_at = 7.4
    assert 'configured requests' in promises(record)
    record.keys[KEY].added_at = 7.6
    assert 'configured requests' not in promises(record)


def test_fleet_that_does_not_recover_is_found():
    """Guards against a run that ends without service."""
    record = make_record(status=0)
    assert 'recovery' in promises(record)


def test_same_seed_same_plan():
    """Guards against seeds that cannot be played again."""
    assert draw_plan(3, 12) == draw_plan(3, 12)
    assert draw_plan(3, 12) != draw_plan(4, 12)
