"""Decides when what peers know is worth a call to the store. No I/O.

The load that this answers: dozens of hosts hear each other several times a
second. After a change each of them should read it once, and hosts that
differ for long must not ask the store in every beat.
"""

import collections
import dataclasses

from egretmill.fleet.knowledge import Topic
from egretmill.host.state import HostState
from egretmill.peers.beat import Beat

__all__ = ('SETTLE_S', 'Differences', 'Told', 'knowledge_of')

#: Least time between two looks for changes that peers know of, in seconds.
LOOK_S = 0.2
#: ... and for a difference that an earlier look has not removed: hosts can
#: differ for long, as when one still waits for a lapsed entry to return.
LOOK_AGAIN_S = 1.0
#: Changed upstreams come from the host on duty by themselves; a host that
#: hears of them otherwise waits for them first: twice the longest way, in
#: seconds.
SETTLE_S = 0.1
#: What a call brings can be younger than its proof by its duration: the wait
#: for a change and the way to the store and back, in seconds.
CALL_S = 1.0
#: Digests that are kept, own ones and those looked for, to tell news from
#: what a peer has not learned yet; a storm of changes has a dozen.
DIGESTS_KEPT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a peer says of a topic.

    :param age_s: age of its proof; negative when it has none.
    """

    digest: int
    age_s: float


def knowledge_of(beat: Beat) -> dict[Topic, Told]:
    """Return what a beat says of each topic."""
    return {
        Topic.CONFIGURATION: Told(beat.knowledge, beat.knowledge_age),
        Topic.UPSTREAMS: Told(beat.upstreams, beat.upstreams_age),
        Topic.ROSTER: Told(beat.roster, beat.roster_age),
    }


class Differences:
    """Own digests, and which of the others' were looked for.

    :param digests: of what is known here, by topic.
    """

    def __init__(self, state: HostState) -> None:
        """Compare with the knowledge of a state."""
        self.state = state
        self.digests: dict[Topic, int] = {}
        self.past = {
            topic: collections.deque[int](maxlen=DIGESTS_KEPT)
            for topic in Topic
        }
        self.looked_at: dict[Topic, float] = {}
        #: Unknown digest of upstreams heard last, and when first.
        self.heard = (0, 0.0)

    def note_own(self) -> None:
        """Note what is known now."""
        for topic in Topic:
            digest = self.state.digest(topic)
            if digest != self.digests.get(topic):
                self.digests[topic] = digest
                self.past[topic].append(digest)

    def is_worth_a_look(self, topic: Topic, told: Told, now: float) -> bool:
        """Tell whether to read the store, which counts as done then.

        A peer that is behind is no reason.
        """
        own_age_s = self.state.proof(topic).age(now)
        is_news = told.digest not in self.past[topic]
        if is_news and not self.is_settled(topic, told.digest, now):
            return False
        newer_s, rest_s = (CALL_S, LOOK_S) if is_news else (0, LOOK_AGAIN_S)
        rested = now - self.looked_at.get(topic, 0) > rest_s
        if told.age_s - newer_s >= own_age_s or not rested:
            return False
        self.looked_at[topic] = now
        self.past[topic].append(told.digest)
        return True

    def is_settled(self, topic: Topic, digest: int, now: float) -> bool:
        """Tell whether news of others can have arrived here as well."""
        if topic is not Topic.UPSTREAMS:
            return True
        if self.heard[0] != digest:
            self.heard = (digest, now)
        return now - self.heard[1] >= SETTLE_S
