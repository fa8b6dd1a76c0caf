"""How old a host's copy of the fleet's state can be."""

import dataclasses
import math
import time

__all__ = ('Freshness', 'boot_time')


def boot_time() -> float:
    """Return seconds of a clock that also runs during suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True)
class Freshness:
    """Latest time at which a local copy is known to have been current.

    A response shows the state of the store at some time after its request was
    sent, so the time of sending is the one that counts.

    :param confirmed_at: boot time in seconds, minus infinity at first.
    """

    confirmed_at: float = -math.inf

    def confirm(self, sent_at: float) -> None:
        """Record a confirmation; one that is older than the last is ignored."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return now - self.confirmed_at
