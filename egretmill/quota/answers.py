"""Answers that were given to questions of peers."""

from egretmill.wire.messages import Borrow, Loans

__all__ = ('Answers',)

#: A returned part needs no answer; its question is remembered this long.
SHORTEST_S = 1.0


class Answers:
    """Recent answers, so that a question that arrives twice gets one loan."""

    def __init__(self) -> None:
        self.given: dict[tuple[str, str], tuple[Loans, float]] = {}

    def find(self, borrow: Borrow, now: float) -> Loans | None:
        """Return the answer that a question already got."""
        ended = [key for key, row in self.given.items() if row[1] <= now]
        for key in ended:
            self.given.pop(key)
        row = self.given.get((borrow.borrower, borrow.borrow_id))
        return row[0] if row else None

    def keep(self, borrow: Borrow, loans: Loans, now: float) -> None:
        """Remember an answer for the duration of its loans."""
        until = now + max(borrow.duration_s, SHORTEST_S)
        key = (borrow.borrower, borrow.borrow_id)
        if borrow.borrow_id:
            self.given[key] = (loans, until)
