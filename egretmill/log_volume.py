"""Bounds the volume of a log and never waits for its reader."""

import logging
import os
import sys
import time
from collections.abc import Callable

__all__ = ('BoundedHandler',)

#: Lines per second that are written at most, and lines of a burst.
LINES_PER_S = 150.0
BURST_LINES = 300.0


class BoundedHandler(logging.Handler):
    """Writes lines to a pipe; drops and counts what is too much.

    Warnings and errors are not counted against the bound. The next line
    after a gap tells how many were dropped.

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
        self.lines_per_s = lines_per_s
        self.allowed = BURST_LINES
        self.filled_at = time.monotonic()
        self.dropped = 0
        self.unfinished = b''
        os.set_blocking(descriptor, False)

    @classmethod
    def for_stdout(cls, on_drop: Callable[[], None]) -> 'BoundedHandler':
        """Write to standard output."""
        return cls(sys.stdout.fileno(), on_drop)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop it."""
        if record.levelno < logging.WARNING and not self._allow():
            self._drop()
            return
        fields = getattr(record, 'fields', None)
        if self.dropped and fields is not None:
            fields['suppressed_lines'] = self.dropped
        line = f'{self.format(record)}\n'.encode(errors='replace')
        if self._write(line):
            self.dropped = 0

    def _allow(self) -> bool:
        now = time.monotonic()
        gained = (now - self.filled_at) * self.lines_per_s
        self.allowed = min(self.allowed + gained, BURST_LINES)
        self.filled_at = now
        if self.allowed < 1:
            return False
        self.allowed -= 1
        return True

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
