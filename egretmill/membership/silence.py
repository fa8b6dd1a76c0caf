"""Which hosts are known not to have reached the platform, until when."""

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

    def heard(self, heartbeat: Heartbeat, sent_at: float, now: float) -> None:
        """Learn from the answer to a request sent at a time.

        The age is what it was when the answer was made, any time between
        ``sent_at`` and ``now``.
        """
        host = heartbeat.host
        if heartbeat.incarnation < self.incarnations.get(host, 0):
            return
        self.incarnations[host] = heartbeat.incarnation
        if heartbeat.platform_age_s > SILENT_AFTER_S + now - sent_at:
            self.until[host] = sent_at
        else:
            self.until.pop(host, None)

    def is_silent(self, peer: PeerState) -> bool:
        """Tell whether the running incarnation of a peer said so."""
        name = peer.host.name
        if self.incarnations.get(name) != peer.incarnation:
            return False
        return name in self.until
