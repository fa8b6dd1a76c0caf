"""Rows of claims for idempotency keys, and decisions from existing rows.

A claim is the row ``claims/<account>/<encoded key>``. Its states are
``running``, ``done``, ``unknown`` (it may have run) and ``released`` (no
byte was sent; the key may be claimed again).

The table service has neither a time to live nor a delete call. Each row
therefore carries the UTC day of its last write; the platform's own
retention job removes rows older than :data:`RETENTION_DAYS`. The ledger
honours a row of any age as long as it exists, so a wrong clock cannot make
a request run twice.
"""

import dataclasses
import re
from collections.abc import Callable, Container
from typing import Literal
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

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
    'Verdict',
    'bounded',
    'decide',
    'decode_row',
    'encode_row',
    'row_key',
)

#: Longest idempotency key that is accepted, in characters.
MAX_KEY_CHARS = 200
#: Largest stored answer: body plus header names and values, in bytes.
MAX_ANSWER_BYTES = 65536
#: Days for which a finished idempotency key is remembered.
RETENTION_DAYS = 30

# Visible ASCII without blanks: the store lists conflicting keys separated
# by blanks, and header values hold no control characters.
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

    def finished(self, record: RecordAnswer, day: int) -> 'ClaimRow':
        """Return the row after the owner recorded how it ended."""
        answer = bounded(record.answer) if record.state == 'done' else None
        return msgspec.structs.replace(
            self,
            state=record.state,
            answer=answer,
            day=day,
        )

    def without_answer(self) -> 'ClaimRow':
        """Return the row without the body of its answer."""
        return msgspec.structs.replace(self, answer=None)

    def decision(self) -> ClaimDecision:
        """Return the decision for a repeat of a row that is not free."""
        if self.state == 'running':
            return ClaimDecision('in_progress')
        if self.state != 'done':
            return ClaimDecision('owner_lost')
        if self.answer is None:
            return ClaimDecision('not_stored')
        return ClaimDecision('repeat', self.answer)


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The host that decides, and what it knows of other owners.

    :param orphans: attempt ids of this incarnation that were refused to
        the caller although their write may have taken effect.
    """

    host: str
    incarnation: int
    is_live: Callable[[str, int], bool]
    orphans: Container[str] = ()

    def lives(self, row: ClaimRow) -> bool:
        """Tell whether the owner of a row is live."""
        if row.owner == self.host:
            return row.incarnation == self.incarnation
        return self.is_live(row.owner, row.incarnation)

    def abandoned(self, row: ClaimRow) -> bool:
        """Tell whether a row is an orphaned claim of this incarnation."""
        own = (row.owner, row.incarnation) == (self.host, self.incarnation)
        return own and row.attempt_id in self.orphans


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A decision; ``granted`` still has to replace the row's version."""

    decision: ClaimDecision
    replaces: int = 0


def decide(found: Row | None, claim: Claim, owner: Owner) -> Verdict:
    """Decide a claim from the row that exists under its key.

    A damaged row gives ``owner_lost``: the request may have run.
    """
    if found is None:
        return Verdict(ClaimDecision('granted'))
    row = decode_row(found.body).unwrap_or(None)
    if row is None:
        return Verdict(ClaimDecision('owner_lost'))
    own = row.attempt_id == claim.attempt_id and row.state == 'running'
    if own or row.state == 'released' or owner.abandoned(row):
        return Verdict(ClaimDecision('granted'), found.version)
    if differs(row, claim):
        return Verdict(ClaimDecision('mismatch'))
    if row.state == 'running' and not owner.lives(row):
        return Verdict(ClaimDecision('owner_lost'))
    return Verdict(row.decision())


def differs(row: ClaimRow, claim: Claim) -> bool:
    """Tell whether a claim is for another account or request body."""
    claimed = (claim.account, claim.request_digest)
    return (row.account, row.request_digest) != claimed


def row_key(account: str, idempotency_key: str) -> Result[str, Failure]:
    """Validate an idempotency key and return the key of its row.

    The key is percent-encoded, dots included, so that it is one segment of
    a path and never ``.`` or ``..``. Failures are ``bad_request``.
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


def bounded(answer: StoredAnswer | None) -> StoredAnswer | None:
    """Return the answer, ``None`` when it is too large to keep."""
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
    """Return the body of a row."""
    return msgspec.json.encode(row).decode()


def decode_row(body: str) -> Result[ClaimRow, Failure]:
    """Decode the body of a row; a malformed one is ``internal``."""
    try:
        return Ok(msgspec.json.decode(body, type=ClaimRow))
    except msgspec.DecodeError as error:
        return Err(Failure(ErrorKind.INTERNAL, str(error)))
