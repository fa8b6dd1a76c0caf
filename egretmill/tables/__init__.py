"""Versioned tables of a store: interface, rows and polling."""

from egretmill.tables.listener import TableListener
from egretmill.tables.polling import PollTiming, PollTimings
from egretmill.tables.ports import (
    Changes,
    RowKey,
    Snapshot,
    StoredRow,
    StoreFailure,
    StoreProblem,
    TableStore,
    Write,
)
from egretmill.tables.watch import TableWatch

__all__ = (
    'Changes',
    'PollTiming',
    'PollTimings',
    'RowKey',
    'Snapshot',
    'StoreFailure',
    'StoreProblem',
    'StoredRow',
    'TableListener',
    'TableStore',
    'TableWatch',
    'Write',
)
