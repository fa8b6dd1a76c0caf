"""Each check of the soak finds the violations of its invariant."""

import pytest

from soak.checks import find_violations
from soak.plan import ADDED_KINDS, draw_plan
from soak.record import (
    Execution,
    Key,
    Notice,
    Record,
    RequestArrival,
    RequestRecord,
    UploadEnd,
)

KEY = 'k1'


def make_record(route='swaps', status=200, **options):
    """Return the record of one request that went well."""
    record = Record(calm_from=0)
    record.keys[KEY] = Key(KEY, 'first')
    request = RequestRecord(
        '1-1', 10, route, 'first', KEY, 'h1', status, True, 10.2
    )
    record.asked[request.request_id] = request
    service = 'ledger' if route == 'swaps' else 'board'
    fields = {'request_id': '1-1', 'started_at': 10.1, 'upstream': 'u1'}
    fields |= {'service': service, 'account': 'first'}
    fields |= {'path': f'/{route}/1-1', 'has_credentials': False, **options}
    record.executions.append(Execution(**fields))
    return record


def violated_invariants(record):
    """Return the names of the invariants that a record violates."""
    return {violation.invariant for violation in find_violations(record)}


def test_good_run_passes():
    """Guards against checks that report a run without violations."""
    assert not violated_invariants(make_record())


@pytest.mark.parametrize(
    'options',
    [
        {'request_id': 'x'},
        {'account': 'second'},
        {'has_credentials': True},
        {'service': 'board'},
        {'path': '/swaps/2-2'},
    ],
)
def test_execution_that_differs_from_its_request_is_found(options):
    """Guards against missing an execution that no caller requested."""
    assert 'only what was asked' in violated_invariants(make_record(**options))


def test_second_execution_is_found_for_unsafe_routes_only():
    """Guards against missing a second execution, or reporting a safe one."""
    for route, expected in (('swaps', True), ('views', False)):
        record = make_record(route)
        record.executions *= 2
        assert ('at most once' in violated_invariants(record)) is expected


def test_false_refusal_is_found():
    """Guards against missing a 503 for a request that was executed."""
    assert 'true refusals' in violated_invariants(make_record(status=503))


def test_foreign_answer_is_found():
    """Guards against missing a success with another request's body."""
    record = make_record()
    record.asked['1-1'].is_intact = False
    assert 'whole answers' in violated_invariants(record)


def test_too_many_attempts_are_found():
    """Guards against missing more attempts than the route allows."""
    record = make_record('views')
    record.executions *= 4
    assert 'attempts' in violated_invariants(record)


def test_withdrawn_key_is_found():
    """Guards against missing a key that works long after its withdrawal.

    A request sent within the bound after the withdrawal is allowed.
    """
    record = make_record()
    record.keys[KEY].withdrawn_at = 4
    assert 'withdrawn keys' in violated_invariants(record)
    record.keys[KEY].withdrawn_at = 6
    assert 'withdrawn keys' not in violated_invariants(record)


def test_late_request_to_a_leaving_upstream_is_found():
    """Guards against missing requests to an upstream that has left.

    Hosts that were disturbed may not have learned that it left.
    """
    record = make_record()
    record.left['u1'] = 7
    assert 'leaving upstreams' in violated_invariants(record)
    record.disturbed.append((5, 6))
    assert 'leaving upstreams' not in violated_invariants(record)


@pytest.mark.parametrize(
    ('pause_s', 'after_s', 'count', 'is_found'),
    [
        (None, 2.6, 1, True),
        (None, 2.4, 9, False),
        (2.0, 1.5, 3, True),
        (2.0, 1.5, 2, False),
        (2.0, 0.4, 9, False),
        (2.0, 2.1, 9, False),
    ],
)
def test_request_against_the_word_of_an_upstream_is_found(
    pause_s, after_s, count, is_found
):
    """Guards against missing requests after an upstream asked for none.

    A host that was restarted in between has forgotten it.
    """
    record = make_record()
    record.notices.append(Notice('u1/1', 'h1', 10, pause_s))
    arrival = RequestArrival(10 + after_s, 10 + after_s)
    record.arrivals['u1/1', 'h1'] = [arrival] * count
    found = 'words of upstreams' in violated_invariants(record)
    assert found is is_found
    record.faults.append((11, 11.5, 'host_kill'))
    record.faults.append((10, 10.1, 'host_term'))
    assert 'words of upstreams' not in violated_invariants(record)


def test_added_kinds_leave_the_faults_of_earlier_seeds():
    """Guards against a seed that no longer plays what it once found."""
    plan = [row for row in draw_plan(7, 12) if row.kind not in ADDED_KINDS]
    kinds = (
        'evacuation upstream_drain reload reload reload reload upstream_reborn '
        'all_kill evacuation store_limit upstream_cut_back upstream_cut'
    )
    assert ' '.join(row.kind.value for row in plan) == kinds
    assert (plan[0].selector, plan[-1].selector) == (28140, 21621)


def test_excess_over_a_rate_is_found():
    """Guards against missing an account that exceeds its rate."""
    record = make_record()
    record.executions *= 400
    assert 'rates' in violated_invariants(record)


def test_repeats_beyond_the_budget_are_found():
    """Guards against missing retries beyond the retry budget."""
    record = make_record('views')
    record.executions *= 25
    assert 'retry budget' in violated_invariants(record)


def test_denied_request_is_found():
    """Guards against missing a 404 for a route that every version has.

    A key may be refused within the time that hosts have to apply it. Seed
    30 used a key 1 ms before its host applied the version.
    """
    record = make_record(status=404)
    assert 'configured requests' in violated_invariants(record)
    record.keys[KEY].added_at = 7.4
    assert 'configured requests' in violated_invariants(record)
    record.keys[KEY].added_at = 7.6
    assert 'configured requests' not in violated_invariants(record)


def test_fleet_that_does_not_recover_is_found():
    """Guards against missing a fleet that serves nothing after the faults."""
    record = make_record(status=0)
    assert 'recovery' in violated_invariants(record)


def test_same_seed_same_plan():
    """Guards against seeds whose schedule cannot be reproduced."""
    assert draw_plan(3, 12) == draw_plan(3, 12)
    assert draw_plan(3, 12) != draw_plan(4, 12)


def test_foreign_bytes_in_a_body_are_found():
    """Guards against missing a request in the rest of an upload."""
    record = make_record()
    record.uploads.append(UploadEnd('1-1', 10.3, False, b'GET /views/1'))
    assert 'own bodies' in violated_invariants(record)


@pytest.mark.parametrize(
    ('change', 'is_found'),
    [
        ({}, True),
        ({'is_whole': True}, False),
        ({'ended_at': 99.0}, False),
        ({'request_id': 'of no caller'}, False),
    ],
    ids=['cut', 'whole', 'end of the run', 'of no caller'],
)
def test_body_that_is_cut_behind_its_success_is_found(change, is_found):
    """Guards against missing uploads that arrive in part."""
    record = make_record()
    record.ends_at = 90.0
    fields = {'request_id': '1-1', 'ended_at': 10.3, 'is_whole': False}
    record.uploads.append(UploadEnd(**{**fields, **change}))
    assert ('whole bodies' in violated_invariants(record)) == is_found


def test_body_that_a_fault_has_cut_is_excused():
    """Guards against reports of uploads that a crash has ended."""
    record = make_record()
    record.uploads.append(UploadEnd('1-1', 10.3, False))
    record.faults.append((10.2, 10.4, 'upstream_crash'))
    assert 'whole bodies' not in violated_invariants(record)
