"""Whether the other hosts have a newer copy than this host."""

import dataclasses

from egretmill.fleet.freshness import Freshness

__all__ = ('CopyLag',)

#: A copy is outdated when peers have had a newer one for this time, in
#: seconds. With the time until a host hears of a change (1 s), it stays within
#: the time for applying a version (2.5 s); a read takes a tenth of it.
OUTDATED_AFTER_S = 1.0
#: Time for which a peer's statement of a later version counts, in seconds:
#: longer than the interval of the heartbeats in a large fleet.
STATED_S = 3.0


@dataclasses.dataclass(slots=True)
class CopyLag:
    """Compares the own copy of a topic with the copies that peers state.

    Of two copies that differ, the one with the later version is newer, and of
    two with the same version the one that was confirmed later. After a return
    of the store from an older copy, it confirms earlier versions for a while.

    :param behind_since: boot time at which a newer copy was first heard of.
    :param newer_at: boot time at which the newest such copy was confirmed.
    :param newer_digest: of that copy.
    :param later_version: latest version that peers have stated, if it is later
        than the own one.
    :param later_until: boot time until which that statement counts.
    """

    behind_since: float | None = None
    newer_at: float = 0
    newer_digest: int = 0
    later_version: int = 0
    later_until: float = 0

    def record_difference(
        self, digest: int, age_s: float, freshness: Freshness, now: float
    ) -> bool:
        """Record that a peer has a copy which differs from the own one.

        :param digest: of the peer's copy.
        :param age_s: seconds since the peer's copy was confirmed.
        :param freshness: of the own copy.
        :return: whether the peer's copy is the newer one.
        """
        confirmed_at = now - age_s
        if age_s < 0 or confirmed_at <= freshness.confirmed_at:
            return False
        is_first = self.lag_s(freshness, now) == 0
        if is_first:
            self.behind_since = now
        if is_first or confirmed_at > self.newer_at:
            self.newer_at = confirmed_at
            self.newer_digest = digest
        return True

    def record_later_version(
        self, version: int, digest: int, now: float
    ) -> None:
        """Record that a peer has a later version than this host."""
        if self.behind_since is None:
            self.behind_since = now
        self.newer_digest = digest
        self.later_version = max(self.later_version, version)
        self.later_until = now + STATED_S

    def record_own_version(self, version: int) -> None:
        """Record the own version, which may be the latest one by now."""
        if self.later_version <= version and self.later_until:
            self.later_version = 0
            self.later_until = 0
            self.behind_since = None

    def record_own(self, digest: int) -> None:
        """Record the own copy, which may be the newest one by now."""
        if digest == self.newer_digest:
            self.behind_since = None

    def lag_s(self, freshness: Freshness, now: float) -> float:
        """Return for how long a newer copy has been known, 0 if none is.

        A confirmation of the own copy that is later than that of the newer
        one shows that the own copy has caught up.
        """
        has_caught_up = (
            freshness.confirmed_at > self.newer_at and now >= self.later_until
        )
        if self.behind_since is None or has_caught_up:
            self.behind_since = None
            return 0
        return now - self.behind_since

    def is_outdated(self, freshness: Freshness, now: float) -> bool:
        """Return whether the own copy must not be used any more."""
        return self.lag_s(freshness, now) > OUTDATED_AFTER_S
