"""Unanswered loan requests, and backoff from peers that lent little."""

import dataclasses
from collections.abc import Sequence

from egretmill.quota.policy import Policy
from egretmill.wire.messages import Borrow, Loan

__all__ = ('LoanRequestTracker',)

#: Names of a peer and of a total.
PeerAndTotal = tuple[str, str]
#: A peer that lent less than this fraction of the request has little left.
MIN_GRANTED_FRACTION = 0.5


@dataclasses.dataclass(slots=True)
class _Backoff:
    """Time until which a peer gets no loan requests for a total."""

    until: float
    length_s: float


class LoanRequestTracker:
    """Pending loan requests and backoffs, by peer and total."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.pending: dict[str, PeerAndTotal] = {}
        self.backoffs: dict[PeerAndTotal, _Backoff] = {}

    def eligible_peers(
        self,
        total: str,
        peers: Sequence[str],
        now: float,
    ) -> list[str]:
        """Return the peers that may get a loan request for a total now."""
        pending = set(self.pending.values())
        return [
            peer
            for peer in peers
            if (peer, total) not in pending
            and not self._is_backing_off((peer, total), now)
        ]

    def record_sent(self, peer: str, borrow: Borrow) -> None:
        """Record a pending request."""
        self.pending[borrow.borrow_id] = (peer, borrow.total)

    def close(self, borrow: Borrow) -> str | None:
        """End a request; return its peer, ``None`` if it is not pending."""
        key = self.pending.pop(borrow.borrow_id, None)
        return key[0] if key else None

    def update_backoff(
        self,
        peer: str,
        borrow: Borrow,
        loans: Sequence[Loan],
        now: float,
    ) -> None:
        """Back off from a peer that lent little; end the backoff if not."""
        key = (peer, borrow.total)
        amount = sum(loan.amount for loan in loans)
        tokens = sum(loan.tokens for loan in loans)
        enough = amount >= borrow.amount * MIN_GRANTED_FRACTION
        if loans and enough and tokens >= borrow.tokens * MIN_GRANTED_FRACTION:
            self.backoffs.pop(key, None)
            return
        previous = self.backoffs.get(key)
        length_s = self.policy.refusal_backoff_s
        # A peer has tokens again within the wait of a request, so only the
        # backoff for rates and slots grows.
        is_for_amount = borrow.amount > 0
        if (
            previous
            and is_for_amount
            and now < previous.until + previous.length_s
        ):
            length_s = min(
                previous.length_s * 2, self.policy.max_refusal_backoff_s
            )
        self.backoffs[key] = _Backoff(now + length_s, length_s)

    def back_off(self, peer: str, total: str, now: float) -> None:
        """Back off from a peer that did not answer."""
        length_s = self.policy.unanswered_backoff_s
        self.backoffs[peer, total] = _Backoff(now + length_s, length_s)

    def close_all(self) -> None:
        """End all pending requests; their replies will be ignored."""
        self.pending.clear()

    def _is_backing_off(self, key: PeerAndTotal, now: float) -> bool:
        backoff = self.backoffs.get(key)
        return backoff is not None and now < backoff.until
