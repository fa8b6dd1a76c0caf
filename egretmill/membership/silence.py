"""Which hosts are known not to have reached the platform, until when."""

import math

from egretmill.wire.messages import Heartbeat, PeerState

__all__ = ('SILENT_AFTER_S', 'Silences')

# Agents poll the platform every 0.5 s with a deadline of 0.5 s, so an age
# above both together shows that the last polls failed.
SILENT_AFTER_S = 1.0


class Silences:
    """Statements of peers that the platform does not answer them.

    ``until`` holds the time of the last request whose answer said so.
    """

    def __init__(self) -> None:
        """Know no statement."""
        self.until: dict[str, float] = {}
        self.incarnations: dict[str, int] = {}
        self.doubtful: set[str] = set()

    def heard(self, heartbeat: Heartbeat, sent_at: float, now: float) -> None:
        """Learn from the answer to a request sent at a time.

        The age is what it was when the answer was made, any time between
        ``sent_at`` and ``now``. A host that restarted while the platform
        answered it may have died with a promotion on its way, so it does
        not count as silent before it has reached the platform again.
        """
        host = heartbeat.host
        known = self.incarnations.get(host, heartbeat.incarnation)
        if heartbeat.incarnation < known:
            return
        self.incarnations[host] = heartbeat.incarnation
        if heartbeat.incarnation > known and host not in self.until:
            self.doubtful.add(host)
        if math.isfinite(heartbeat.platform_age_s):
            self.doubtful.discard(host)
        self.until.pop(host, None)
        lasting = heartbeat.platform_age_s > SILENT_AFTER_S + now - sent_at
        if lasting and host not in self.doubtful:
            self.until[host] = sent_at

    def is_silent(self, peer: PeerState) -> bool:
        """Tell whether the running incarnation of a peer said so."""
        name = peer.host.name
        if self.incarnations.get(name) != peer.incarnation:
            return False
        return name in self.until
