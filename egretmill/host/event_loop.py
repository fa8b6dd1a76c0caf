"""Event loop of the host: its clock, and how long its iterations take."""

import asyncio
import selectors
from typing import Any

from egretmill.fleet.freshness import boot_time

__all__ = ('BootLoop', 'IterationTimer')


class IterationTimer(selectors.DefaultSelector):
    """Selector that measures the iterations of its event loop.

    :param woke_at: boot time at which the current iteration began.
    :param longest_s: longest iteration since the last call of
        :meth:`take_longest`, in seconds.
    """

    def __init__(self) -> None:
        """Start before the first iteration."""
        super().__init__()
        self.woke_at = boot_time()
        self.longest_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Wait for events; record how long the last ones were handled."""
        self.longest_s = max(self.longest_s, boot_time() - self.woke_at)
        ready = super().select(timeout)
        self.woke_at = boot_time()
        return ready

    def take_longest(self) -> float:
        """Return the longest iteration in seconds, and start anew."""
        longest_s = self.longest_s
        self.longest_s = 0
        return longest_s


class BootLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock also runs while the machine is suspended.

    Otherwise, a suspension would not count towards callers' deadlines and the
    age of data.
    """

    def __init__(self) -> None:
        """Create a loop that measures its iterations."""
        self.iterations = IterationTimer()
        super().__init__(self.iterations)

    def time(self) -> float:
        """Return the boot time in seconds."""
        return boot_time()
