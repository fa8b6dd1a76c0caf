"""Reports of peers that they do not reach the platform."""

import math

from egretmill.wire.messages import Heartbeat, PeerState

__all__ = ('PLATFORM_OUTAGE_AFTER_S', 'PlatformOutageReports')

# Agents poll the platform every 0.5 s with a deadline of 0.5 s. If the last
# answer is older than the sum of both, the latest polls have failed.
PLATFORM_OUTAGE_AFTER_S = 1.0


class PlatformOutageReports:
    """Peers that report that the platform does not answer them.

    ``reported_at`` maps a host to the send time of the last request whose
    answer reported this. Hosts in ``untrusted`` must reach the platform
    once before their reports count.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.reported_at: dict[str, float] = {}
        self.incarnations: dict[str, int] = {}
        self.untrusted: set[str] = set()

    def receive_heartbeat(
        self, heartbeat: Heartbeat, sent_at: float, now: float
    ) -> None:
        """Process the answer to a request sent at ``sent_at``.

        The platform age in the answer is as of some time between
        ``sent_at`` and ``now``. A host that restarted while the platform
        answered it may have died with a promotion in flight, so its reports
        do not count before it has reached the platform again.
        """
        host = heartbeat.host
        known_incarnation = self.incarnations.get(host, heartbeat.incarnation)
        if heartbeat.incarnation < known_incarnation:
            return
        self.incarnations[host] = heartbeat.incarnation
        if (
            heartbeat.incarnation > known_incarnation
            and host not in self.reported_at
        ):
            self.untrusted.add(host)
        if math.isfinite(heartbeat.platform_age_s):
            self.untrusted.discard(host)
        self.reported_at.pop(host, None)
        is_outage_reported = (
            heartbeat.platform_age_s > PLATFORM_OUTAGE_AFTER_S + now - sent_at
        )
        if is_outage_reported and host not in self.untrusted:
            self.reported_at[host] = sent_at

    def is_reported_by(self, peer: PeerState) -> bool:
        """Return whether the running incarnation of a peer reports it."""
        name = peer.host.name
        if self.incarnations.get(name) != peer.incarnation:
            return False
        return name in self.reported_at
