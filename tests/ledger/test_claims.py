"""Decisions from an existing row, and the keys of rows."""

import msgspec
import pytest

from egretmill.errors import ErrorKind
from egretmill.ledger import claims
from egretmill.store import Row
from egretmill.wire.messages import Claim, RecordAnswer, StoredAnswer

ANSWER = StoredAnswer(200, (('A', 'b'),), b'paid')
CLAIM = Claim('rota', 'k', 'd1', 'mine', 1)
OWNER = claims.Owner(
    'a', 2, lambda host, number: (host, number) == ('b', 5), {'lost'}
)


def row(state='running', owner='b', incarnation=5, **values):
    """Return a row of another attempt."""
    default_row = claims.ClaimRow(
        'rota', 'd1', owner, incarnation, 'other', state, 1
    )
    return msgspec.structs.replace(default_row, **values)


CASES = (
    (None, 'granted', 0),
    (row(), 'in_progress', 0),
    (row(incarnation=4), 'owner_lost', 0),
    (row(owner='c'), 'owner_lost', 0),
    (row(owner='a', incarnation=2), 'in_progress', 0),
    (row(owner='a', incarnation=1), 'owner_lost', 0),
    (row(owner='a', incarnation=2, attempt_id='lost'), 'granted', 3),
    (row(owner='a', incarnation=1, attempt_id='lost'), 'owner_lost', 0),
    (row('unknown', 'a', 2), 'owner_lost', 0),
    (row('done', 'a', 2), 'not_stored', 0),
    (row('done', answer=ANSWER), 'repeat', 0),
    (row('released'), 'granted', 3),
    (row('released', request_digest='d2'), 'granted', 3),
    (row(attempt_id='mine'), 'granted', 3),
    (row('unknown', attempt_id='mine'), 'owner_lost', 0),
    (row(request_digest='d2'), 'mismatch', 0),
    (row(incarnation=4, request_digest='d2'), 'mismatch', 0),
    (row('done', answer=ANSWER, account='other'), 'mismatch', 0),
)


@pytest.mark.parametrize(
    ('stored_row', 'status', 'expected_version'), CASES, ids=str
)
def test_decision_from_a_row(stored_row, status, expected_version):
    """Guards against granting a key whose request may have run."""
    stored = Row(3, claims.encode_row(stored_row)) if stored_row else None
    row_decision = claims.decide(stored, CLAIM, OWNER)
    assert (row_decision.decision.status, row_decision.expected_version) == (
        status,
        expected_version,
    )
    if status == 'repeat':
        assert row_decision.decision.answer == ANSWER


def test_malformed_row_is_never_granted():
    """Guards against a second execution when a row cannot be decoded."""
    row_decision = claims.decide(Row(3, '{"account": 1}'), CLAIM, OWNER)
    assert row_decision.decision.status == 'owner_lost'


@pytest.mark.parametrize(
    ('size', 'kept'),
    [(claims.MAX_ANSWER_BYTES - 2, True), (claims.MAX_ANSWER_BYTES - 1, False)],
)
def test_answers_are_bounded_with_their_headers(size, kept):
    """Guards against a size check that ignores headers."""
    answer = StoredAnswer(200, (('A', 'b'),), bytes(size))
    message = RecordAnswer('rota', 'k', 'other', 'done', answer)
    assert (row().with_outcome(message, 2).answer is not None) == kept


def test_unknown_and_released_rows_hold_no_answer():
    """Guards against storing the answer of a request that did not finish."""
    message = RecordAnswer('rota', 'k', 'other', 'unknown', ANSWER)
    assert row().with_outcome(message, 2).answer is None


@pytest.mark.parametrize(
    ('key', 'encoded'),
    [
        ('instalment-7', 'instalment-7'),
        ('a/b', 'a%2Fb'),
        ('..', '%2E%2E'),
        ('%2F', '%252F'),
        ('x' * 200, 'x' * 200),
    ],
)
def test_keys_are_one_path_segment(key, encoded):
    """Guards against keys that resolve to the row of another key."""
    assert claims.row_key('rota', key).ok_value == f'claims/rota/{encoded}'


@pytest.mark.parametrize(
    ('account', 'key'),
    [
        ('rota', ''),
        ('rota', 'x' * 201),
        ('rota', 'a b'),
        ('rota', 'ä'),
        ('rota', 'a\x00'),
        ('Rota/x', 'a'),
        ('', 'a'),
    ],
)
def test_malformed_keys_are_bad_requests(account, key):
    """Guards against keys that the platform interface cannot represent."""
    refused = claims.row_key(account, key)
    assert refused.err_value.kind is ErrorKind.BAD_REQUEST
