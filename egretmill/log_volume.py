"""Log handler with a bounded rate that never blocks on its reader."""

import logging
import os
import sys
import time
from collections.abc import Callable

__all__ = ('BoundedHandler',)

#: Maximum rate of lines; a burst may be :data:`BURST_S` times as large.
LINES_PER_S = 150.0
#: The same for warnings and errors, so that other lines cannot crowd them
#: out.
WARNINGS_PER_S = 20.0
BURST_S = 2.0


class LineBucket:
    """Token bucket of log lines."""

    def __init__(self, per_s: float) -> None:
        """Start with a full bucket."""
        self.per_s = per_s
        self.tokens = per_s * BURST_S
        self.refilled_at: float | None = None

    def try_take(self, now: float) -> bool:
        """Take a token for one line; return whether there was one."""
        if self.refilled_at is not None:
            refill = (now - self.refilled_at) * self.per_s
            self.tokens = min(self.tokens + refill, self.per_s * BURST_S)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a pipe; drops and counts lines over the rate limit.

    Warnings and errors have a limit of their own. The next line after
    dropped ones has their number in its field ``suppressed_lines``.

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
        self.line_bucket = LineBucket(lines_per_s)
        self.warning_bucket = LineBucket(WARNINGS_PER_S)
        self.dropped_lines = 0
        self.unwritten = b''
        os.set_blocking(descriptor, False)

    @classmethod
    def for_stdout(cls, on_drop: Callable[[], None]) -> 'BoundedHandler':
        """Return a handler that writes to standard output."""
        return cls(sys.stdout.fileno(), on_drop)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop it."""
        is_warning = record.levelno >= logging.WARNING
        bucket = self.warning_bucket if is_warning else self.line_bucket
        if not bucket.try_take(time.monotonic()):
            self._drop()
            return
        fields = getattr(record, 'fields', None)
        if self.dropped_lines and fields is not None:
            fields['suppressed_lines'] = self.dropped_lines
        line = f'{self.format(record)}\n'.encode(errors='replace')
        if self._write(line):
            self.dropped_lines = 0

    def _drop(self) -> None:
        self.dropped_lines += 1
        self.on_drop()

    def _write(self, line: bytes) -> bool:
        """Write a line after the unwritten end of the previous one."""
        pending = self.unwritten + line
        try:
            written = os.write(self.descriptor, pending)
        except BlockingIOError:
            self._drop()
            return False
        except OSError:
            # The reader has closed the pipe, which must not end the program.
            self._drop()
            return False
        self.unwritten = pending[written:]
        return True
