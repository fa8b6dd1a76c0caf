"""Parts of shares that move between hosts for a limited time.

Safety rests on three rules. The lender counts a part as lent from before
it answers until after the latest end that it has answered, on its own
clock and with a margin. The borrower counts the end from before it sent
the question and accepts one answer per question. A part that is given back
is never used again, so the lender may use it as soon as it hears of it.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from egretmill.shares.bucket import Share
from egretmill.quota.policy import Need

__all__ = ('Part', 'Parts', 'Question', 'margin_s')

#: A lender waits this much longer than the loan, in seconds, and this
#: fraction of it, because clocks of hosts run at different rates.
MARGIN_S = 0.1
CLOCK_RATE_ERROR = 0.001


def margin_s(duration_s: float) -> float:
    """Return how much longer the lender of a loan waits, in seconds."""
    return MARGIN_S + CLOCK_RATE_ERROR * duration_s


@dataclasses.dataclass(slots=True)
class Part:
    """A part of a share that is lent or borrowed.

    :param peer: the other host.
    :param ends_at: end on the own monotonic clock.
    :param used: borrowed slots on which requests run.
    :param idle_since: when a borrowed slot was last released.
    """

    loan_id: str
    peer: str
    share: Share
    ends_at: float
    used: float = 0.0
    idle_since: float = 0.0

    def free(self, amount: float, now: float) -> float:
        """Free up to ``amount`` used slots; return how many."""
        freed = min(self.used, amount)
        if freed:
            self.used -= freed
            self.idle_since = now
        return freed


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """What to ask of a peer.

    :param need: the whole rate or number of slots wanted from the peer, and
        further tokens; nothing gives ``part`` back.
    :param duration_s: how long the loan should last.
    :param part: the loan to extend.
    """

    peer: str
    need: Need
    duration_s: float = 0.0
    part: Part | None = None


class Parts:
    """Lent or borrowed parts of one total, by loan."""

    def __init__(self) -> None:
        self.by_id: dict[str, Part] = {}

    def __iter__(self) -> Iterator[Part]:
        """Iterate over a copy, so that parts may be removed."""
        return iter(tuple(self.by_id.values()))

    def put(self, part: Part) -> None:
        """Add a part or replace the one of the same loan."""
        self.by_id[part.loan_id] = part

    def find(self, loan_id: str, peer: str) -> Part | None:
        """Return the part of a loan with that peer."""
        part = self.by_id.get(loan_id)
        return part if part and part.peer == peer else None

    def remove(self, loan_id: str) -> None:
        """Forget a part."""
        self.by_id.pop(loan_id, None)

    def expire(self, now: float) -> list[Part]:
        """Remove and return the parts that have ended."""
        ended = [part for part in self if part.ends_at <= now]
        for part in ended:
            self.remove(part.loan_id)
        return ended

    def total(self) -> Share:
        """Return the sum of all parts."""
        shares = [part.share for part in self.by_id.values()]
        return Share(
            sum(share.amount for share in shares),
            sum(share.capacity for share in shares),
        )

    def ends(self) -> Iterable[float]:
        """Return the ends of all parts."""
        return [part.ends_at for part in self.by_id.values()]
