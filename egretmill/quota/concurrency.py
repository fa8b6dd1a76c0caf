"""One host's part of a concurrency total: slots in use and loans.

A request may occupy its slot for the time limit of the service after its
admission. Requests are therefore admitted on a loan of slots only until the
end of the loan less the time limit, and all have ended when the loan ends.
The lender does not use the slots until that end and a margin, even if the
borrower dies or the loan cannot be renewed. It gets them back earlier if
the borrower returns them, which happens only when no request runs on them.
The lease of the share slot limits the use of owned slots in the same way.

The number of slots of a loan never changes: a borrower that needs more
takes another loan, so that reordered messages cannot make both sides count
the same slot.
"""

import math
from collections.abc import Iterator, Sequence

from egretmill.quota.holding import Holding
from egretmill.quota.loans import LoanRecord, LoanRequest, expiry_margin_s
from egretmill.quota.ownership import Ownership
from egretmill.quota.policy import Need, Policy
from egretmill.quota.slot_policy import SlotSnapshot
from egretmill.shares.bucket import Share
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
        """Drop loans that have ended.

        Requests that outlive their borrowed slots are counted on owned
        slots instead, which only lowers what may be admitted.
        """
        self.lent.expire(now)
        for record in self.borrowed.expire(now):
            self.used += record.used

    def acquire(self, amount: float, now: float) -> bool:
        """Occupy slots if enough are free."""
        if self.available(now) < amount:
            return False
        own = min(amount, self._free_owned(now))
        self.used += own
        amount -= own
        by_latest_end = sorted(
            self._usable_records(now),
            key=lambda record: -record.ends_at,
        )
        for record in by_latest_end:
            taken = min(amount, record.share.amount - record.used)
            record.used += taken
            amount -= taken
        return True

    def release(self, amount: float, now: float) -> None:
        """Free the slots that end first.

        Slots are interchangeable, so requests that are still running are
        reassigned to the slots that this host may use for longest.
        """
        self.advance(now)
        lease_until = self.ownership.lease_until()
        by_earliest_end = sorted(
            self.borrowed, key=lambda record: record.ends_at
        )
        for record in by_earliest_end:
            if record.ends_at <= lease_until:
                amount -= record.free(amount, now)
        freed = min(self.used, amount)
        self.used -= freed
        amount -= freed
        for record in by_earliest_end:
            amount -= record.free(amount, now)

    def available(self, now: float) -> float:
        """Return how many slots a request could take now."""
        self.advance(now)
        borrowed = sum(
            record.share.amount - record.used
            for record in self._usable_records(now)
        )
        return self._free_owned(now) + borrowed

    def lend(self, borrow: Borrow, now: float, new_id: str) -> Loan | None:
        """Lend slots that can be spared, or extend an existing loan."""
        self.advance(now)
        duration_s = self.max_lending_s(borrow, now)
        if duration_s <= 0:
            return None
        existing = self.lent.find(borrow.renews, borrow.borrower)
        snapshot = self._snapshot(now)
        amount = snapshot.count_lendable(borrow.amount)
        ends_at = now + duration_s + expiry_margin_s(duration_s)
        loan_id = new_id
        if existing:
            amount = existing.share.amount if snapshot.can_extend() else 0.0
            ends_at = max(ends_at, existing.ends_at)
            loan_id = existing.loan_id
        if amount < 1:
            return None
        record = LoanRecord(loan_id, borrow.borrower, Share(amount), ends_at)
        self.lent.put(record)
        return Loan(loan_id, self.name, amount, 0.0, 0.0, duration_s)

    def accept(self, loan: Loan, peer: str, sent_at: float, now: float) -> None:
        """Use slots that a peer has lent."""
        self.advance(now)
        ends_at = sent_at + loan.duration_s
        if ends_at <= now:
            return
        share = Share(float(int(loan.amount)))
        previous = self.borrowed.find(loan.loan_id, peer)
        used = previous.used if previous else 0.0
        self.borrowed.put(
            LoanRecord(loan.loan_id, peer, share, ends_at, used, now)
        )

    def return_loan(self, record: LoanRecord, now: float) -> float:
        """Stop using borrowed slots on which no request runs."""
        self.borrowed.remove(record.loan_id)
        self.used += record.used
        return 0.0

    def loan_requests(
        self,
        now: float,
        peers: Sequence[str],
    ) -> Iterator[LoanRequest]:
        """Yield the loan requests to send now."""
        self.advance(now)
        asked_peers = set()
        for record in self.borrowed:
            if record.peer in peers and record.peer not in asked_peers:
                loan_request = self._renew_or_return(record, now)
                if loan_request:
                    asked_peers.add(record.peer)
                    yield loan_request
        other_peers = [peer for peer in peers if peer not in asked_peers]
        missing = self._snapshot(now).count_missing()
        if missing > 0:
            for peer in other_peers:
                portion = math.ceil(missing / len(other_peers))
                yield LoanRequest(
                    peer,
                    Need(float(portion)),
                    self.max_loan_s(),
                )

    def _usable_records(self, now: float) -> list[LoanRecord]:
        last_admission_at = now + self.ownership.time_limit_s(self.name)
        return [
            record
            for record in self.borrowed
            if record.ends_at >= last_admission_at
        ]

    def _free_owned(self, now: float) -> float:
        owned = self.ownership.share(self.name, now).amount
        return max(0.0, owned - self.lent.total().amount - self.used)

    def _snapshot(self, now: float) -> SlotSnapshot:
        used = self.used + sum(record.used for record in self.borrowed)
        return SlotSnapshot(
            policy=self.policy,
            owned=self.ownership.share(self.name, now).amount,
            lent=self.lent.total().amount,
            free_owned=self._free_owned(now),
            available=self.available(now),
            in_use=used,
            arrivals=self.demand.value_at(now),
            unmet=self.unmet.value_at(now),
        )

    def _renew_or_return(
        self, record: LoanRecord, now: float
    ) -> LoanRequest | None:
        if self._is_idle_record(record, now):
            return LoanRequest(record.peer, Need(), record=record)
        if self._needs_renewal(record, now):
            need = Need(record.share.amount)
            return LoanRequest(record.peer, need, self.max_loan_s(), record)
        return None

    def _is_idle_record(self, record: LoanRecord, now: float) -> bool:
        if record.used:
            return False
        if record not in self._usable_records(now):
            return True
        return record.idle_since + self.policy.idle_slot_s <= now

    def _needs_renewal(self, record: LoanRecord, now: float) -> bool:
        if not self.policy.renewal_enabled:
            return False
        admission_left_s = (
            record.ends_at - self.ownership.time_limit_s(self.name) - now
        )
        loan_s = self.ownership.loan_s()
        return admission_left_s < loan_s * self.policy.renew_fraction
