"""Bounds the volume of a log and never waits for its reader."""

import logging
import os
import sys
import time
from collections.abc import Callable

__all__ = ('BoundedHandler',)

#: Lines per second that are written at most; a burst has twice as many.
LINES_PER_S = 150.0
#: The same for warnings and errors, which other lines do not displace.
WARNINGS_PER_S = 20.0
BURST_S = 2.0


class LineBudget:
    """Lines that may be written now; grows with time up to a burst."""

    def __init__(self, per_s: float) -> None:
        """Start with a whole burst."""
        self.per_s = per_s
        self.allowed = per_s * BURST_S
        self.filled_at: float | None = None

    def allow(self, now: float) -> bool:
        """Take one line from the budget."""
        if self.filled_at is not None:
            gained = (now - self.filled_at) * self.per_s
            self.allowed = min(self.allowed + gained, self.per_s * BURST_S)
        self.filled_at = now
        if self.allowed < 1:
            return False
        self.allowed -= 1
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a pipe; drops and counts what is too much.

    Warnings and errors have a bound of their own. The next line after a gap
    tells how many were dropped.

    :param on_drop: called for each dropped line.
    """

    def __init__(
        self,
        descriptor: int,
        on_drop: Callable[[], None],
        lines_per_s: float = LINES_PER_S,
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.on_drop = on_drop
        self.lines = LineBudget(lines_per_s)
        self.warnings = LineBudget(WARNINGS_PER_S)
        self.dropped = 0
        self.unfinished = b''
        os.set_blocking(descriptor, False)

    @classmethod
    def for_stdout(cls, on_drop: Callable[[], None]) -> 'BoundedHandler':
        """Write to standard output."""
        return cls(sys.stdout.fileno(), on_drop)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop it."""
        urgent = record.levelno >= logging.WARNING
        budget = self.warnings if urgent else self.lines
        if not budget.allow(time.monotonic()):
            self._drop()
            return
        fields = getattr(record, 'fields', None)
        if self.dropped and fields is not None:
            fields['suppressed_lines'] = self.dropped
        line = f'{self.format(record)}\n'.encode(errors='replace')
        if self._write(line):
            self.dropped = 0

    def _drop(self) -> None:
        self.dropped += 1
        self.on_drop()

    def _write(self, line: bytes) -> bool:
        """Write a line whole; the rest of a cut one goes first."""
        pending = self.unfinished + line
        try:
            written = os.write(self.descriptor, pending)
        except BlockingIOError:
            self._drop()
            return False
        except OSError:
            # Nobody reads the log any more; serving goes on.
            self._drop()
            return False
        self.unfinished = pending[written:]
        return True
