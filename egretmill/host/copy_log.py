"""Logs how old this host's copies are, and who confirmed them last."""

import math

from egretmill import events
from egretmill.fleet.freshness import Freshness
from egretmill.fleet.view import Topic
from egretmill.host.state import HostState
from egretmill.host.store_read_policy import topic_reports
from egretmill.logs import log_event

__all__ = ('CopyLog',)

#: Least time between two lines, in seconds.
LOG_INTERVAL_S = 1.0


class CopyLog:
    """Writes one line about the copies of all topics per interval."""

    def __init__(self, state: HostState) -> None:
        """Log the copies in a host's state."""
        self.state = state
        self.logged_at = -math.inf

    def log_if_due(self, now: float) -> None:
        """Log the copies unless this has been done lately."""
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = now
        log_event(
            events.CATALOGUE.COPIES_CONFIRMED,
            version=self.state.view.version,
            on_duty=self.state.is_designated_reader(),
            **{
                topic.value: {
                    **_describe(self.state.freshness(topic), now),
                    'differing_peers': self.count_differing(topic, now),
                }
                for topic in Topic
            },
        )

    def count_differing(self, topic: Topic, now: float) -> int:
        """Return how many live peers last stated another digest."""
        own_digest = self.state.digest(topic)
        return sum(
            topic_reports(peer.heartbeat)[topic].digest != own_digest
            for peer in self.state.peers.live_peers(now)
            if peer.heartbeat is not None
        )


def _describe(freshness: Freshness, now: float) -> dict[str, object]:
    """Return the age of a copy, and the confirmation that it counts from."""
    age_s = freshness.age(now)
    return {
        'age_s': round(age_s, 3) if math.isfinite(age_s) else None,
        'confirmed_by': freshness.source,
        'stated_age_s': round(freshness.stated_age_s, 3),
    }
