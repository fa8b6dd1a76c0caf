"""Replies that were sent to loan requests of peers."""

from egretmill.wire.messages import Borrow, Loans

__all__ = ('ReplyCache',)

#: Shortest time that a reply is kept. Applies to the return of a loan,
#: whose request has no duration.
MIN_RETENTION_S = 1.0


class ReplyCache:
    """Recent replies, so that a duplicated request gets only one loan."""

    def __init__(self) -> None:
        self.replies: dict[tuple[str, str], tuple[Loans, float]] = {}

    def find(self, borrow: Borrow, now: float) -> Loans | None:
        """Return the reply that was already sent to a request."""
        expired = [
            key for key, reply in self.replies.items() if reply[1] <= now
        ]
        for key in expired:
            self.replies.pop(key)
        reply = self.replies.get((borrow.borrower, borrow.borrow_id))
        return reply[0] if reply else None

    def remember(self, borrow: Borrow, loans: Loans, now: float) -> None:
        """Keep a reply for the duration of its loans."""
        expires_at = now + max(borrow.duration_s, MIN_RETENTION_S)
        key = (borrow.borrower, borrow.borrow_id)
        if borrow.borrow_id:
            self.replies[key] = (loans, expires_at)
