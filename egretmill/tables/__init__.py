"""Versioned tables of a store: interface, rows and polling."""

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
from egretmill.tables.watch import (
    TableListener,
    TableWatch,
    WatchPace,
    WatchPaces,
)

__all__ = (
    'Changes',
    'RowKey',
    'Snapshot',
    'StoreFailure',
    'StoreProblem',
    'StoredRow',
    'TableListener',
    'TableStore',
    'TableWatch',
    'WatchPace',
    'WatchPaces',
    'Write',
)
