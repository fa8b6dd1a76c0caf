"""Base class of the holdings of rate and concurrency totals."""

from egretmill.quota.demand import DecayingSum
from egretmill.quota.loans import LoanRecords
from egretmill.quota.ownership import Ownership
from egretmill.quota.policy import NEGLIGIBLE, Policy
from egretmill.wire.messages import Borrow

__all__ = ('Holding',)


class Holding:
    """One host's part of a total: owned, lent and borrowed.

    :ivar demand: recent demand; each request is counted once.
    :ivar unmet: recently refused demand that requests may still wait for.
    """

    def __init__(
        self,
        name: str,
        ownership: Ownership,
        policy: Policy,
    ) -> None:
        self.name = name
        self.ownership = ownership
        self.policy = policy
        self.lent = LoanRecords()
        self.borrowed = LoanRecords()
        self.demand = DecayingSum(policy.demand_time_constant_s)
        self.unmet = DecayingSum(policy.unmet_time_constant_s)

    def advance(self, now: float) -> None:
        """Apply everything that has expired or changed by ``now``."""
        raise NotImplementedError

    def acquire(self, amount: float, now: float) -> bool:
        """Take quota if there is enough."""
        raise NotImplementedError

    def take(self, amount: float, now: float, *, waited: bool) -> bool:
        """Take quota for a request and record its demand."""
        self.advance(now)
        if not waited:
            self.demand.add(amount, now)
        taken = self.acquire(amount, now)
        if taken and waited:
            self.unmet.add(-amount, now)
        elif not taken and not waited:
            self.unmet.add(amount, now)
        return taken

    def release(self, amount: float, now: float) -> None:
        """Free the slots of a request; does nothing for tokens."""

    def wait_s(self, amount: float) -> float | None:
        """Return the time until a retry may succeed, ``None`` if unknown."""

    def max_loan_s(self) -> float:
        """Return the longest duration of a loan, in seconds.

        A loan of slots lasts long enough for a request that is admitted
        just before the loan has to be renewed.
        """
        limit_s = self.ownership.time_limit_s(self.name)
        return self.ownership.loan_s() + limit_s

    def max_lending_s(self, borrow: Borrow, now: float) -> float:
        """Return the duration to grant, which ends before the own lease."""
        lease_left_s = self.ownership.lendable_s(now)
        return min(borrow.duration_s, self.max_loan_s(), lease_left_s)

    def reclaim(self, borrow: Borrow, now: float) -> None:
        """Use a share again that its borrower has returned."""
        self.advance(now)
        if self.lent.find(borrow.renews, borrow.borrower):
            self.lent.remove(borrow.renews)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is borrowed and demand is negligible."""
        if self.borrowed.by_id:
            return False
        return self.demand.value_at(now) < NEGLIGIBLE
