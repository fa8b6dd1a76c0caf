"""How old a host's copy of the fleet's state can be."""

import dataclasses
import math
import time

__all__ = ('STORE_SOURCE', 'Freshness', 'boot_time')

#: Source of what this host has read from the store itself.
STORE_SOURCE = 'store'


def boot_time() -> float:
    """Return seconds of a clock that also runs during suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True)
class Freshness:
    """Latest time at which a local copy is known to have been current.

    A response shows the state of the store at some time after its request was
    sent, so the time of sending is the one that counts.

    :param confirmed_at: boot time in seconds, minus infinity at first.
    :param source: the store, or the peer that confirmed the copy.
    :param stated_age_s: age of the peer's own copy when it confirmed this one.
    """

    confirmed_at: float = -math.inf
    source: str = ''
    stated_age_s: float = 0

    def confirm(
        self,
        confirmed_at: float,
        source: str = STORE_SOURCE,
        stated_age_s: float = 0,
    ) -> None:
        """Record a confirmation; one that is older than the last is ignored."""
        if confirmed_at <= self.confirmed_at:
            return
        self.confirmed_at = confirmed_at
        self.source = source
        self.stated_age_s = stated_age_s

    def replace(self, confirmed_at: float, source: str) -> None:
        """Record that the copy was replaced by one from another source."""
        self.confirmed_at = confirmed_at
        self.source = source
        self.stated_age_s = 0

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return now - self.confirmed_at
