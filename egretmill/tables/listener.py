"""What a watch calls while it follows a table, and what it does by default."""

from collections.abc import Sequence
from typing import Protocol

from egretmill.fleet.freshness import STORE_SOURCE
from egretmill.tables.ports import Changes, Snapshot, StoredRow

__all__ = (
    'RowsByKey',
    'TableListener',
    'adopt_nothing',
    'ignore_return',
    'keep_stored_rows',
)

RowsByKey = dict[str, StoredRow]


class TableListener(Protocol):
    """Receives the rows of a table."""

    def replace_rows(self, snapshot: Snapshot) -> None:
        """Replace the whole table; rows that are missing were removed."""
        raise NotImplementedError

    def restore_rows(self, snapshot: Snapshot) -> None:
        """Apply the table as of a return of the store from an older copy.

        What is in force and missing or older there will be written again. It
        holds until :meth:`replace_rows` is called some seconds later.
        """
        raise NotImplementedError

    def apply_changes(self, changes: Changes) -> None:
        """Apply changed and removed rows, in order.

        A row that has changed several times is listed with each change.
        """
        raise NotImplementedError

    def confirm_current(
        self, sent_at: float, source: str = STORE_SOURCE
    ) -> None:
        """Record that the copy was current at ``sent_at``, a boot time.

        :param source: the store, or the host that the copy is from.
        """
        raise NotImplementedError


def ignore_return() -> None:
    """Ignore a return of the store."""


def adopt_nothing(rows: Sequence[StoredRow]) -> RowsByKey:
    """Return no rows: those of the store hold."""
    return {}


def keep_stored_rows(stored: RowsByKey, known: RowsByKey) -> RowsByKey:
    """Return the rows of the store."""
    return stored
