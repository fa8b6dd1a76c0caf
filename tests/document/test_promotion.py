"""A promotion reports its true outcome, whatever faults the platform has."""

import asyncio

import msgspec
import pytest
from result import Err, Ok

from egretmill.document import Environment
from egretmill.document.promotion import (
    CURRENT_KEY,
    HISTORY_KEY,
    HISTORY_LENGTH,
    MAX_DOCUMENT_BYTES,
    History,
    Promoter,
    encode_row,
)
from egretmill.errors import ErrorKind
from egretmill.store import Put
from tests.document.fakes import Clock, FakeStore, Fault, edited, sample

FIRST = sample().encode()
SECOND = edited('rate_per_s = 120.0', 'rate_per_s = 130.0')
THIRD = edited('rate_per_s = 120.0', 'rate_per_s = 140.0')


def platform(*faults: Fault):
    """Return a store and a promoter on it."""
    clock = Clock()
    store = FakeStore(clock, faults)
    return store, Promoter(store, 'eh-1', clock, sleep=clock.sleep)


async def test_first_and_second_version():
    """Guards against versions that do not increase by one."""
    store, promoter = platform()
    first = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    second = await promoter.promote(SECOND, 1, 'attempt-2', 'anna')
    assert [first.unwrap().version, second.unwrap().version] == [1, 2]
    current = (await promoter.fetch_current()).unwrap()
    assert (current.version, current.promoter) == (2, 'anna@eh-1')
    environment = (await promoter.fetch_document(current)).unwrap()
    assert (environment.body, environment.version) == (SECOND, 2)


async def test_no_version_before_the_first_promotion():
    """Guards against an invented version before the first promotion."""
    _, promoter = platform()
    assert await promoter.fetch_current() == Ok(None)


async def test_race_has_one_winner():
    """Guards against two successful promotions of the same version."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    outcomes = await asyncio.gather(
        promoter.promote(SECOND, 1, 'attempt-2', 'anna'),
        promoter.promote(THIRD, 1, 'attempt-3', 'boris'),
    )
    winners = [outcome for outcome in outcomes if isinstance(outcome, Ok)]
    losers = [outcome for outcome in outcomes if isinstance(outcome, Err)]
    assert len(winners) == 1
    failure = losers[0].err_value
    assert failure.kind is ErrorKind.VERSION_CONFLICT
    assert 'replaces version 1, but version 2 is in force' in failure.detail
    assert 'promoted by anna@eh-1' in failure.detail


async def test_repeat_is_recognised_after_later_versions():
    """Guards against a repeat that conflicts with its own earlier success."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    await promoter.promote(SECOND, 1, 'attempt-2', 'boris')
    await promoter.promote(THIRD, 2, 'attempt-3', 'boris')
    again = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    assert again.unwrap().version == 1
    current = (await promoter.fetch_current()).unwrap()
    assert current.version == 3


async def test_attempt_id_of_another_document_is_refused():
    """Guards against reporting success for a document never promoted."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    again = await promoter.promote(SECOND, 0, 'attempt-1', 'anna')
    failure = again.unwrap_err()
    assert failure.kind is ErrorKind.VERSION_CONFLICT
    assert 'use a new attempt id' in failure.detail


async def test_attempt_id_of_another_version_is_refused():
    """Guards against a repeat with another number that promotes twice."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    again = await promoter.promote(FIRST, 1, 'attempt-1', 'anna')
    assert again.unwrap_err().kind is ErrorKind.VERSION_CONFLICT
    await promoter.promote(SECOND, 1, 'attempt-2', 'anna')
    again = await promoter.promote(FIRST, 2, 'attempt-1', 'anna')
    assert 'attempt-1 promoted version 1' in again.unwrap_err().detail
    assert (await promoter.fetch_current()).unwrap().version == 2


async def test_same_attempt_through_two_agents():
    """Guards against two promotions by concurrent calls of one attempt."""
    store, promoter = platform(Fault('put rows', 'lost', times=1))
    other = Promoter(store, 'eh-2', store.clock, sleep=store.clock.sleep)
    answers = await asyncio.gather(
        promoter.promote(FIRST, 0, 'attempt-1', 'anna'),
        other.promote(FIRST, 0, 'attempt-1', 'anna'),
    )
    assert [answer.unwrap().version for answer in answers] == [1, 1]
    assert store.rows[HISTORY_KEY].version == 1


async def test_expired_history_is_reported():
    """Guards against a conflict that hides an own earlier success."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-0', 'anna')
    first = (await promoter.fetch_current()).unwrap()
    later = [
        msgspec.structs.replace(first, version=number, attempt_id=f'a-{number}')
        for number in range(1, HISTORY_LENGTH + 1)
    ]
    await store.put_rows(
        [
            Put(CURRENT_KEY, 1, encode_row(later[-1])),
            Put(HISTORY_KEY, 1, encode_row(History(tuple(later)))),
        ],
    )
    await promoter.promote(SECOND, HISTORY_LENGTH, 'attempt-1', 'anna')
    again = await promoter.promote(FIRST, 0, 'attempt-0', 'anna')
    failure = again.unwrap_err()
    assert failure.kind is ErrorKind.VERSION_CONFLICT
    assert 'this attempt may have promoted it' in failure.detail
    kept = msgspec.json.decode(store.rows[HISTORY_KEY].body)['versions']
    assert len(kept) == HISTORY_LENGTH


async def test_lost_answer_is_resolved_from_the_row():
    """Guards against a success that is reported as unknown."""
    store, promoter = platform(Fault('put rows', 'lost', times=1))
    promoted = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    assert promoted.unwrap().version == 1


async def test_late_write_does_not_apply_twice():
    """Guards against a delayed write that repeats a settled attempt."""
    store, promoter = platform(
        Fault('put rows', 'late', times=1, delay_calls=5),
    )
    promoted = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    await promoter.promote(SECOND, 1, 'attempt-2', 'anna')
    assert promoted.unwrap().version == 1
    assert (await promoter.fetch_current()).unwrap().version == 2
    assert not store.late


async def test_unknown_outcome_is_resolved_by_a_repeat():
    """Guards against reporting a failure when the write took effect."""
    store, promoter = platform(Fault('put rows', 'lost'))
    original = store.apply

    def apply_and_cut(puts):
        store.switch_faults(Fault('get config/current', 'down'))
        return original(puts)

    store.apply = apply_and_cut
    unknown = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    failure = unknown.unwrap_err()
    assert failure.kind is ErrorKind.PROMOTION_UNKNOWN
    assert 'run promote again with the same attempt id' in failure.detail
    store.switch_faults()
    store.apply = original
    again = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    assert again.unwrap().version == 1
    assert store.rows[CURRENT_KEY].version == 1


@pytest.mark.parametrize(
    'step',
    ['get config/current', 'get config/history', 'put object'],
)
async def test_platform_down_before_the_write(step):
    """Guards against "unknown" where certainly nothing was written."""
    store, promoter = platform(Fault(step, 'down'))
    refused = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    failure = refused.unwrap_err()
    assert failure.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert 'nothing was written by this call' in failure.detail
    assert not store.rows


async def test_deadline_bounds_the_whole_call():
    """Guards against a call that runs far past its deadline."""
    store, promoter = platform(Fault('any', 'down'))
    started_at = store.clock()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    assert store.clock() - started_at <= promoter.timeout_s + 1


async def test_invalid_document_writes_nothing():
    """Guards against an invalid document that reaches the platform."""
    store, promoter = platform()
    refused = await promoter.promote(b'regions = 1', 0, 'attempt-1', 'anna')
    failure = refused.unwrap_err()
    assert failure.kind is ErrorKind.INVALID_DOCUMENT
    assert '$.regions = 1' in failure.detail
    assert not store.calls


async def test_too_large_document_is_refused():
    """Guards against a document that fits in no message between agents."""
    _, promoter = platform()
    body = FIRST + b'#' * MAX_DOCUMENT_BYTES
    refused = await promoter.promote(body, 0, 'attempt-1', 'anna')
    assert refused.unwrap_err().kind is ErrorKind.BODY_TOO_LARGE


async def test_refused_transition_names_path_and_value():
    """Guards against a change of share slots while slots are held."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    body = edited('share_slots = 2', 'share_slots = 3')
    refused = await promoter.promote(body, 1, 'attempt-2', 'anna')
    failure = refused.unwrap_err()
    assert failure.kind is ErrorKind.TRANSITION_REFUSED
    assert '$.failure_domains = tbilisi-a: 3' in failure.detail
    assert (await promoter.fetch_current()).unwrap().version == 1


async def test_local_copy_avoids_fetching_the_object():
    """Guards against needing an object that the platform has lost."""
    store, promoter = platform(Fault('get object', 'down'))
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    known = Environment.from_bytes(FIRST, version=1).unwrap()
    promoter.get_applied = lambda: known
    promoted = await promoter.promote(SECOND, 1, 'attempt-2', 'anna')
    assert promoted.unwrap().version == 2


async def test_damaged_object_is_not_used():
    """Guards against a document that differs from its digest."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    current = (await promoter.fetch_current()).unwrap()
    store.objects[current.digest] = SECOND
    damaged = await promoter.fetch_document(current)
    assert damaged.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE


async def test_stale_history_is_read_again():
    """Guards against a conflict that hides an own earlier success."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    await promoter.promote(SECOND, 1, 'attempt-2', 'anna')
    await promoter.promote(THIRD, 2, 'attempt-3', 'anna')
    store.previous.clear()
    store.switch_faults(Fault('get config/history', 'stale', times=3))
    again = await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    assert again.unwrap().version == 1


async def test_malformed_row_is_an_outage():
    """Guards against an exception on a row written by another program."""
    store, promoter = platform()
    await store.put_row(CURRENT_KEY, 0, 'not JSON')
    read = await promoter.fetch_current()
    assert read.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE


async def test_future_version_is_refused_before_the_deadline():
    """Guards against retrying a wrong version number until the deadline."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    started_at = store.clock()
    refused = await promoter.promote(SECOND, 9, 'attempt-2', 'anna')
    failure = refused.unwrap_err()
    assert failure.kind is ErrorKind.BAD_REQUEST
    assert 'replaces version 9, which does not exist' in failure.detail
    assert 'nothing was written by this call' in failure.detail
    assert store.clock() - started_at < 3


async def test_lost_object_in_force_is_explained():
    """Guards against a message that blames the new document."""
    store, promoter = platform()
    await promoter.promote(FIRST, 0, 'attempt-1', 'anna')
    store.objects.clear()
    refused = await promoter.promote(SECOND, 1, 'attempt-2', 'anna')
    failure = refused.unwrap_err()
    assert failure.kind is ErrorKind.TRANSITION_REFUSED
    assert 'this agent cannot read version 1, which is in' in failure.detail
