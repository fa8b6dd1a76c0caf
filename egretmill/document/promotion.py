"""Promotion of a document: compare-and-set, settled by attempt id."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import msgspec
from result import Err, Ok, Result

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
    'PROMOTION_LIMIT_S',
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
# Reading 2.7 MB of TOML (10,000 accounts) took 1.5 s, in which an agent
# sends no heartbeat; after that time its peers take it for lost.
MAX_DOCUMENT_BYTES = 1048576
# A platform call has a deadline of 0.5 s, so this is more than ten calls.
PROMOTION_LIMIT_S = 8.0
RETRY_PAUSE_S = 0.2
# A version below the replaced one can come from a read that lags behind the
# writes; this long it is read again.
LAGGING_READ_LIMIT_S = 2.0
FILE_NAME = 'document'

RowT = TypeVar('RowT')


class CurrentVersion(msgspec.Struct, frozen=True):
    """One promoted version, as in ``config/current`` and the history."""

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
    """What a promotion needs of the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to replace ``expected_version`` with a document."""

    environment: Environment
    expected_version: int
    attempt_id: str
    promoter: str

    @property
    def entry(self) -> CurrentVersion:
        """Return the entry that the attempt writes."""
        return CurrentVersion(
            self.expected_version + 1,
            self.environment.digest,
            self.attempt_id,
            self.promoter,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Both configuration rows, as read one after the other."""

    current: CurrentVersion | None
    current_row_version: int
    history: History
    history_row_version: int

    @property
    def version(self) -> int:
        """Return the version in force, 0 when there is none."""
        return self.current.version if self.current else 0

    @property
    def history_lags(self) -> bool:
        """Tell whether the history lacks the version in force."""
        newest = self.history.versions[-1:]
        return [row.version for row in newest] != [self.version]

    def find(self, version: int) -> CurrentVersion | None:
        """Return what is known of a version."""
        if self.current and self.current.version == version:
            return self.current
        found = (row for row in self.history.versions if row.version == version)
        return next(found, None)

    def promoted_by(self, attempt_id: str) -> CurrentVersion | None:
        """Return the version that an attempt made, as far as is known."""
        known = (self.current, *reversed(self.history.versions))
        found = (row for row in known if row and row.attempt_id == attempt_id)
        return next(found, None)


class Promoter:
    """Promotes documents through one host's agent.

    :param store: tables and objects of the platform.
    :param host: name of this host, recorded with each promotion.
    :param clock: monotonic time in seconds.
    :param in_force: returns the document that the agent applies, which
        saves reading it back when it is the one to be replaced.
    :param sleep: pause between two calls after a failed one.
    """

    def __init__(
        self,
        store: PlatformStore,
        host: str,
        clock: Callable[[], float],
        in_force: Callable[[], Environment | None] | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Keep the collaborators; nothing is read yet."""
        self.store = store
        self.host = host
        self.clock = clock
        self.in_force = in_force
        self.sleep = sleep
        self.limit_s = PROMOTION_LIMIT_S

    async def promote(
        self,
        body: bytes,
        expected_version: int,
        attempt_id: str,
        operator: str,
    ) -> Result[Promoted, Failure]:
        """Put a document in force in place of ``expected_version``.

        Repeating a call with the same attempt id is safe: the attempt
        takes effect once at most, and a repeat reports what became of it
        while the history still covers its version.
        """
        checked = validate(body)
        if isinstance(checked, Err):
            return checked
        promoter = f'{operator}@{self.host}'
        attempt = Attempt(
            checked.ok_value,
            expected_version,
            attempt_id,
            promoter,
        )
        outcome = await Run(self, attempt).settle()
        log_outcome(attempt, outcome)
        return outcome

    async def fetch_current(self) -> Result[CurrentVersion | None, Failure]:
        """Return the version in force, ``None`` before the first one."""
        read = await self.store.get_row(CURRENT_KEY)
        return read.and_then(lambda row: decode_row(row, CurrentVersion))

    async def fetch_document(
        self,
        current: CurrentVersion,
    ) -> Result[Environment, Failure]:
        """Return the document of a version after checking its digest."""
        found = await self.store.get_object(current.digest)
        if isinstance(found, Err):
            return found
        body = found.ok_value
        if body_digest(body) != current.digest:
            detail = f'the object of version {current.version} is damaged'
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        environment = Environment.from_bytes(body, FILE_NAME, current.version)
        return environment.map_err(invalid)


class Run:
    """One call of :meth:`Promoter.promote`, up to its deadline."""

    def __init__(
        self,
        promoter: Promoter,
        attempt: Attempt,
    ) -> None:
        """Start before the first call to the platform."""
        self.promoter = promoter
        self.store = promoter.store
        self.attempt = attempt
        self.began = promoter.clock()
        self.deadline = self.began + promoter.limit_s
        self.transition_checked = False
        self.stored = False
        # Set before the first conditional write: from then on the attempt
        # may have taken effect although no answer said so.
        self.may_be_written = False

    async def settle(self) -> Result[Promoted, Failure]:
        """Repeat the steps until one of them decides the attempt."""
        while True:
            outcome = await self.advance()
            if not has_kind(outcome, ErrorKind.PLATFORM_UNAVAILABLE):
                return outcome
            if self.promoter.clock() >= self.deadline:
                return Err(self.give_up(outcome.unwrap_err()))
            await self.promoter.sleep(RETRY_PAUSE_S)

    async def advance(self) -> Result[Promoted, Failure]:
        """Read the rows, then write if the attempt is not yet decided."""
        read = await self.read_standing()
        if isinstance(read, Err):
            return read
        standing = read.ok_value
        earlier = standing.promoted_by(self.attempt.attempt_id)
        if earlier and earlier.version != self.attempt.entry.version:
            return Err(reused(earlier))
        if standing.version != self.attempt.expected_version:
            return self.decide(standing)
        prepared = await self.prepare(standing.current)
        if isinstance(prepared, Err):
            return prepared
        return await self.write(standing)

    async def read_standing(self) -> Result[Standing, Failure]:
        """Read the current row, then the history, which is as new."""
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
            lambda found: Standing(
                current.ok_value,
                row_version(current_row.ok_value),
                found or History(),
                row_version(history_row.ok_value),
            ),
        )

    def decide(self, standing: Standing) -> Result[Promoted, Failure]:
        """Tell who promoted the version that this attempt asks for.

        An attempt can only have made the version after the one that it
        replaces, so that entry alone decides it.
        """
        entry = self.attempt.entry
        made = standing.find(entry.version)
        if made is None and self.may_lag(standing):
            detail = f'a read returned version {standing.version}'
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        if standing.version < self.attempt.expected_version:
            return Err(not_yet(self.attempt, standing))
        if made is None:
            return Err(conflict(self.attempt, standing))
        if made.attempt_id != entry.attempt_id:
            return Err(conflict(self.attempt, standing))
        if made.digest != entry.digest:
            return Err(reused(made))
        return Ok(Promoted(made.version, made.digest))

    def may_lag(self, standing: Standing) -> bool:
        """Tell whether the rows may be older than a finished write.

        A version below the replaced one is usually a slip of the operator,
        so without a write of this call it is believed after a while.
        """
        if standing.version >= self.attempt.expected_version:
            return standing.history_lags
        elapsed_s = self.promoter.clock() - self.began
        return self.may_be_written or elapsed_s < LAGGING_READ_LIMIT_S

    async def prepare(
        self,
        current: CurrentVersion | None,
    ) -> Result[None, Failure]:
        """Check the transition and store the object, each once."""
        if current and not self.transition_checked:
            allowed = await self.check_transition(current)
            if isinstance(allowed, Err):
                return allowed
        self.transition_checked = True
        if not self.stored:
            put = await self.store.put_object(self.attempt.environment.body)
            if isinstance(put, Err):
                return put
        self.stored = True
        return Ok(None)

    async def check_transition(
        self,
        current: CurrentVersion,
    ) -> Result[None, Failure]:
        """Apply the rules between the document in force and the new one."""
        before = await self.document_in_force(current)
        if isinstance(before, Err):
            return before
        broken = transition_violations(
            before.ok_value.document,
            self.attempt.environment.document,
        )
        problems = [Problem(FILE_NAME, *violation) for violation in broken]
        if problems:
            kind = ErrorKind.TRANSITION_REFUSED
            return Err(Failure(kind, listed(problems)))
        return Ok(None)

    async def document_in_force(
        self,
        current: CurrentVersion,
    ) -> Result[Environment, Failure]:
        """Return the agent's own copy or read it from the platform."""
        in_force = self.promoter.in_force
        local = in_force() if in_force else None
        if local is not None and local.digest == current.digest:
            return Ok(local)
        found = await self.promoter.fetch_document(current)
        if has_kind(found, ErrorKind.PLATFORM_UNAVAILABLE):
            return found
        # Neither the operator's input nor an outage is the cause.
        return found.map_err(
            lambda failure: Failure(
                ErrorKind.TRANSITION_REFUSED,
                f'this agent cannot read version {current.version}, which is '
                f'in force: {failure.kind}: {failure.detail}',
            ),
        )

    async def write(self, standing: Standing) -> Result[Promoted, Failure]:
        """Compare-and-set both rows in one transaction."""
        entry = self.attempt.entry
        versions = (*standing.history.versions, entry)[-HISTORY_LENGTH:]
        self.may_be_written = True
        written = await self.store.put_rows(
            (
                Put(CURRENT_KEY, standing.current_row_version, text_of(entry)),
                Put(
                    HISTORY_KEY,
                    standing.history_row_version,
                    text_of(History(versions)),
                ),
            ),
        )
        if has_kind(written, ErrorKind.VERSION_CONFLICT):
            # Either another attempt won or an earlier write of this one
            # took effect; reading the rows again tells which.
            detail = 'the rows changed between read and write'
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        return written.map(lambda _: Promoted(entry.version, entry.digest))

    def give_up(self, last: Failure) -> Failure:
        """Return the answer after the deadline."""
        if not self.may_be_written:
            detail = f'{last.detail}; nothing was written by this call'
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)
        detail = (
            f'unknown: run promote again with the same attempt id '
            f'{self.attempt.attempt_id} ({last.detail})'
        )
        return Failure(ErrorKind.PROMOTION_UNKNOWN, detail)


def validate(body: bytes) -> Result[Environment, Failure]:
    """Check size and rules of a document."""
    if len(body) > MAX_DOCUMENT_BYTES:
        detail = f'{len(body)} bytes, at most {MAX_DOCUMENT_BYTES}'
        return Err(Failure(ErrorKind.BODY_TOO_LARGE, detail))
    return Environment.from_bytes(body, FILE_NAME).map_err(invalid)


def invalid(problems: list[Problem]) -> Failure:
    """Return the failure of a document with problems."""
    return Failure(ErrorKind.INVALID_DOCUMENT, listed(problems))


def listed(problems: list[Problem]) -> str:
    """Return one line for each problem."""
    return '\n'.join(str(problem) for problem in problems)


def not_yet(attempt: Attempt, standing: Standing) -> Failure:
    """Return the failure of an attempt that replaces an unknown version.

    It is no conflict: nobody was first, and an earlier call of the attempt
    may have seen a newer row.
    """
    detail = (
        f'the attempt replaces version {attempt.expected_version}, which does '
        f'not exist: version {standing.version} is in force; nothing was '
        'written by this call'
    )
    return Failure(ErrorKind.BAD_REQUEST, detail)


def reused(made: CurrentVersion) -> Failure:
    """Return the failure of an attempt id that made something else."""
    detail = (
        f'attempt {made.attempt_id} promoted version {made.version} with '
        f'digest {made.digest}; use a new attempt id for anything else'
    )
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


def conflict(attempt: Attempt, standing: Standing) -> Failure:
    """Return the failure of an attempt that does not replace the newest."""
    asked = attempt.expected_version
    in_force = f'version {standing.version} is in force'
    if standing.current:
        in_force = f'{in_force}, promoted by {standing.current.promoter}'
    detail = f'the attempt replaces version {asked}, but {in_force}'
    known = standing.find(asked + 1)
    if known is None:
        detail = (
            f'{detail}; the history no longer covers version {asked + 1}, '
            'so this attempt may have promoted it'
        )
    return Failure(ErrorKind.VERSION_CONFLICT, detail)


def log_outcome(attempt: Attempt, outcome: Result[Promoted, Failure]) -> None:
    """Write the log line of a promotion."""
    common = {
        'version': attempt.entry.version,
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
    """Tell whether an outcome is a failure of one kind."""
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
    except msgspec.DecodeError as error:
        detail = f'malformed configuration row: {error}'
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))


def row_version(row: Row | None) -> int:
    """Return the version for the next compare-and-set of a row."""
    return row.version if row else 0


def text_of(record: msgspec.Struct) -> str:
    """Return the JSON text of a row."""
    return msgspec.json.encode(record).decode()
