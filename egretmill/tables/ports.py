"""Interface to a store of versioned tables with a change feed."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

from result import Result

__all__ = (
    'Changes',
    'RowKey',
    'Snapshot',
    'StoreFailure',
    'StoreProblem',
    'StoredRow',
    'TableStore',
    'Write',
)


class StoreProblem(enum.StrEnum):
    """Why a call to the store failed."""

    #: No answer; a write may or may not have taken effect.
    UNANSWERED = 'unanswered'
    #: The call was not carried out: refused, or no connection was made.
    UNAVAILABLE = 'unavailable'
    #: The store limits the rate of calls.
    LIMITED = 'limited'
    #: The store no longer keeps the requested changes.
    HISTORY_GONE = 'history_gone'
    #: A row has another version than the write expected.
    CONFLICT = 'conflict'
    #: The answer could not be decoded, or the call was rejected.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A failed call to the store."""

    problem: StoreProblem
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies a row by its table and key."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as stored.

    :param version: version of the transaction that wrote the row; one
        counter for all tables, with the era of the read
        (:mod:`egretmill.tables.versions`).
    """

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a table at one version."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows of a table in order of their changes, up to a version."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Conditional write of one row in a transaction.

    :param content: new content; ``None`` removes the row.
    :param expected_version: version that the row must have, 0 for a row
        that must not exist, ``None`` for an unconditional write.
    """

    row: RowKey
    content: bytes | None
    expected_version: int | None = None


class TableStore(Protocol):
    """Store of versioned tables; every call has a time limit."""

    async def read(self, table: str) -> Result[Snapshot, StoreFailure]:
        """Return all rows of a table."""
        raise NotImplementedError

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Result[Changes, StoreFailure]:
        """Return the rows changed after a version.

        :param wait_s: longest wait for the first change, in seconds.
        """
        raise NotImplementedError

    async def transact(
        self,
        writes: Sequence[Write],
    ) -> Result[int, StoreFailure]:
        """Apply all writes atomically; return the new version."""
        raise NotImplementedError
