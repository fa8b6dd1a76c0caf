"""Decides when a peer's heartbeat is a reason to read the store. No I/O.

Dozens of hosts send each other heartbeats several times a second. After a
change each of them should read the store once, and hosts whose data differs
for long must not read it at every heartbeat.
"""

import collections
import dataclasses
from collections.abc import Mapping

from egretmill.fleet.view import Topic
from egretmill.host.state import HostState
from egretmill.peers.datagrams import Heartbeat

__all__ = ('PUSH_WAIT_S', 'StoreReadPolicy', 'TopicReport', 'topic_reports')

#: Least time between two reads that a peer's heartbeat causes, in seconds.
MIN_READ_INTERVAL_S = 0.2
#: ... and for a digest that an earlier read has not matched: hosts can differ
#: for long, as when one still waits for a lapsed entry to return.
MIN_REPEAT_INTERVAL_S = 1.0
#: Designated readers push changes of upstreams, so a host that learns of one
#: from a heartbeat first waits this long for the push, in seconds: twice the
#: longest latency between hosts.
PUSH_WAIT_S = 0.1
#: Longest store call: the wait for a change and the round trip, in seconds.
#: Data can be newer than its confirmation by this time, because a confirmation
#: counts from when the call was sent.
MAX_CALL_S = 1.0
#: Recent digests to remember, own ones and those that caused a read. They
#: distinguish a change from the state of a peer that has not read it yet; a
#: burst of changes produces about a dozen.
MAX_RECENT_DIGESTS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class TopicReport:
    """Digest of a topic at a peer, and its age.

    :param age_s: seconds since the peer confirmed that its data is current;
        negative when it never did.
    """

    digest: int
    age_s: float


def topic_reports(heartbeat: Heartbeat) -> dict[Topic, TopicReport]:
    """Return the digest and age of each topic in a heartbeat."""
    return {
        Topic.CONFIGURATION: TopicReport(
            heartbeat.knowledge, heartbeat.knowledge_age
        ),
        Topic.UPSTREAMS: TopicReport(
            heartbeat.upstreams, heartbeat.upstreams_age
        ),
        Topic.ROSTER: TopicReport(heartbeat.roster, heartbeat.roster_age),
    }


class StoreReadPolicy:
    """Compares own digests with those of peers and limits reads of the store.

    :param digests: own digest of each topic.
    """

    def __init__(self, state: HostState) -> None:
        """Compare with the data in a host's state."""
        self.state = state
        self.digests: dict[Topic, int] = {}
        self.recent_digests = {
            topic: collections.deque[int](maxlen=MAX_RECENT_DIGESTS)
            for topic in Topic
        }
        self.last_read_at: dict[Topic, float] = {}
        #: Since when peers have stated unknown digests of upstreams; ``None``
        #: after a push or a read.
        self.unseen_since: float | None = None

    def update_own_digests(self) -> Mapping[Topic, int]:
        """Remember changed own digests; return the current ones."""
        for topic in Topic:
            digest = self.state.digest(topic)
            if digest != self.digests.get(topic):
                self.digests[topic] = digest
                self.recent_digests[topic].append(digest)
                if topic is Topic.UPSTREAMS:
                    self.unseen_since = None
        return self.digests

    def should_read_store(
        self, topic: Topic, report: TopicReport, now: float
    ) -> bool:
        """Return whether to read the store now; if so, record the read.

        A peer whose data is older than the own is no reason for a read.
        """
        local_age_s = self.state.freshness(topic).age(now)
        is_unseen = report.digest not in self.recent_digests[topic]
        if is_unseen and not self.has_waited_for_push(topic, now):
            return False
        age_allowance_s, min_interval_s = (
            (MAX_CALL_S, MIN_READ_INTERVAL_S)
            if is_unseen
            else (0, MIN_REPEAT_INTERVAL_S)
        )
        is_due = now - self.last_read_at.get(topic, 0) > min_interval_s
        if report.age_s - age_allowance_s >= local_age_s or not is_due:
            return False
        self.last_read_at[topic] = now
        if topic is Topic.UPSTREAMS:
            self.unseen_since = None
        self.recent_digests[topic].append(report.digest)
        return True

    def has_waited_for_push(self, topic: Topic, now: float) -> bool:
        """Return whether a push of what the peers have should have arrived.

        The wait counts from the first unknown digest: during a series of
        changes, each heartbeat may state another one.
        """
        if topic is not Topic.UPSTREAMS:
            return True
        if self.unseen_since is None:
            self.unseen_since = now
        return now - self.unseen_since >= PUSH_WAIT_S
