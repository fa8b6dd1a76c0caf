"""What one host holds of a concurrency total.

A request may occupy its slot for the time limit of the service after it
was admitted. A loan of slots therefore has one end but two uses: requests
are admitted on it until its end less the time limit, and run on it until
its end at most. The lender keeps the slots out of use until that end and a
margin, also when the borrower dies or the loan can no longer be renewed;
it gets them earlier when the borrower gives them back, which it does only
when no request runs on them. The same holds for owned slots and the lease
of the share slot.

The number of slots of a loan never changes: a borrower that needs more
takes another loan, so that messages in the wrong order cannot make both
sides count the same slot.
"""

import math
from collections.abc import Iterator, Sequence

from egretmill.shares.bucket import Share
from egretmill.quota.holding import Holding
from egretmill.quota.loans import Part, Question, margin_s
from egretmill.quota.ownership import Ownership
from egretmill.quota.policy import Need, Policy
from egretmill.quota.slot_policy import SlotView
from egretmill.wire.messages import Borrow, Loan

__all__ = ('ConcurrencyHolding',)


class ConcurrencyHolding(Holding):
    """One host's part of a concurrency total.

    :ivar used: requests that run on owned slots.
    """

    def __init__(
        self,
        name: str,
        ownership: Ownership,
        policy: Policy,
    ) -> None:
        super().__init__(name, ownership, policy)
        self.used = 0.0

    def advance(self, now: float) -> None:
        """Drop parts that have ended.

        Requests that outlive a borrowed part are counted on owned slots,
        which only lowers what may be admitted.
        """
        self.lent.expire(now)
        for part in self.borrowed.expire(now):
            self.used += part.used

    def occupy(self, amount: float, now: float) -> bool:
        """Occupy slots if enough are free."""
        if self.available(now) < amount:
            return False
        own = min(amount, self._own_free(now))
        self.used += own
        amount -= own
        latest_first = sorted(
            self._startable(now),
            key=lambda part: -part.ends_at,
        )
        for part in latest_first:
            taken = min(amount, part.share.amount - part.used)
            part.used += taken
            amount -= taken
        return True

    def release(self, amount: float, now: float) -> None:
        """Free slots, those that must be given up first.

        Slots are alike, so requests that go on running are counted anew on
        slots that are held for longer than their own.
        """
        self.advance(now)
        lease_until = self.ownership.lease_until()
        in_order = sorted(self.borrowed, key=lambda part: part.ends_at)
        for part in in_order:
            if part.ends_at <= lease_until:
                amount -= part.free(amount, now)
        freed = min(self.used, amount)
        self.used -= freed
        amount -= freed
        for part in in_order:
            amount -= part.free(amount, now)

    def available(self, now: float) -> float:
        """Return how many slots a request could take now."""
        self.advance(now)
        borrowed = sum(
            part.share.amount - part.used for part in self._startable(now)
        )
        return self._own_free(now) + borrowed

    def lend(self, borrow: Borrow, now: float, new_id: str) -> Loan | None:
        """Lend slots that can be spared, or extend a loan."""
        self.advance(now)
        duration_s = self.lending_s(borrow, now)
        if duration_s <= 0:
            return None
        current = self.lent.find(borrow.renews, borrow.borrower)
        view = self._view(now)
        amount = view.spare(borrow.amount)
        ends_at = now + duration_s + margin_s(duration_s)
        loan_id = new_id
        if current:
            amount = current.share.amount if view.may_extend() else 0.0
            ends_at = max(ends_at, current.ends_at)
            loan_id = current.loan_id
        if amount < 1:
            return None
        part = Part(loan_id, borrow.borrower, Share(amount), ends_at)
        self.lent.put(part)
        return Loan(loan_id, self.name, amount, 0.0, 0.0, duration_s)

    def accept(self, loan: Loan, peer: str, sent_at: float, now: float) -> None:
        """Use slots that a peer has lent."""
        self.advance(now)
        ends_at = sent_at + loan.duration_s
        if ends_at <= now:
            return
        share = Share(float(int(loan.amount)))
        held = self.borrowed.find(loan.loan_id, peer)
        used = held.used if held else 0.0
        self.borrowed.put(Part(loan.loan_id, peer, share, ends_at, used, now))

    def give_back(self, part: Part, now: float) -> float:
        """Stop using a borrowed part that no request runs on."""
        self.borrowed.remove(part.loan_id)
        self.used += part.used
        return 0.0

    def questions(
        self,
        now: float,
        askable: Sequence[str],
    ) -> Iterator[Question]:
        """Yield what to ask from which peer now."""
        self.advance(now)
        asked = set()
        for part in self.borrowed:
            if part.peer in askable and part.peer not in asked:
                question = self._follow_up(part, now)
                if question:
                    asked.add(part.peer)
                    yield question
        others = [peer for peer in askable if peer not in asked]
        missing = self._view(now).missing()
        if missing > 0:
            for peer in others:
                portion = math.ceil(missing / len(others))
                yield Question(
                    peer,
                    Need(float(portion)),
                    self.duration_s(),
                )

    def _startable(self, now: float) -> list[Part]:
        last_start = now + self.ownership.time_limit_s(self.name)
        return [part for part in self.borrowed if part.ends_at >= last_start]

    def _own_free(self, now: float) -> float:
        owned = self.ownership.share(self.name, now).amount
        return max(0.0, owned - self.lent.total().amount - self.used)

    def _view(self, now: float) -> SlotView:
        used = self.used + sum(part.used for part in self.borrowed)
        return SlotView(
            policy=self.policy,
            owned=self.ownership.share(self.name, now).amount,
            lent=self.lent.total().amount,
            own_free=self._own_free(now),
            available=self.available(now),
            in_use=used,
            arrivals=self.demand.sum(now),
            unmet=self.unmet.sum(now),
        )

    def _follow_up(self, part: Part, now: float) -> Question | None:
        if self._is_idle_part(part, now):
            return Question(part.peer, Need(), part=part)
        if self._is_due(part, now):
            need = Need(part.share.amount)
            return Question(part.peer, need, self.duration_s(), part)
        return None

    def _is_idle_part(self, part: Part, now: float) -> bool:
        if part.used:
            return False
        if part not in self._startable(now):
            return True
        return part.idle_since + self.policy.idle_s <= now

    def _is_due(self, part: Part, now: float) -> bool:
        if not self.policy.renews:
            return False
        left_s = part.ends_at - self.ownership.time_limit_s(self.name) - now
        loan_s = self.ownership.loan_s()
        return left_s < loan_s * self.policy.renew_part
