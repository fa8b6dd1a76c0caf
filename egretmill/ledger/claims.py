"""Rows of claims for idempotency keys, and decisions from existing rows.

A claim is the row ``claims/<account>/<encoded key>``. Its states are
``running``, ``done``, ``unknown`` (it may have run) and ``released`` (no
byte was sent; the key may be claimed again).

The table service supports neither a time to live nor deletion. Each row
therefore carries the UTC day of its last write, and a retention job of the
platform removes rows older than :data:`RETENTION_DAYS`. A row counts for as
long as it exists, whatever its age, so a wrong clock cannot make a request
run twice.
"""

import dataclasses
import re
from collections.abc import Callable, Container
from typing import Literal
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.errors import ErrorKind, Failure
from egretmill.store.ports import Row
from egretmill.wire.messages import (
    Claim,
    ClaimDecision,
    RecordAnswer,
    StoredAnswer,
)

__all__ = (
    'MAX_ANSWER_BYTES',
    'MAX_KEY_CHARS',
    'RETENTION_DAYS',
    'ClaimRow',
    'Owner',
    'RowDecision',
    'decide',
    'decode_row',
    'encode_row',
    'row_key',
    'storable_answer',
)

#: Maximum length of an idempotency key, in characters.
MAX_KEY_CHARS = 200
#: Maximum size of a stored answer (body, header names and values), in bytes.
MAX_ANSWER_BYTES = 65536
#: Days for which the row of a finished request is retained.
RETENTION_DAYS = 30

# Visible ASCII without spaces: the store lists conflicting keys separated by
# spaces, and header values must not contain control characters.
KEY_PATTERN = re.compile(r'[\x21-\x7e]+')
ACCOUNT_PATTERN = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')

State = Literal['running', 'done', 'unknown', 'released']


class ClaimRow(msgspec.Struct, frozen=True):
    """Body of a claim's row; ``day`` counts UTC days since 1970."""

    account: str
    request_digest: str
    owner: str
    incarnation: int
    attempt_id: str
    state: State
    day: int
    answer: StoredAnswer | None = None

    def with_outcome(self, record: RecordAnswer, day: int) -> 'ClaimRow':
        """Return the row with the outcome that the owner recorded."""
        answer = (
            storable_answer(record.answer) if record.state == 'done' else None
        )
        return msgspec.structs.replace(
            self,
            state=record.state,
            answer=answer,
            day=day,
        )

    def without_answer(self) -> 'ClaimRow':
        """Return the row without its stored answer."""
        return msgspec.structs.replace(self, answer=None)

    def repeat_decision(self) -> ClaimDecision:
        """Return the decision for a repeated request with this key."""
        if self.state == 'running':
            return ClaimDecision('in_progress')
        if self.state != 'done':
            return ClaimDecision('owner_lost')
        if self.answer is None:
            return ClaimDecision('not_stored')
        return ClaimDecision('repeat', self.answer)


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The deciding host and its view of the liveness of other owners.

    :param orphans: attempt ids of this incarnation that were refused to
        the caller although their write may have taken effect.
    """

    host: str
    incarnation: int
    is_live: Callable[[str, int], bool]
    orphans: Container[str] = ()

    def is_owner_live(self, row: ClaimRow) -> bool:
        """Return whether the owner of a row still runs."""
        if row.owner == self.host:
            return row.incarnation == self.incarnation
        return self.is_live(row.owner, row.incarnation)

    def is_orphan(self, row: ClaimRow) -> bool:
        """Return whether a row is an orphaned claim of this incarnation."""
        is_local = (row.owner, row.incarnation) == (self.host, self.incarnation)
        return is_local and row.attempt_id in self.orphans


@dataclasses.dataclass(frozen=True, slots=True)
class RowDecision:
    """A decision from a row; ``granted`` must still be written.

    ``expected_version`` is the version of the row that this write replaces.
    """

    decision: ClaimDecision
    expected_version: int = 0


def decide(stored: Row | None, claim: Claim, owner: Owner) -> RowDecision:
    """Decide a claim from the stored row of its key.

    A malformed row gives ``owner_lost``, as the request may have run.
    """
    if stored is None:
        return RowDecision(ClaimDecision('granted'))
    row = decode_row(stored.body).unwrap_or(None)
    if row is None:
        return RowDecision(ClaimDecision('owner_lost'))
    is_same_attempt = (
        row.attempt_id == claim.attempt_id and row.state == 'running'
    )
    if is_same_attempt or row.state == 'released' or owner.is_orphan(row):
        return RowDecision(ClaimDecision('granted'), stored.version)
    if is_mismatch(row, claim):
        return RowDecision(ClaimDecision('mismatch'))
    if row.state == 'running' and not owner.is_owner_live(row):
        return RowDecision(ClaimDecision('owner_lost'))
    return RowDecision(row.repeat_decision())


def is_mismatch(row: ClaimRow, claim: Claim) -> bool:
    """Return whether a claim is for another account or request body."""
    claimed = (claim.account, claim.request_digest)
    return (row.account, row.request_digest) != claimed


def row_key(account: str, idempotency_key: str) -> Result[str, Failure]:
    """Validate an idempotency key and return the key of its row.

    The key is percent-encoded, dots included, so that it is a single path
    segment and never ``.`` or ``..``. Failures are ``bad_request``.
    """
    if not ACCOUNT_PATTERN.fullmatch(account):
        return Err(Failure(ErrorKind.BAD_REQUEST, 'malformed account'))
    if len(idempotency_key) > MAX_KEY_CHARS:
        detail = f'idempotency key is longer than {MAX_KEY_CHARS} characters'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    if not KEY_PATTERN.fullmatch(idempotency_key):
        detail = 'idempotency key must be visible ASCII without blanks'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    encoded = quote(idempotency_key, safe='').replace('.', '%2E')
    return Ok(f'claims/{account}/{encoded}')


def storable_answer(answer: StoredAnswer | None) -> StoredAnswer | None:
    """Return the answer, or ``None`` if it is too large to store."""
    if answer is None or answer_bytes(answer) > MAX_ANSWER_BYTES:
        return None
    return answer


def answer_bytes(answer: StoredAnswer | None) -> int:
    """Return the size of an answer: body, header names and values."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return headers + len(answer.body)


def encode_row(row: ClaimRow) -> str:
    """Encode the body of a row."""
    return msgspec.json.encode(row).decode()


def decode_row(body: str) -> Result[ClaimRow, Failure]:
    """Decode the body of a row; a malformed one is ``internal``."""
    try:
        return Ok(msgspec.json.decode(body, type=ClaimRow))
    except DECODE_ERRORS as error:
        return Err(Failure(ErrorKind.INTERNAL, str(error)))
