"""Loans: parts of shares that move between hosts for a limited time.

Three rules keep two hosts from using the same part. The lender counts the
part as lent from before it replies until after the latest end that it has
granted, on its own clock and with a margin. The borrower counts the duration
from before it sent the request, and accepts one reply per request. A borrower
never uses a returned part again, so the lender may use it on receipt of the
return message.
"""

import dataclasses
from collections.abc import Iterable, Iterator

from egretmill.quota.policy import Need
from egretmill.shares.bucket import Share

__all__ = ('LoanRecord', 'LoanRecords', 'LoanRequest', 'expiry_margin_s')

#: A lender waits this much longer than the loan, in seconds, plus this
#: fraction of the loan, because clocks of hosts run at different rates.
MARGIN_S = 0.1
CLOCK_RATE_ERROR = 0.001


def expiry_margin_s(duration_s: float) -> float:
    """Return how much longer the lender of a loan waits, in seconds."""
    return MARGIN_S + CLOCK_RATE_ERROR * duration_s


@dataclasses.dataclass(slots=True)
class LoanRecord:
    """A loan as one of its two hosts records it.

    :param peer: the other host.
    :param share: the part of a share that is lent.
    :param ends_at: end on this host's monotonic clock.
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
class LoanRequest:
    """A request to a peer for a new loan, or to extend or return one.

    :param need: the whole rate or number of slots wanted from the peer, and
        additional tokens. If empty, ``record`` is returned.
    :param duration_s: how long the loan should last.
    :param record: the loan to extend or to return.
    """

    peer: str
    need: Need
    duration_s: float = 0.0
    record: LoanRecord | None = None


class LoanRecords:
    """Loans of one total that this host has made, or has taken, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, LoanRecord] = {}

    def __iter__(self) -> Iterator[LoanRecord]:
        """Iterate over a copy, so that records may be removed meanwhile."""
        return iter(tuple(self.by_id.values()))

    def put(self, record: LoanRecord) -> None:
        """Add a record or replace the one of the same loan."""
        self.by_id[record.loan_id] = record

    def find(self, loan_id: str, peer: str) -> LoanRecord | None:
        """Return the record of a loan if it is with that peer."""
        record = self.by_id.get(loan_id)
        return record if record and record.peer == peer else None

    def remove(self, loan_id: str) -> None:
        """Remove the record of a loan if there is one."""
        self.by_id.pop(loan_id, None)

    def expire(self, now: float) -> list[LoanRecord]:
        """Remove and return the records of loans that have ended."""
        expired = [record for record in self if record.ends_at <= now]
        for record in expired:
            self.remove(record.loan_id)
        return expired

    def total(self) -> Share:
        """Return the sum of all loans."""
        shares = [record.share for record in self.by_id.values()]
        return Share(
            sum(share.amount for share in shares),
            sum(share.capacity for share in shares),
        )

    def end_times(self) -> Iterable[float]:
        """Return the end of each loan."""
        return [record.ends_at for record in self.by_id.values()]
