"""Promotion of a document by compare-and-set, idempotent by attempt id."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import msgspec
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.document.environment import Environment, body_digest
from egretmill.document.transition import transition_violations
from egretmill.errors import ErrorKind, Failure
from egretmill.events import CATALOGUE
from egretmill.logs import log_event
from egretmill.settings import Problem
from egretmill.store.ports import ObjectStore, Put, Row, TableService

__all__ = (
    'CURRENT_KEY',
    'HISTORY_KEY',
    'HISTORY_LENGTH',
    'MAX_DOCUMENT_BYTES',
    'PROMOTION_TIMEOUT_S',
    'CurrentVersion',
    'PlatformStore',
    'Promoted',
    'Promoter',
)

CURRENT_KEY = 'config/current'
# The history has its own row, written in the same transaction: agents read
# the current row twice a second within a budget of 5 KB/s.
HISTORY_KEY = 'config/history'
# 512 promotions are 2.5 hours at 4,800 changes a day.
HISTORY_LENGTH = 512
# Parsing 2.7 MB of TOML (10,000 accounts) blocks an agent for 1.5 s. It sends
# no heartbeat meanwhile, and after 1.5 s its peers consider it lost.
MAX_DOCUMENT_BYTES = 1048576
# Enough for more than ten platform calls, each with a deadline of 0.5 s.
PROMOTION_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.2
# A version below the replaced one may come from a stale read, so the rows are
# read again for this long.
STALE_READ_RETRY_S = 2.0
FILE_NAME = 'document'

RowT = TypeVar('RowT')


class CurrentVersion(msgspec.Struct, frozen=True):
    """One promoted version, as stored in ``config/current`` and the history."""

    version: int
    digest: str
    attempt_id: str
    promoter: str


class History(msgspec.Struct, frozen=True):
    """The last promoted versions, oldest first."""

    versions: tuple[CurrentVersion, ...] = ()


class Promoted(msgspec.Struct, frozen=True):
    """A promotion that took effect."""

    version: int
    digest: str


class PlatformStore(TableService, ObjectStore, Protocol):
    """The platform interface that a promotion uses."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to replace ``expected_version`` with a document."""

    environment: Environment
    expected_version: int
    attempt_id: str
    promoter: str

    @property
    def new_version(self) -> CurrentVersion:
        """Return the version that the attempt writes."""
        return CurrentVersion(
            self.expected_version + 1,
            self.environment.digest,
            self.attempt_id,
            self.promoter,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRows:
    """The current row and the history, read in this order."""

    current: CurrentVersion | None
    current_row_version: int
    history: History
    history_row_version: int

    @property
    def version(self) -> int:
        """Return the version in force, 0 when there is none."""
        return self.current.version if self.current else 0

    @property
    def is_history_stale(self) -> bool:
        """Return whether the history does not end with the version in force."""
        newest = self.history.versions[-1:]
        return [row.version for row in newest] != [self.version]

    def find_version(self, version: int) -> CurrentVersion | None:
        """Return a version from the current row or the history."""
        if self.current and self.current.version == version:
            return self.current
        matching = (
            row for row in self.history.versions if row.version == version
        )
        return next(matching, None)

    def find_attempt(self, attempt_id: str) -> CurrentVersion | None:
        """Return the version that an attempt promoted, if the rows have it."""
        versions = (self.current, *reversed(self.history.versions))
        matching = (
            row for row in versions if row and row.attempt_id == attempt_id
        )
        return next(matching, None)


class Promoter:
    """Promotes documents through one host's agent.

    :param store: tables and objects of the platform.
    :param host: name of this host, recorded with each promotion.
    :param clock: monotonic time in seconds.
    :param get_applied: returns the document that the agent applies, which
        saves fetching it if it is the one to be replaced.
    :param sleep: waits for a number of seconds before a retry.
    """

    def __init__(
        self,
        store: PlatformStore,
        host: str,
        clock: Callable[[], float],
        get_applied: Callable[[], Environment | None] | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Set up the promoter without calls to the platform."""
        self.store = store
        self.host = host
        self.clock = clock
        self.get_applied = get_applied
        self.sleep = sleep
        self.timeout_s = PROMOTION_TIMEOUT_S

    async def promote(
        self,
        body: bytes,
        expected_version: int,
        attempt_id: str,
        operator: str,
    ) -> Result[Promoted, Failure]:
        """Put a document in force in place of ``expected_version``.

        The call is idempotent by attempt id: the attempt takes effect at most
        once, and a repeat returns its outcome as long as the history still
        contains its version.
        """
        validated = validate_document(body)
        if isinstance(validated, Err):
            return validated
        promoter = f'{operator}@{self.host}'
        attempt = Attempt(
            validated.ok_value,
            expected_version,
            attempt_id,
            promoter,
        )
        outcome = await PromotionCall(self, attempt).run()
        log_outcome(attempt, outcome)
        return outcome

    async def fetch_current(self) -> Result[CurrentVersion | None, Failure]:
        """Fetch the version in force; ``None`` before the first promotion."""
        read = await self.store.get_row(CURRENT_KEY)
        return read.and_then(lambda row: decode_row(row, CurrentVersion))

    async def fetch_document(
        self,
        current: CurrentVersion,
    ) -> Result[Environment, Failure]:
        """Fetch the document of a version and check its digest."""
        fetched = await self.store.get_object(current.digest)
        if isinstance(fetched, Err):
            return fetched
        body = fetched.ok_value
        if body_digest(body) != current.digest:
            detail = f'the object of version {current.version} is damaged'
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        environment = Environment.from_bytes(body, FILE_NAME, current.version)
        return environment.map_err(invalid_document)


class PromotionCall:
    """One call of :meth:`Promoter.promote`, up to its deadline."""

    def __init__(
        self,
        promoter: Promoter,
        attempt: Attempt,
    ) -> None:
        """Start the deadline of the call."""
        self.promoter = promoter
        self.store = promoter.store
        self.attempt = attempt
        self.started_at = promoter.clock()
        self.deadline = self.started_at + promoter.timeout_s
        self.transition_checked = False
        self.is_object_stored = False
        # Set before the first conditional write: from then on the attempt
        # may have taken effect even if no answer confirmed it.
        self.may_have_written = False

    async def run(self) -> Result[Promoted, Failure]:
        """Try until the attempt is decided or the deadline has passed."""
        while True:
            outcome = await self.try_once()
            if not has_kind(outcome, ErrorKind.PLATFORM_UNAVAILABLE):
                return outcome
            if self.promoter.clock() >= self.deadline:
                return Err(self.timeout_failure(outcome.unwrap_err()))
            await self.promoter.sleep(RETRY_DELAY_S)

    async def try_once(self) -> Result[Promoted, Failure]:
        """Read the rows and write them unless they decide the attempt."""
        read = await self.read_rows()
        if isinstance(read, Err):
            return read
        rows = read.ok_value
        earlier = rows.find_attempt(self.attempt.attempt_id)
        if earlier and earlier.version != self.attempt.new_version.version:
            return Err(attempt_id_reused(earlier))
        if rows.version != self.attempt.expected_version:
            return self.decide_from_rows(rows)
        prepared = await self.prepare(rows.current)
        if isinstance(prepared, Err):
            return prepared
        return await self.write(rows)

    async def read_rows(self) -> Result[ConfigurationRows, Failure]:
        """Read the current row, then the history, which is at least as new."""
        current_row = await self.store.get_row(CURRENT_KEY)
        if isinstance(current_row, Err):
            return current_row
        current = decode_row(current_row.ok_value, CurrentVersion)
        if isinstance(current, Err):
            return current
        history_row = await self.store.get_row(HISTORY_KEY)
        if isinstance(history_row, Err):
            return history_row
        history = decode_row(history_row.ok_value, History)
        return history.map(
            lambda stored_history: ConfigurationRows(
                current.ok_value,
                row_version(current_row.ok_value),
                stored_history or History(),
                row_version(history_row.ok_value),
            ),
        )

    def decide_from_rows(
        self, rows: ConfigurationRows
    ) -> Result[Promoted, Failure]:
        """Decide an attempt whose expected version is not in force.

        An attempt can only have promoted the version after the expected one,
        so the entry of that version decides it.
        """
        new_version = self.attempt.new_version
        promoted = rows.find_version(new_version.version)
        if promoted is None and self.may_be_stale(rows):
            detail = f'a read returned version {rows.version}'
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        if rows.version < self.attempt.expected_version:
            return Err(unknown_version(self.attempt, rows))
        if promoted is None:
            return Err(version_conflict(self.attempt, rows))
        if promoted.attempt_id != new_version.attempt_id:
            return Err(version_conflict(self.attempt, rows))
        if promoted.digest != new_version.digest:
            return Err(attempt_id_reused(promoted))
        return Ok(Promoted(promoted.version, promoted.digest))

    def may_be_stale(self, rows: ConfigurationRows) -> bool:
        """Return whether the rows may be older than a completed write.

        A version below the expected one is usually a mistake of the operator.
        It is accepted after ``STALE_READ_RETRY_S`` unless this call has
        written.
        """
        if rows.version >= self.attempt.expected_version:
            return rows.is_history_stale
        elapsed_s = self.promoter.clock() - self.started_at
        return self.may_have_written or elapsed_s < STALE_READ_RETRY_S

    async def prepare(
        self,
        current: CurrentVersion | None,
    ) -> Result[None, Failure]:
        """Check the transition and store the object, unless already done."""
        if current and not self.transition_checked:
            check_outcome = await self.check_transition(current)
            if isinstance(check_outcome, Err):
                return check_outcome
        self.transition_checked = True
        if not self.is_object_stored:
            put_outcome = await self.store.put_object(
                self.attempt.environment.body
            )
            if isinstance(put_outcome, Err):
                return put_outcome
        self.is_object_stored = True
        return Ok(None)

    async def check_transition(
        self,
        current: CurrentVersion,
    ) -> Result[None, Failure]:
        """Check the transition from the document in force to the new one."""
        before = await self.document_in_force(current)
        if isinstance(before, Err):
            return before
        violations = transition_violations(
            before.ok_value.document,
            self.attempt.environment.document,
        )
        problems = [Problem(FILE_NAME, *violation) for violation in violations]
        if problems:
            kind = ErrorKind.TRANSITION_REFUSED
            return Err(Failure(kind, format_problems(problems)))
        return Ok(None)

    async def document_in_force(
        self,
        current: CurrentVersion,
    ) -> Result[Environment, Failure]:
        """Return the agent's own copy or fetch it from the platform."""
        get_applied = self.promoter.get_applied
        applied = get_applied() if get_applied else None
        if applied is not None and applied.digest == current.digest:
            return Ok(applied)
        fetched = await self.promoter.fetch_document(current)
        if has_kind(fetched, ErrorKind.PLATFORM_UNAVAILABLE):
            return fetched
        # The cause is neither the new document nor an outage.
        return fetched.map_err(
            lambda failure: Failure(
                ErrorKind.TRANSITION_REFUSED,
                f'this agent cannot read version {current.version}, which is '
                f'in force: {failure.kind}: {failure.detail}',
            ),
        )

    async def write(self, rows: ConfigurationRows) -> Result[Promoted, Failure]:
        """Write both rows in one transaction, by compare-and-set."""
        new_version = self.attempt.new_version
        versions = (*rows.history.versions, new_version)[-HISTORY_LENGTH:]
        self.may_have_written = True
        written = await self.store.put_rows(
            (
                Put(
                    CURRENT_KEY,
                    rows.current_row_version,
                    encode_row(new_version),
                ),
                Put(
                    HISTORY_KEY,
                    rows.history_row_version,
                    encode_row(History(versions)),
                ),
            ),
        )
        if has_kind(written, ErrorKind.VERSION_CONFLICT):
            # Another attempt won, or an earlier write of this one took effect;
            # reading the rows again shows which.
            detail = 'the rows changed between read and write'
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        return written.map(
            lambda _: Promoted(new_version.version, new_version.digest)
        )

    def timeout_failure(self, last: Failure) -> Failure:
        """Return the failure to report after the deadline."""
        if not self.may_have_written:
            detail = f'{last.detail}; nothing was written by this call'
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)
        detail = (
            f'unknown: run promote again with the same attempt id '
            f'{self.attempt.attempt_id} ({last.detail})'
        )
        return Failure(ErrorKind.PROMOTION_UNKNOWN, detail)


def validate_document(body: bytes) -> Result[Environment, Failure]:
    """Check the size and the rules of a document."""
    if len(body) > MAX_DOCUMENT_BYTES:
        detail = f'{len(body)} bytes, at most {MAX_DOCUMENT_BYTES}'
        return Err(Failure(ErrorKind.BODY_TOO_LARGE, detail))
    return Environment.from_bytes(body, FILE_NAME).map_err(invalid_document)


def invalid_document(problems: list[Problem]) -> Failure:
    """Return the failure of a document with problems."""
    return Failure(ErrorKind.INVALID_DOCUMENT, format_problems(problems))


def format_problems(problems: list[Problem]) -> str:
    """Return one line for each problem."""
    return '\n'.join(str(problem) for problem in problems)


def unknown_version(attempt: Attempt, rows: ConfigurationRows) -> Failure:
    """Return the failure of an attempt that replaces a future version.

    It is not a conflict: no other attempt has won, and an earlier call of
    this attempt may have read a newer row.
    """
    detail = (
        f'the attempt replaces version {attempt.expected_version}, which does '
        f'not exist: version {rows.version} is in force; nothing was '
        'written by this call'
    )
    return Failure(ErrorKind.BAD_REQUEST, detail)


def attempt_id_reused(earlier: CurrentVersion) -> Failure:
    """Return the failure of an attempt id used for another promotion."""
    detail = (
        f'attempt {earlier.attempt_id} promoted version {earlier.version} with '
        f'digest {earlier.digest}; use a new attempt id for anything else'
    )
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


def version_conflict(attempt: Attempt, rows: ConfigurationRows) -> Failure:
    """Return the failure of an attempt that replaces an outdated version."""
    expected = attempt.expected_version
    in_force = f'version {rows.version} is in force'
    if rows.current:
        in_force = f'{in_force}, promoted by {rows.current.promoter}'
    detail = f'the attempt replaces version {expected}, but {in_force}'
    successor = rows.find_version(expected + 1)
    if successor is None:
        detail = (
            f'{detail}; the history no longer covers version {expected + 1}, '
            'so this attempt may have promoted it'
        )
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


def log_outcome(attempt: Attempt, outcome: Result[Promoted, Failure]) -> None:
    """Write the log line of a promotion."""
    common = {
        'version': attempt.new_version.version,
        'attempt': attempt.attempt_id,
        'operator': attempt.promoter,
    }
    match outcome:
        case Ok():
            log_event(CATALOGUE.PROMOTED, **common)
        case Err(Failure(kind=ErrorKind.PROMOTION_UNKNOWN, detail=detail)):
            log_event(CATALOGUE.PROMOTION_UNKNOWN, **common, reason=detail)
        case Err(Failure(kind=kind, detail=detail)):
            event = CATALOGUE.PROMOTION_REFUSED
            log_event(event, **common, kind=kind, reason=detail)


def has_kind(outcome: Result[Any, Failure], kind: ErrorKind) -> bool:
    """Return whether an outcome is a failure of one kind."""
    return isinstance(outcome, Err) and outcome.err_value.kind is kind


def decode_row(
    row: Row | None,
    kind: type[RowT],
) -> Result[RowT | None, Failure]:
    """Decode the JSON body of a row; a malformed one counts as an outage."""
    if row is None:
        return Ok(None)
    try:
        return Ok(msgspec.json.decode(row.body, type=kind))
    except DECODE_ERRORS as error:
        detail = f'malformed configuration row: {error}'
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))


def row_version(row: Row | None) -> int:
    """Return the version for the next compare-and-set of a row."""
    return row.version if row else 0


def encode_row(record: msgspec.Struct) -> str:
    """Encode the JSON body of a row."""
    return msgspec.json.encode(record).decode()
