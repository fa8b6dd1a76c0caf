"""Which peers may be asked for a total, and which questions are open."""

import dataclasses
from collections.abc import Sequence

from egretmill.quota.policy import Policy
from egretmill.wire.messages import Borrow, Loan

__all__ = ('Asking',)

#: Two places: peer and total.
Place = tuple[str, str]
#: A peer that lent less than this part of what was asked has little left.
LITTLE = 0.5


@dataclasses.dataclass(slots=True)
class _Pause:
    """A peer is not asked before ``until``."""

    until: float
    length_s: float


class Asking:
    """Open questions and pauses after refusals, by peer and total."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.open: dict[str, Place] = {}
        self.pauses: dict[Place, _Pause] = {}

    def askable(
        self,
        total: str,
        peers: Sequence[str],
        now: float,
    ) -> list[str]:
        """Return the peers that may be asked for a total now."""
        waiting = set(self.open.values())
        return [
            peer
            for peer in peers
            if (peer, total) not in waiting
            and not self._is_paused((peer, total), now)
        ]

    def asked(self, peer: str, borrow: Borrow) -> None:
        """Record an open question."""
        self.open[borrow.borrow_id] = (peer, borrow.total)

    def answered(self, borrow: Borrow) -> str | None:
        """Close a question; return its peer, ``None`` if it is not open."""
        place = self.open.pop(borrow.borrow_id, None)
        return place[0] if place else None

    def judge(
        self,
        peer: str,
        borrow: Borrow,
        loans: Sequence[Loan],
        now: float,
    ) -> None:
        """Pause a peer that had little or nothing to spare."""
        place = (peer, borrow.total)
        amount = sum(loan.amount for loan in loans)
        tokens = sum(loan.tokens for loan in loans)
        enough = amount >= borrow.amount * LITTLE
        if loans and enough and tokens >= borrow.tokens * LITTLE:
            self.pauses.pop(place, None)
            return
        earlier = self.pauses.get(place)
        length_s = self.policy.refused_s
        # Tokens come back within a request's wait, rates and slots do not.
        lasting = borrow.amount > 0
        if earlier and lasting and now < earlier.until + earlier.length_s:
            length_s = min(earlier.length_s * 2, self.policy.refused_most_s)
        self.pauses[place] = _Pause(now + length_s, length_s)

    def unanswered(self, peer: str, total: str, now: float) -> None:
        """Pause a peer that did not answer."""
        length_s = self.policy.unanswered_s
        self.pauses[peer, total] = _Pause(now + length_s, length_s)

    def forget(self) -> None:
        """Close all questions; their answers will be ignored."""
        self.open.clear()

    def _is_paused(self, place: Place, now: float) -> bool:
        pause = self.pauses.get(place)
        return pause is not None and now < pause.until
