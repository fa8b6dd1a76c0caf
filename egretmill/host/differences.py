"""Finds differences from peers that reads of changes do not repair. No I/O."""

import dataclasses
import math

from egretmill.fleet.view import Topic

__all__ = ('DifferenceTracker',)

#: A difference from one peer is lasting after this time, in seconds. Changes
#: reach all hosts within half of it, unless their links are down.
LASTING_DIFFERENCE_S = 1.5
#: Age up to which a peer's copy is compared, in seconds: with an older one,
#: the peer may differ only because it cannot read the store.
MAX_COMPARED_AGE_S = 3.0
#: First and longest time between two reads of the whole table, in seconds. The
#: time doubles while a difference remains, for example with a peer whose copy
#: is the wrong one.
FIRST_PAUSE_S = 3.0
MAX_PAUSE_S = 60.0


@dataclasses.dataclass(slots=True)
class Difference:
    """Since when a peer has had other data, and when it last said so."""

    since: float
    stated_at: float


class DifferenceTracker:
    """Decides when to read a whole table because peers have other data.

    Reads of changes bring only what is newer than the last read. If a host
    holds a record that it should not, or lacks one, only the whole table shows
    it.
    """

    def __init__(self) -> None:
        """Start without differences."""
        self.differences: dict[Topic, dict[str, Difference]] = {
            topic: {} for topic in Topic
        }
        #: When each digest was last the own one, by topic.
        self.own_until: dict[Topic, dict[int, float]] = {
            topic: {} for topic in Topic
        }
        self.next_read_at = dict.fromkeys(Topic, -math.inf)
        self.pause_s = dict.fromkeys(Topic, FIRST_PAUSE_S)

    def record_own(self, topic: Topic, digest: int, now: float) -> None:
        """Record the current own digest."""
        own_until = self.own_until[topic]
        own_until[digest] = now
        for old, until in tuple(own_until.items()):
            if now - until > LASTING_DIFFERENCE_S:
                own_until.pop(old)

    def is_equal(self, topic: Topic, digest: int) -> bool:
        """Return whether a digest is the own one, or was until just now."""
        return digest in self.own_until[topic]

    def record_equal(self, topic: Topic, peer: str, now: float) -> None:
        """Record that a peer has the same data."""
        differences = self.differences[topic]
        differences.pop(peer, None)
        for name, difference in tuple(differences.items()):
            if now - difference.stated_at > MAX_COMPARED_AGE_S:
                # The peer has ended, or this host does not hear it any more.
                differences.pop(name)
        if not differences:
            self.pause_s[topic] = FIRST_PAUSE_S

    def should_read_whole(
        self, topic: Topic, peer: str, peer_age_s: float, now: float
    ) -> bool:
        """Record other data of a peer; return whether to read the table.

        :param peer_age_s: age of the peer's copy, negative if it has none.
        """
        differences = self.differences[topic]
        if not 0 <= peer_age_s <= MAX_COMPARED_AGE_S:
            differences.pop(peer, None)
            return False
        difference = differences.setdefault(peer, Difference(now, now))
        difference.stated_at = now
        is_lasting = now - difference.since >= LASTING_DIFFERENCE_S
        if not is_lasting or now < self.next_read_at[topic]:
            return False
        self.next_read_at[topic] = now + self.pause_s[topic]
        self.pause_s[topic] = min(2 * self.pause_s[topic], MAX_PAUSE_S)
        return True
