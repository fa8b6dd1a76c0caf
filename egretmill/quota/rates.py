"""One host's part of a rate total: its token bucket and its loans.

The rate and capacity of the bucket are the owned share less what is lent
plus what is borrowed. Over all hosts they add up to no more than the total
at every moment, and a loan carries no more tokens than capacity. Therefore
all buckets together admit no more than one bucket of the whole total would.
"""

import math
from collections.abc import Iterator, Sequence

from egretmill.quota.holding import Holding
from egretmill.quota.loans import LoanRecord, LoanRequest, expiry_margin_s
from egretmill.quota.ownership import Ownership
from egretmill.quota.policy import Need, Policy, is_negligible, split_need
from egretmill.quota.rate_policy import RateSnapshot
from egretmill.shares.bucket import Share, TokenBucket
from egretmill.wire.messages import Borrow, Loan

__all__ = ('RateHolding',)


#: Unmet demand has decayed below this only if its request has given up.
ABANDONED_UNMET = 0.37


class RateHolding(Holding):
    """One host's part of a rate total.

    :param since: time from which tokens of the owned share accrue.
    """

    def __init__(
        self,
        name: str,
        ownership: Ownership,
        policy: Policy,
        since: float,
    ) -> None:
        super().__init__(name, ownership, policy)
        self.bucket = TokenBucket(since)
        self.limit_valid_until = -math.inf

    def advance(self, now: float) -> None:
        """Refill the bucket up to ``now``, applying each change on the way."""
        while self.limit_valid_until <= now:
            at = max(self.limit_valid_until, self.bucket.updated_at)
            self.bucket.advance(at)
            self._update_limit(at)
        self.bucket.advance(now)

    def refresh(self, now: float) -> None:
        """Recompute the rate and capacity of the bucket from now on."""
        self._update_limit(max(now, self.bucket.updated_at))

    def acquire(self, amount: float, now: float) -> bool:
        """Take tokens if there are enough."""
        return self.bucket.take(amount)

    def available(self, now: float) -> float:
        """Return the tokens in the bucket."""
        self.advance(now)
        return self.bucket.tokens

    def wait_s(self, amount: float) -> float | None:
        """Return the time until enough tokens accrue without a loan."""
        return self.bucket.wait_s(amount)

    def lend(self, borrow: Borrow, now: float, new_id: str) -> Loan | None:
        """Lend what can be spared, or change an existing loan.

        If the loan shrinks, the difference counts as lent until the former
        end, because the borrower may not receive the reply.
        """
        self.advance(now)
        duration_s = self.max_lending_s(borrow, now)
        if duration_s <= 0:
            return None
        existing = self.lent.find(borrow.renews, borrow.borrower)
        old_share = existing.share if existing else Share()
        snapshot = self._snapshot(now)
        tokens = snapshot.lendable_tokens(borrow.tokens)
        share = snapshot.lendable_share(old_share, borrow.amount, tokens)
        if is_negligible(share, snapshot.owned):
            return None
        loan_id = existing.loan_id if existing else new_id
        if existing:
            self._keep_remainder_lent(existing, share, new_id)
        ends_at = now + duration_s + expiry_margin_s(duration_s)
        if existing:
            ends_at = max(ends_at, existing.ends_at)
        self.lent.put(LoanRecord(loan_id, borrow.borrower, share, ends_at))
        self.bucket.tokens -= tokens
        self.refresh(now)
        return Loan(
            loan_id,
            self.name,
            share.amount,
            share.capacity,
            tokens,
            duration_s,
        )

    def reclaim(self, borrow: Borrow, now: float) -> None:
        """Use a share again that its borrower has returned."""
        self.advance(now)
        if self.lent.find(borrow.renews, borrow.borrower) is None:
            return
        self.lent.remove(borrow.renews)
        self.refresh(now)
        self.bucket.tokens = min(
            self.bucket.limit.capacity,
            self.bucket.tokens + max(0.0, borrow.tokens),
        )

    def accept(self, loan: Loan, peer: str, sent_at: float, now: float) -> None:
        """Use a share that a peer has lent."""
        self.advance(now)
        ends_at = sent_at + loan.duration_s
        if ends_at <= now:
            return
        share = Share(loan.amount, loan.capacity)
        self.borrowed.put(LoanRecord(loan.loan_id, peer, share, ends_at))
        self.refresh(now)
        self.bucket.tokens = min(
            self.bucket.limit.capacity,
            self.bucket.tokens + min(loan.tokens, loan.capacity),
        )

    def return_loan(self, record: LoanRecord, now: float) -> float:
        """Stop using a loan; return the tokens that go back with it."""
        self.advance(now)
        self.borrowed.remove(record.loan_id)
        before = self.bucket.tokens
        self.refresh(now)
        return min(record.share.capacity, before - self.bucket.tokens)

    def loan_requests(
        self,
        now: float,
        peers: Sequence[str],
    ) -> Iterator[LoanRequest]:
        """Yield the loan requests to send now."""
        self.advance(now)
        snapshot = self._snapshot(now)
        need = snapshot.compute_need()
        remaining_peers = list(peers)
        for record in self.borrowed:
            loan_request = _renew_or_return(self, snapshot, record, now)
            if loan_request and record.peer in remaining_peers:
                remaining_peers.remove(record.peer)
                yield loan_request
        if need.amount:
            yield from _request_rate(self, need, remaining_peers)
        elif need:
            yield from _request_tokens(self, snapshot, need, remaining_peers)

    def _update_limit(self, at: float) -> None:
        self.lent.expire(at)
        self.borrowed.expire(at)
        owned = self.ownership.share(self.name, at)
        lent = self.lent.total()
        borrowed = self.borrowed.total()
        self.bucket.apply_limit(
            Share(
                max(0.0, owned.amount - lent.amount) + borrowed.amount,
                max(0.0, owned.capacity - lent.capacity) + borrowed.capacity,
            ),
        )
        end_times = [*self.lent.end_times(), *self.borrowed.end_times()]
        limit_change_at = self.ownership.next_change_at(self.name, at)
        self.limit_valid_until = min([limit_change_at, *end_times])

    def _keep_remainder_lent(
        self, existing: LoanRecord, share: Share, new_id: str
    ) -> None:
        remainder = Share(
            max(0.0, existing.share.amount - share.amount),
            max(0.0, existing.share.capacity - share.capacity),
        )
        if remainder.amount or remainder.capacity:
            remainder_id = f'{new_id}/rest'
            ends_at = existing.ends_at
            self.lent.put(
                LoanRecord(remainder_id, existing.peer, remainder, ends_at)
            )

    def _snapshot(self, now: float) -> RateSnapshot:
        return RateSnapshot(
            policy=self.policy,
            owned=self.ownership.share(self.name, now),
            lent=self.lent.total(),
            borrowed=self.borrowed.total(),
            limit=self.bucket.limit,
            tokens=self.bucket.tokens,
            rate=self.demand.rate_at(now),
            unmet=self.unmet.value_at(now),
        )


def _renew_or_return(
    holding: RateHolding,
    snapshot: RateSnapshot,
    record: LoanRecord,
    now: float,
) -> LoanRequest | None:
    if not record.share.amount:
        unused = holding.bucket.limit.capacity - holding.bucket.tokens
        if snapshot.has_small_burst and snapshot.unmet < ABANDONED_UNMET:
            return LoanRequest(record.peer, Need(), record=record)
        if (
            holding.policy.returns_empty_loans
            and unused >= record.share.capacity
        ):
            return LoanRequest(record.peer, Need(), record=record)
        return None
    renew_s = holding.max_loan_s() * holding.policy.renew_fraction
    if record.ends_at - now > renew_s or not holding.policy.renewal_enabled:
        return None
    if snapshot.can_return(record.share):
        return LoanRequest(record.peer, Need(), record=record)
    need = Need(record.share.amount)
    return LoanRequest(record.peer, need, holding.max_loan_s(), record)


def _request_rate(
    holding: RateHolding,
    need: Need,
    peers: Sequence[str],
) -> Iterator[LoanRequest]:
    """Request rate from all peers, extending the loans that exist."""
    extendable = {
        record.peer: record
        for record in holding.borrowed
        if record.share.amount and holding.policy.renewal_enabled
    }
    for peer in peers:
        portion = split_need(need, len(peers))
        record = extendable.get(peer)
        amount = portion.amount
        if record:
            amount += record.share.amount
        requested = Need(amount, portion.tokens)
        yield LoanRequest(peer, requested, holding.max_loan_s(), record)


def _request_tokens(
    holding: RateHolding,
    snapshot: RateSnapshot,
    need: Need,
    peers: Sequence[str],
) -> Iterator[LoanRequest]:
    """Request tokens alone, for a short time.

    A few peers are asked, or all of them where each has only a fraction of
    a token.
    """
    peer_count = math.ceil(need.tokens / holding.policy.tokens_per_peer)
    duration_s = min(holding.policy.token_loan_s, holding.max_loan_s())
    chosen_peers = peers if snapshot.has_small_burst else peers[:peer_count]
    for peer in chosen_peers:
        portion = (
            need
            if snapshot.has_small_burst
            else split_need(need, len(chosen_peers))
        )
        yield LoanRequest(peer, portion, duration_s)
