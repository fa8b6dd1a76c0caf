"""How old the knowledge of a host can be at most."""

import dataclasses
import math
import time

__all__ = ('Proof', 'boot_time')


def boot_time() -> float:
    """Return a clock that also counts the time of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(slots=True)
class Proof:
    """The newest moment at which knowledge is known to have been current.

    A response proves the state of the store at a moment after its call was
    sent, so the time of sending counts.

    :param at: boot time in seconds, minus infinity before the first proof.
    """

    at: float = -math.inf

    def confirm(self, sent_at: float) -> None:
        """Take a proof; an older one changes nothing."""
        self.at = max(self.at, sent_at)

    def age(self, now: float) -> float:
        """Return the age in seconds."""
        return now - self.at
