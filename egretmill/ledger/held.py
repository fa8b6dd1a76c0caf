"""Claims that a host holds in memory until the store shows their end."""

import asyncio
import collections
import dataclasses
import enum
import time
from collections.abc import Coroutine
from typing import Any

from egretmill.ledger import claims

__all__ = (
    'ClaimLimits',
    'Held',
    'HeldClaims',
    'KeptAnswers',
    'Phase',
    'Tasks',
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

    :param held: claims and orphans held at once; above it, new claims are
        ``unavailable``.
    :param orphans_per_key: unsettled attempts of one key; above it, claims
        of the key are ``unavailable``.
    :param waiting: repeats that wait at once; above it, a repeat is
        ``in_progress`` at once. Each waiting call occupies one of the
        agent's 32 request contexts.
    :param running_s: a granted claim that is not recorded by then becomes
        ``unknown``; longer than the longest route time limit (3600 s).
    :param pending_bytes: answers kept until they are written; above it,
        answers are recorded without their body (``not_stored``).
    :param kept_bytes: recorded answers kept to save reads.
    :param acknowledge_s: how long ``record`` waits for the write.
    :param reads: rows read at the same time.
    """

    held: int = 4096
    orphans_per_key: int = 16
    waiting: int = 16
    running_s: float = 3700.0
    pending_bytes: int = 8388608
    kept_bytes: int = 2097152
    acknowledge_s: float = 1.0
    poll_s: float = 0.1
    poll_most_s: float = 1.0
    retry_s: float = 0.1
    retry_most_s: float = 5.0
    reads: int = 8

    def poll_after(self, polls: int) -> float:
        """Return the pause before a row is read again."""
        return min(self.poll_s * 2 ** min(polls, 16), self.poll_most_s)


@dataclasses.dataclass(slots=True)
class Held:
    """A claim of this host that the store does not show as ended yet.

    ``version`` is the version of the row as last known, and the one that
    the next write expects. ``task`` makes the claim and later writes its
    record. ``uncertain``: a write of the claim may have taken effect unseen.
    ``withdrawn``: nobody waits for the grant any more.
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
        """Wake the repeats that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class HeldClaims:
    """The claims of a host by row key, with its orphaned attempts.

    ``orphans`` holds the attempt ids per key that were refused to their
    callers although a write of them may have taken effect.
    """

    def __init__(self, limits: ClaimLimits) -> None:
        """Start empty."""
        self.limits = limits
        self.by_key: dict[str, Held] = {}
        self.orphans: dict[str, set[str]] = {}
        self.kept = KeptAnswers(limits.kept_bytes)
        self.pending_bytes = 0

    def has_room(self, key: str) -> bool:
        """Tell whether a further claim may be made."""
        if len(self.orphans.get(key, ())) >= self.limits.orphans_per_key:
            return False
        return len(self.by_key) + len(self.orphans) < self.limits.held

    def orphan(self, key: str, attempt_id: str) -> None:
        """Note an attempt that nobody will run."""
        self.orphans.setdefault(key, set()).add(attempt_id)

    def replace_row(self, held: Held, row: claims.ClaimRow) -> None:
        """Replace the row of a claim, without its answer if out of room."""
        self.pending_bytes -= claims.answer_bytes(held.row.answer)
        size = claims.answer_bytes(row.answer)
        if self.pending_bytes + size > self.limits.pending_bytes:
            row = row.without_answer()
            size = 0
        self.pending_bytes += size
        held.row = row
        held.notify()

    def drop(self, key: str, held: Held) -> None:
        """Forget a claim and wake the repeats that wait for it."""
        if self.by_key.get(key) is held:
            self.by_key.pop(key)
            self.pending_bytes -= claims.answer_bytes(held.row.answer)
        held.notify()

    def overdue(self, now: float) -> tuple[str, Held] | None:
        """Return the oldest claim if its entry should have recorded it."""
        oldest = next(iter(self.by_key.items()), None)
        if oldest is None or oldest[1].phase is not Phase.GRANTED:
            return None
        age_s = now - oldest[1].started_at
        return oldest if age_s > self.limits.running_s else None


class KeptAnswers:
    """Recorded rows of state ``done``, which never change; bounded."""

    def __init__(self, limit_bytes: int) -> None:
        """Keep the most recently used rows up to a size."""
        self.limit_bytes = limit_bytes
        self.size_bytes = 0
        self.rows: collections.OrderedDict[str, claims.ClaimRow] = (
            collections.OrderedDict()
        )

    def get(self, key: str) -> claims.ClaimRow | None:
        """Return a row that is kept."""
        row = self.rows.get(key)
        if row is not None:
            self.rows.move_to_end(key)
        return row

    def put(self, key: str, row: claims.ClaimRow) -> None:
        """Keep a row and drop the least recently used ones."""
        self.remove(key)
        self.rows[key] = row
        self.size_bytes += kept_size(key, row)
        while self.size_bytes > self.limit_bytes:
            self.remove(next(iter(self.rows)))

    def remove(self, key: str) -> None:
        """Drop a row if it is kept."""
        row = self.rows.pop(key, None)
        if row is not None:
            self.size_bytes -= kept_size(key, row)


class Tasks:
    """Background tasks that end with their owner."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.running: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run work in the background."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in tuple(self.running):
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)


def kept_size(key: str, row: claims.ClaimRow) -> int:
    """Return the memory that a kept row is counted with, in bytes."""
    overhead_bytes = 512
    return overhead_bytes + len(key) + claims.answer_bytes(row.answer)


def utc_day() -> int:
    """Return the number of UTC days since 1970."""
    return int(time.time()) // SECONDS_PER_DAY
