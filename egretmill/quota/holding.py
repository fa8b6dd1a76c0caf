"""What holdings of rates and of slots have in common."""

from egretmill.quota.demand import Fading
from egretmill.quota.loans import Parts
from egretmill.quota.ownership import Ownership
from egretmill.quota.policy import SLIGHT, Policy
from egretmill.wire.messages import Borrow

__all__ = ('Holding',)


class Holding:
    """One host's part of a total: owned, lent and borrowed.

    :ivar demand: what requests asked for, each counted once.
    :ivar unmet: what requests were refused lately and may still wait for.
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
        self.lent = Parts()
        self.borrowed = Parts()
        self.demand = Fading(policy.demand_s)
        self.unmet = Fading(policy.unmet_s)

    def advance(self, now: float) -> None:
        """Carry out everything that has ended or changed by ``now``."""
        raise NotImplementedError

    def occupy(self, amount: float, now: float) -> bool:
        """Take quota if there is enough."""
        raise NotImplementedError

    def take(self, amount: float, now: float, *, waited: bool) -> bool:
        """Take quota for a request and record its demand."""
        self.advance(now)
        if not waited:
            self.demand.add(amount, now)
        taken = self.occupy(amount, now)
        if taken and waited:
            self.unmet.add(-amount, now)
        elif not taken and not waited:
            self.unmet.add(amount, now)
        return taken

    def release(self, amount: float, now: float) -> None:
        """Free what a request occupied; tokens are spent instead."""

    def wait_s(self, amount: float) -> float | None:
        """Return when a refused take may succeed, ``None`` if unknown."""

    def duration_s(self) -> float:
        """Return how long a loan may last, in seconds.

        A loan of slots covers a request that is admitted just before the
        loan has to be renewed.
        """
        limit_s = self.ownership.time_limit_s(self.name)
        return self.ownership.loan_s() + limit_s

    def lending_s(self, borrow: Borrow, now: float) -> float:
        """Return how long a loan may last before the lease ends."""
        lease_left_s = self.ownership.lendable_s(now)
        return min(borrow.duration_s, self.duration_s(), lease_left_s)

    def take_back(self, borrow: Borrow, now: float) -> None:
        """Use a part again that its borrower has given back."""
        self.advance(now)
        if self.lent.find(borrow.renews, borrow.borrower):
            self.lent.remove(borrow.renews)

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing is borrowed and nobody asked lately."""
        if self.borrowed.by_id:
            return False
        return self.demand.sum(now) < SLIGHT
