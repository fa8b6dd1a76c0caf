"""Claims that a host keeps in memory until their end is stored."""

import asyncio
import collections
import dataclasses
import enum
import time
from collections.abc import Coroutine
from typing import Any

from egretmill.ledger import claims

__all__ = (
    'ActiveClaim',
    'AnswerCache',
    'BackgroundTasks',
    'ClaimLimits',
    'ClaimRegistry',
    'Phase',
    'utc_day',
)

SECONDS_PER_DAY = 86400


class Phase(enum.Enum):
    """Progress of a claim of this host."""

    WRITING = 'writing'
    GRANTED = 'granted'
    RECORDING = 'recording'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Bounds on memory, waiting and retries.

    :param max_claims: active claims and keys with orphans; above it, new
        claims are ``unavailable``.
    :param orphans_per_key: orphaned attempts of one key; above it, claims of
        the key are ``unavailable``.
    :param max_waiting: repeats that wait for an answer; further ones are
        ``in_progress`` immediately. Each waiting call occupies one of the
        agent's 32 request contexts.
    :param max_running_s: a granted claim that is not recorded by then becomes
        ``unknown``; longer than the longest route time limit (3600 s).
    :param pending_bytes: answers that are not written yet; above it, answers
        are dropped and recorded as ``not_stored``.
    :param cache_bytes: cached answers, which save reads of their rows.
    :param acknowledge_timeout_s: how long ``record`` waits for the write.
    :param concurrent_reads: rows read at the same time.
    """

    max_claims: int = 4096
    orphans_per_key: int = 16
    max_waiting: int = 16
    max_running_s: float = 3700.0
    pending_bytes: int = 8388608
    cache_bytes: int = 2097152
    acknowledge_timeout_s: float = 1.0
    poll_s: float = 0.1
    max_poll_s: float = 1.0
    retry_s: float = 0.1
    max_retry_s: float = 5.0
    concurrent_reads: int = 8

    def poll_delay_s(self, polls: int) -> float:
        """Return the backoff before a row is read again."""
        return min(self.poll_s * 2 ** min(polls, 16), self.max_poll_s)


@dataclasses.dataclass(slots=True)
class ActiveClaim:
    """A claim of this host whose end is not stored yet.

    ``version`` is the last known version of the row, which the next write
    expects. ``task`` makes the claim and later writes its record.
    ``uncertain``: a write of the claim had no usable answer and may have
    taken effect. ``withdrawn``: no caller waits for the grant any longer.
    """

    row: claims.ClaimRow
    started_at: float
    phase: Phase = Phase.WRITING
    version: int = 0
    uncertain: bool = False
    withdrawn: bool = False
    task: asyncio.Task[Any] | None = None
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Wake the repeats that wait for a change of this claim."""
        self.changed.set()
        self.changed = asyncio.Event()


class ClaimRegistry:
    """Active claims and orphaned attempts of a host, by row key.

    ``orphans`` maps a key to the ids of attempts that were refused to their
    callers although one of their writes may have taken effect.
    """

    def __init__(self, limits: ClaimLimits) -> None:
        """Start without claims."""
        self.limits = limits
        self.by_key: dict[str, ActiveClaim] = {}
        self.orphans: dict[str, set[str]] = {}
        self.answer_cache = AnswerCache(limits.cache_bytes)
        self.pending_bytes = 0

    def can_admit(self, key: str) -> bool:
        """Return whether the limits allow another claim of a key."""
        if len(self.orphans.get(key, ())) >= self.limits.orphans_per_key:
            return False
        return len(self.by_key) + len(self.orphans) < self.limits.max_claims

    def add_orphan(self, key: str, attempt_id: str) -> None:
        """Add an attempt that was refused but may have been written."""
        self.orphans.setdefault(key, set()).add(attempt_id)

    def replace_row(self, active: ActiveClaim, row: claims.ClaimRow) -> None:
        """Replace the row of a claim; drop its answer above the byte limit."""
        self.pending_bytes -= claims.answer_bytes(active.row.answer)
        size = claims.answer_bytes(row.answer)
        if self.pending_bytes + size > self.limits.pending_bytes:
            row = row.without_answer()
            size = 0
        self.pending_bytes += size
        active.row = row
        active.notify()

    def remove(self, key: str, active: ActiveClaim) -> None:
        """Remove a claim and wake the repeats that wait for it."""
        if self.by_key.get(key) is active:
            self.by_key.pop(key)
            self.pending_bytes -= claims.answer_bytes(active.row.answer)
        active.notify()

    def find_overdue(self, now: float) -> tuple[str, ActiveClaim] | None:
        """Return the oldest claim if it was not recorded in time."""
        oldest = next(iter(self.by_key.items()), None)
        if oldest is None or oldest[1].phase is not Phase.GRANTED:
            return None
        age_s = now - oldest[1].started_at
        return oldest if age_s > self.limits.max_running_s else None


class AnswerCache:
    """LRU cache of rows in state ``done``, which never change."""

    def __init__(self, limit_bytes: int) -> None:
        """Limit the memory of the cached rows."""
        self.limit_bytes = limit_bytes
        self.size_bytes = 0
        self.rows: collections.OrderedDict[str, claims.ClaimRow] = (
            collections.OrderedDict()
        )

    def get(self, key: str) -> claims.ClaimRow | None:
        """Return a cached row, or ``None``."""
        row = self.rows.get(key)
        if row is not None:
            self.rows.move_to_end(key)
        return row

    def put(self, key: str, row: claims.ClaimRow) -> None:
        """Add a row and evict the least recently used ones."""
        self.remove(key)
        self.rows[key] = row
        self.size_bytes += cached_bytes(key, row)
        while self.size_bytes > self.limit_bytes:
            self.remove(next(iter(self.rows)))

    def remove(self, key: str) -> None:
        """Remove a row if it is cached."""
        row = self.rows.pop(key, None)
        if row is not None:
            self.size_bytes -= cached_bytes(key, row)


class BackgroundTasks:
    """Background tasks that are cancelled when their owner closes."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.running: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in tuple(self.running):
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


def cached_bytes(key: str, row: claims.ClaimRow) -> int:
    """Estimate the memory of a cached row, in bytes."""
    overhead_bytes = 512
    return overhead_bytes + len(key) + claims.answer_bytes(row.answer)


def utc_day() -> int:
    """Return the number of UTC days since 1970."""
    return int(time.time()) // SECONDS_PER_DAY
