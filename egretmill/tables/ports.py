"""Port to a store of versioned tables with a feed of changes."""

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
    """Why a call to the store gave no result."""

    #: Nothing is known of the effect of a write.
    UNANSWERED = 'unanswered'
    #: The store said that nothing was done.
    UNAVAILABLE = 'unavailable'
    #: Too many calls.
    LIMITED = 'limited'
    #: The wanted changes are not kept any more.
    HISTORY_GONE = 'history_gone'
    #: A row has another version than the write expected.
    CONFLICT = 'conflict'
    #: The answer could not be decoded, or the call was rejected.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailure:
    """A call without a result."""

    problem: StoreProblem
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Names a row."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as the store holds it.

    :param version: of the transaction that wrote it; one counter for all.
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
    """Changes of a table in their order, up to a version."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One row of a transaction.

    :param expected: version that the row must have, 0 for a row that must
        not exist, ``None`` for any.
    :param content: ``None`` removes the row.
    """

    row: RowKey
    content: bytes | None
    expected: int | None = None


class TableStore(Protocol):
    """What the product needs of a store; every call has a time limit."""

    async def read(self, table: str) -> Result[Snapshot, StoreFailure]:
        """Return a whole table."""
        raise NotImplementedError

    async def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> Result[Changes, StoreFailure]:
        """Return what has changed after a version.

        :param wait_s: longest wait for the first change, in seconds.
        """
        raise NotImplementedError

    async def transact(
        self,
        writes: Sequence[Write],
    ) -> Result[int, StoreFailure]:
        """Apply all writes or none; return the version."""
        raise NotImplementedError
