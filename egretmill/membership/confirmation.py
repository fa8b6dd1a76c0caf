"""Which version of the environment document is the newest, and since when.

A version is confirmed at time t when it was the newest one at t. Three
things show this: an own platform read sent at t, a heartbeat with the age
of the sender's confirmation, and the outage rule: every known holder of a
share slot answers, none has reached the platform, and so none has
promoted, because a promotion goes through a holder's agent.
"""

from collections.abc import Iterable

from egretmill.membership.holders import LEASE_S, Holders
from egretmill.membership.silence import SILENT_AFTER_S, Silences
from egretmill.wire.messages import Heartbeat, PeerState

__all__ = ('Confirmation',)

NEVER = float('-inf')


class Confirmation:
    """Aggregate of the versions that this host has seen and confirmed.

    Times are readings of the monotonic clock in seconds. ``newest`` is the
    highest version seen, ``applied`` the one in force on this host; they
    differ until the newer document is fetched and checked. ``applied_at``
    is when the applied version was last confirmed as the newest one.
    Heartbeats carry the applied version.
    """

    def __init__(self, own_name: str, lease_s: float = LEASE_S) -> None:
        """Know no version."""
        self.own_name = own_name
        self.holders = Holders(own_name, lease_s)
        self.newest = 0
        self.newest_at = NEVER
        self.newest_since = NEVER
        self.applied = 0
        self.applied_at = NEVER
        self.platform_at = NEVER
        self.open_promotions = 0
        self.silences = Silences()

    def platform_answered(self, now: float) -> None:
        """Note any answer of the platform to this host."""
        self.platform_at = max(self.platform_at, now)

    def platform_read(self, version: int, sent_at: float, now: float) -> bool:
        """Take over an own read of the version row.

        :param sent_at: when the read was sent; the version can have been
            replaced any time after.
        :returns: whether the version is newer than any seen before. A
            lower one is ignored.
        """
        self.platform_answered(now)
        return self.confirm(version, sent_at, now)

    def heard(
        self,
        heartbeat: Heartbeat,
        sent_at: float | None,
        now: float,
    ) -> bool:
        """Take over a heartbeat, as in ``Peers.heard``.

        Ages count from before the own request was sent, because the answer
        can have been made any time after. A heartbeat that came as a
        request confirms nothing: it can have waited for any time.

        :returns: whether it carries a version newer than any seen before.
        """
        if heartbeat.host == self.own_name:
            return False
        self.holders.heard(heartbeat, now if sent_at is None else sent_at)
        if sent_at is None:
            return self.confirm(heartbeat.version, NEVER, now)
        self.silences.heard(heartbeat, sent_at, now)
        age_s = heartbeat.confirmation_age_s
        confirmed_at = sent_at - age_s if age_s >= 0 else NEVER
        return self.confirm(heartbeat.version, confirmed_at, now)

    def apply(self, version: int, now: float) -> bool:
        """Put a version in force unless it is lower than one seen.

        The document must be the one of this version. A version that is not
        seen yet, for instance from a peer's document, counts as seen.

        :returns: whether the version is in force now.
        """
        if version < self.newest:
            return False
        self.confirm(version, NEVER, now)
        self.applied = version
        self.applied_at = self.newest_at
        return True

    def apply_outage_rule(
        self,
        peers: Iterable[PeerState],
        total_slots: int,
        now: float,
    ) -> bool:
        """Renew the confirmation while nobody reaches the platform.

        The confirmation is renewed up to the earliest request whose answer
        said that its sender has not reached the platform. The rule needs
        to know of each slot who holds it or that it is free.

        :returns: whether the rule holds now.
        """
        live = {peer.host.name: peer for peer in peers if peer.reachable}
        live.pop(self.own_name, None)
        needed = {holder.host for holder in self.holders.others(now)}
        if (
            self.newest_at == NEVER
            or self.platform_age_s(now) <= SILENT_AFTER_S
        ):
            return False
        if self.holders.unseen(total_slots) or not needed <= live.keys():
            return False
        if not all(map(self.silences.is_silent, live.values())):
            return False
        until = min((self.silences.until[name] for name in live), default=now)
        self.confirm(self.newest, until, now)
        return True

    def age_s(self, now: float) -> float:
        """Return the age of the confirmation, to be sent to peers."""
        return max(now - self.applied_at, 0)

    def platform_age_s(self, now: float) -> float:
        """Return the age of the last platform answer, to be sent to peers.

        It is 0 while a promotion through this host has no known outcome,
        because the platform may have carried it out although its answer
        was lost, and while a newer version is known but not in force. In
        both cases peers must not conclude that nothing was promoted.
        """
        if self.open_promotions or self.newest > self.applied:
            return 0
        return max(now - self.platform_at, 0)

    def promotion_started(self) -> None:
        """Note that this host sends a promotion to the platform."""
        self.open_promotions += 1

    def promotion_settled(self) -> None:
        """Note that the outcome of a promotion is known."""
        self.open_promotions = max(self.open_promotions - 1, 0)

    def settled_version(self, now: float, total_slots: int) -> int:
        """Return the lowest version that a holder may still apply.

        A holder counts with its last known version until its lease has
        ended, whether it answers or not. A slot of which nothing is known
        counts with version 0 until the newest version has been known for
        one lease: whoever holds the slot has read it by then to renew the
        lease, or has lost the slot.
        """
        versions = [holder.version for holder in self.holders.others(now)]
        versions.append(self.applied)
        seen_all = not self.holders.unseen(total_slots)
        if not seen_all and now < self.holders.lease_end(self.newest_since):
            versions.append(0)
        return min(versions)

    def confirm(self, version: int, at: float, now: float) -> bool:
        """Note that a version was the newest at a time."""
        if version < self.newest:
            return False
        is_newer = version > self.newest
        if is_newer:
            self.newest = version
            self.newest_at = NEVER
            self.newest_since = now
        self.newest_at = max(self.newest_at, at)
        if version == self.applied:
            self.applied_at = max(self.applied_at, at)
        return is_newer
