"""Whether the other hosts have a newer copy than this host."""

import dataclasses

from egretmill.fleet.freshness import Freshness

__all__ = ('CopyLag',)

#: A copy is outdated when peers have had a newer one for this time, in
#: seconds. With the time until a host hears of a change (1 s), it stays within
#: the time for applying a version (2.5 s); a read takes a tenth of it.
OUTDATED_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class CopyLag:
    """Compares the own copy of a topic with the copies that peers state.

    Of two copies that differ, the one that was confirmed later is newer.

    :param behind_since: boot time at which a newer copy was first heard of.
    :param newer_at: boot time at which the newest such copy was confirmed.
    :param newer_digest: of that copy.
    """

    behind_since: float | None = None
    newer_at: float = 0
    newer_digest: int = 0

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

    def record_own(self, digest: int) -> None:
        """Record the own copy, which may be the newest one by now."""
        if digest == self.newer_digest:
            self.behind_since = None

    def lag_s(self, freshness: Freshness, now: float) -> float:
        """Return for how long a newer copy has been known, 0 if none is.

        A confirmation of the own copy that is later than that of the newer
        one shows that the own copy has caught up.
        """
        if self.behind_since is None or freshness.confirmed_at > self.newer_at:
            self.behind_since = None
            return 0
        return now - self.behind_since

    def is_outdated(self, freshness: Freshness, now: float) -> bool:
        """Return whether the own copy must not be used any more."""
        return self.lag_s(freshness, now) > OUTDATED_AFTER_S
