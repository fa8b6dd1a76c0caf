"""What one host holds of a rate total: own bucket, lent and borrowed parts.

The level of the bucket is the owned share less what is lent plus what is
borrowed. Rates and capacities over all hosts add up to no more than the
total at every moment, and a loan carries no more tokens than capacity, so
the buckets together admit no more than one bucket of the whole total.
"""

import math
from collections.abc import Iterator, Sequence

from egretmill.shares.bucket import Share, TokenBucket
from egretmill.quota.holding import Holding
from egretmill.quota.loans import Part, Question, margin_s
from egretmill.quota.ownership import Ownership
from egretmill.quota.policy import Need, Policy, slight, split
from egretmill.quota.rate_policy import RateView
from egretmill.wire.messages import Borrow, Loan

__all__ = ('RateHolding',)


#: Less unmet demand than this comes from a request that has given up.
OVER = 0.37


class RateHolding(Holding):
    """One host's part of a rate total.

    :param since: owned tokens accrue from this time on.
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
        self.level_until = -math.inf

    def advance(self, now: float) -> None:
        """Bring the bucket to ``now``, through each change on the way."""
        while self.level_until <= now:
            at = max(self.level_until, self.bucket.at)
            self.bucket.advance(at)
            self._set_level(at)
        self.bucket.advance(now)

    def refresh(self, now: float) -> None:
        """Use a changed level from now on."""
        self._set_level(max(now, self.bucket.at))

    def occupy(self, amount: float, now: float) -> bool:
        """Take tokens if there are enough."""
        return self.bucket.take(amount)

    def available(self, now: float) -> float:
        """Return the tokens at hand."""
        self.advance(now)
        return self.bucket.tokens

    def wait_s(self, amount: float) -> float | None:
        """Return when a refused take may succeed with what is held."""
        return self.bucket.wait_s(amount)

    def lend(self, borrow: Borrow, now: float, new_id: str) -> Loan | None:
        """Lend what can be spared, or change a loan.

        What a changed loan loses stays lent until its earlier end, because
        the borrower may miss the answer.
        """
        self.advance(now)
        duration_s = self.lending_s(borrow, now)
        if duration_s <= 0:
            return None
        current = self.lent.find(borrow.renews, borrow.borrower)
        old = current.share if current else Share()
        view = self._view(now)
        tokens = view.spare_tokens(borrow.tokens)
        share = view.spare_share(old, borrow.amount, tokens)
        if slight(share, view.owned):
            return None
        loan_id = current.loan_id if current else new_id
        if current:
            self._keep_rest(current, share, new_id)
        ends_at = now + duration_s + margin_s(duration_s)
        if current:
            ends_at = max(ends_at, current.ends_at)
        self.lent.put(Part(loan_id, borrow.borrower, share, ends_at))
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

    def take_back(self, borrow: Borrow, now: float) -> None:
        """Use a part again that its borrower has given back."""
        self.advance(now)
        if self.lent.find(borrow.renews, borrow.borrower) is None:
            return
        self.lent.remove(borrow.renews)
        self.refresh(now)
        self.bucket.tokens = min(
            self.bucket.level.capacity,
            self.bucket.tokens + max(0.0, borrow.tokens),
        )

    def accept(self, loan: Loan, peer: str, sent_at: float, now: float) -> None:
        """Use a part that a peer has lent."""
        self.advance(now)
        ends_at = sent_at + loan.duration_s
        if ends_at <= now:
            return
        share = Share(loan.amount, loan.capacity)
        self.borrowed.put(Part(loan.loan_id, peer, share, ends_at))
        self.refresh(now)
        self.bucket.tokens = min(
            self.bucket.level.capacity,
            self.bucket.tokens + min(loan.tokens, loan.capacity),
        )

    def give_back(self, part: Part, now: float) -> float:
        """Stop using a borrowed part; return the tokens that go with it."""
        self.advance(now)
        self.borrowed.remove(part.loan_id)
        before = self.bucket.tokens
        self.refresh(now)
        return min(part.share.capacity, before - self.bucket.tokens)

    def questions(
        self,
        now: float,
        askable: Sequence[str],
    ) -> Iterator[Question]:
        """Yield what to ask from which peer now."""
        self.advance(now)
        view = self._view(now)
        need = view.need()
        free = list(askable)
        for part in self.borrowed:
            question = _follow_up(self, view, part, now)
            if question and part.peer in free:
                free.remove(part.peer)
                yield question
        if need.amount:
            yield from _ask_rate(self, need, free)
        elif need:
            yield from _ask_tokens(self, view, need, free)

    def _set_level(self, at: float) -> None:
        self.lent.expire(at)
        self.borrowed.expire(at)
        owned = self.ownership.share(self.name, at)
        lent = self.lent.total()
        borrowed = self.borrowed.total()
        self.bucket.change(
            Share(
                max(0.0, owned.amount - lent.amount) + borrowed.amount,
                max(0.0, owned.capacity - lent.capacity) + borrowed.capacity,
            ),
        )
        ends = [*self.lent.ends(), *self.borrowed.ends()]
        change = self.ownership.next_change(self.name, at)
        self.level_until = min([change, *ends])

    def _keep_rest(self, current: Part, share: Share, new_id: str) -> None:
        rest = Share(
            max(0.0, current.share.amount - share.amount),
            max(0.0, current.share.capacity - share.capacity),
        )
        if rest.amount or rest.capacity:
            rest_id = f'{new_id}/rest'
            ends_at = current.ends_at
            self.lent.put(Part(rest_id, current.peer, rest, ends_at))

    def _view(self, now: float) -> RateView:
        return RateView(
            policy=self.policy,
            owned=self.ownership.share(self.name, now),
            lent=self.lent.total(),
            borrowed=self.borrowed.total(),
            level=self.bucket.level,
            tokens=self.bucket.tokens,
            rate=self.demand.rate(now),
            unmet=self.unmet.sum(now),
        )


def _follow_up(
    holding: RateHolding,
    view: RateView,
    part: Part,
    now: float,
) -> Question | None:
    if not part.share.amount:
        unused = holding.bucket.level.capacity - holding.bucket.tokens
        if view.is_small and view.unmet < OVER:
            return Question(part.peer, Need(), part=part)
        if holding.policy.returns_tokens and unused >= part.share.capacity:
            return Question(part.peer, Need(), part=part)
        return None
    renew_s = holding.duration_s() * holding.policy.renew_part
    if part.ends_at - now > renew_s or not holding.policy.renews:
        return None
    if view.can_do_without(part.share):
        return Question(part.peer, Need(), part=part)
    need = Need(part.share.amount)
    return Question(part.peer, need, holding.duration_s(), part)


def _ask_rate(
    holding: RateHolding,
    need: Need,
    askable: Sequence[str],
) -> Iterator[Question]:
    """Ask all peers; a loan that a peer already made is extended."""
    held = {
        part.peer: part
        for part in holding.borrowed
        if part.share.amount and holding.policy.renews
    }
    for peer in askable:
        portion = split(need, len(askable))
        part = held.get(peer)
        amount = portion.amount
        if part:
            amount += part.share.amount
        wish = Need(amount, portion.tokens)
        yield Question(peer, wish, holding.duration_s(), part)


def _ask_tokens(
    holding: RateHolding,
    view: RateView,
    need: Need,
    askable: Sequence[str],
) -> Iterator[Question]:
    """Ask for tokens alone, for a short time.

    A few peers are asked, and all where each has only a part of a token.
    """
    wanted = math.ceil(need.tokens / holding.policy.tokens_per_peer)
    duration_s = min(holding.policy.tokens_s, holding.duration_s())
    asked = askable if view.is_small else askable[:wanted]
    for peer in asked:
        portion = need if view.is_small else split(need, len(asked))
        yield Question(peer, portion, duration_s)
