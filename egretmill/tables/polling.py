"""How often a table of the store is polled."""

import dataclasses

__all__ = ('PollTiming', 'PollTimings', 'is_never_designated_reader')


@dataclasses.dataclass(frozen=True, slots=True)
class PollTiming:
    """How often a table is polled.

    :param wait_s: long poll: longest wait of a call for a change.
    :param interval_s: shortest time between the starts of two calls.
    :param max_age_s: no call while the copy was confirmed to be current, by
        the store or a peer, less than this time ago.
    """

    wait_s: float
    interval_s: float = 0
    max_age_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PollTimings:
    """How often designated readers and the other hosts poll a table.

    A designated reader polls the table on behalf of the other hosts as well.
    """

    designated_reader: PollTiming
    other_hosts: PollTiming

    @classmethod
    def for_all_hosts(cls, timing: PollTiming) -> 'PollTimings':
        """Return the same intervals for designated readers and other hosts."""
        return cls(timing, timing)


def is_never_designated_reader() -> bool:
    """Return False: this host follows the table for itself only."""
    return False
