"""Which version of the environment document is the newest, and since when.

A version is confirmed at time t when it was known to be the newest at t.
There are three sources of confirmation:

- this host's own read of the platform, sent at t;
- a heartbeat, which carries the age of the sender's confirmation;
- the outage rule: every known holder of a share slot answers and none has
  reached the platform, so no version has been promoted, because a promotion
  goes through the agent of a holder.
"""

from collections.abc import Iterable

from egretmill.membership.holders import LEASE_S, SlotHolders
from egretmill.membership.outage_reports import (
    PLATFORM_OUTAGE_AFTER_S,
    PlatformOutageReports,
)
from egretmill.wire.messages import Heartbeat, PeerState

__all__ = ('Confirmation',)

NEVER = float('-inf')


class Confirmation:
    """Versions that this host has seen and confirmed.

    Times are readings of the monotonic clock in seconds. ``newest_version``
    is the highest version seen, ``applied_version`` the one in force on this
    host; they differ until the newer document is fetched and checked.
    ``applied_confirmed_at`` is when the applied version was last confirmed
    as the newest. Heartbeats carry the applied version.
    """

    def __init__(self, own_name: str, lease_s: float = LEASE_S) -> None:
        """Start without any known version."""
        self.own_name = own_name
        self.holders = SlotHolders(own_name, lease_s)
        self.newest_version = 0
        self.newest_confirmed_at = NEVER
        self.newest_seen_at = NEVER
        self.applied_version = 0
        self.applied_confirmed_at = NEVER
        self.platform_answered_at = NEVER
        self.pending_promotions = 0
        self.outage_reports = PlatformOutageReports()

    def record_platform_answer(self, now: float) -> None:
        """Record that the platform answered this host."""
        self.platform_answered_at = max(self.platform_answered_at, now)

    def record_platform_read(
        self, version: int, sent_at: float, now: float
    ) -> bool:
        """Record this host's own read of the version row.

        :param sent_at: when the read was sent; the version can have been
            replaced at any time after.
        :returns: whether the version is newer than any seen before. A
            lower one is ignored.
        """
        self.record_platform_answer(now)
        return self.record_version(version, sent_at, now)

    def receive_heartbeat(
        self,
        heartbeat: Heartbeat,
        sent_at: float | None,
        now: float,
    ) -> bool:
        """Process a heartbeat; parameters as in ``Peers.receive_heartbeat``.

        Ages count from before this host's request was sent, because the
        answer can have been made at any time after. A heartbeat that came
        as a request confirms nothing, because it can have been delayed for
        any time.

        :returns: whether it carries a version newer than any seen before.
        """
        if heartbeat.host == self.own_name:
            return False
        self.holders.receive_heartbeat(
            heartbeat, now if sent_at is None else sent_at
        )
        if sent_at is None:
            return self.record_version(heartbeat.version, NEVER, now)
        self.outage_reports.receive_heartbeat(heartbeat, sent_at, now)
        age_s = heartbeat.confirmation_age_s
        confirmed_at = sent_at - age_s if age_s >= 0 else NEVER
        return self.record_version(heartbeat.version, confirmed_at, now)

    def apply_version(self, version: int, now: float) -> bool:
        """Put a version in force unless a higher one has been seen.

        The caller has the document of this version. A version that was not
        seen yet, for instance one from a peer's document, counts as seen.

        :returns: whether the version is in force now.
        """
        if version < self.newest_version:
            return False
        self.record_version(version, NEVER, now)
        self.applied_version = version
        self.applied_confirmed_at = self.newest_confirmed_at
        return True

    def apply_outage_rule(
        self,
        peers: Iterable[PeerState],
        total_slots: int,
        now: float,
    ) -> bool:
        """Renew the confirmation while no host reaches the platform.

        The confirmation is renewed up to the earliest of the peers' latest
        reports that they do not reach the platform. The rule applies only
        if each share slot has a known holder or is known to be free.

        :returns: whether the rule applies now.
        """
        reachable_peers = {
            peer.host.name: peer for peer in peers if peer.reachable
        }
        reachable_peers.pop(self.own_name, None)
        required_hosts = {
            holder.host for holder in self.holders.other_holders(now)
        }
        if (
            self.newest_confirmed_at == NEVER
            or self.platform_age_s(now) <= PLATFORM_OUTAGE_AFTER_S
        ):
            return False
        if (
            self.holders.has_unknown_slot(total_slots)
            or not required_hosts <= reachable_peers.keys()
        ):
            return False
        if not all(
            map(self.outage_reports.is_reported_by, reachable_peers.values())
        ):
            return False
        confirmed_at = min(
            (self.outage_reports.reported_at[name] for name in reachable_peers),
            default=now,
        )
        self.record_version(self.newest_version, confirmed_at, now)
        return True

    def confirmation_age_s(self, now: float) -> float:
        """Return the age of the confirmation, as sent to peers."""
        return max(now - self.applied_confirmed_at, 0)

    def platform_age_s(self, now: float) -> float:
        """Return the age of the last platform answer, as sent to peers.

        It is 0 while the outcome of a promotion through this host is
        unknown, because the platform may have carried it out although its
        answer was lost, and while a newer version is known but not in
        force. In both cases peers must not conclude that nothing was
        promoted.
        """
        if (
            self.pending_promotions
            or self.newest_version > self.applied_version
        ):
            return 0
        return max(now - self.platform_answered_at, 0)

    def begin_promotion(self) -> None:
        """Record that this host sends a promotion to the platform."""
        self.pending_promotions += 1

    def end_promotion(self) -> None:
        """Record that the outcome of a promotion is known."""
        self.pending_promotions = max(self.pending_promotions - 1, 0)

    def settled_version(self, now: float, total_slots: int) -> int:
        """Return the lowest version that a slot holder may still apply.

        A holder counts with its last known version until its lease has
        ended, whether it answers or not. A slot whose holder is unknown
        counts with version 0 until the newest version has been known for
        the length of a lease: by then its holder has read that version when
        it renewed the lease, or has lost the slot.
        """
        versions = [
            holder.version for holder in self.holders.other_holders(now)
        ]
        versions.append(self.applied_version)
        knows_all_slots = not self.holders.has_unknown_slot(total_slots)
        if not knows_all_slots and now < self.holders.latest_lease_end(
            self.newest_seen_at
        ):
            versions.append(0)
        return min(versions)

    def record_version(
        self, version: int, confirmed_at: float, now: float
    ) -> bool:
        """Record that a version was the newest at a time.

        ``confirmed_at`` is ``NEVER`` for a version that was only seen.
        """
        if version < self.newest_version:
            return False
        is_newer = version > self.newest_version
        if is_newer:
            self.newest_version = version
            self.newest_confirmed_at = NEVER
            self.newest_seen_at = now
        self.newest_confirmed_at = max(self.newest_confirmed_at, confirmed_at)
        if version == self.applied_version:
            self.applied_confirmed_at = max(
                self.applied_confirmed_at, confirmed_at
            )
        return is_newer
