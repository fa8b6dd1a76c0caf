"""All that one entry program owns, has lent and has borrowed."""

import dataclasses
import itertools
import math
from collections.abc import Sequence

from egretmill.document import Environment
from egretmill.quota.answers import Answers
from egretmill.quota.asking import Asking
from egretmill.quota.concurrency import ConcurrencyHolding
from egretmill.shares.bucket import NOTHING, Share
from egretmill.quota.loans import Question
from egretmill.quota.ownership import Ownership, is_concurrency
from egretmill.quota.policy import DEFAULT, NO_NEED, Policy
from egretmill.quota.rates import RateHolding
from egretmill.quota.totals import Totals
from egretmill.wire.messages import (
    Borrow,
    Loan,
    Loans,
    ShareSlot,
    UpstreamRecord,
)

__all__ = ('Holdings', 'Refused', 'Taken')


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Quota was taken; slots must be released when the request ends."""

    total: str
    amount: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Quota was not taken.

    :param after_s: seconds after which the same call may succeed out of
        what is held, ``None`` when only a loan or a release can help.
    """

    total: str
    after_s: float | None


class Holdings:
    """Quota of one entry program.

    Calls must have times that do not decrease. Nothing is admitted before
    the first :meth:`apply` with a share slot, or a loan.

    :param host: name under which peers know this host.
    :param incarnation: run of this program.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        policy: Policy = DEFAULT,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.policy = policy
        self.ownership = Ownership()
        self.holdings: dict[str, RateHolding | ConcurrencyHolding] = {}
        self.asking = Asking(policy)
        self.answers = Answers()
        self.numbers = itertools.count(1)
        self.applied_at = -math.inf
        self.changed_at = -math.inf
        self.closing = False

    def apply(
        self,
        environment: Environment,
        upstreams: tuple[UpstreamRecord, ...],
        slot: ShareSlot | None,
        settled_version: int,
        now: float,
    ) -> None:
        """Take over what the agent reports.

        :param settled_version: a version that every holder of a share slot
            is known to apply or to have applied.
        """
        for holding in self.holdings.values():
            holding.advance(now)
        totals = Totals(environment, upstreams)
        self.applied_at = now
        if self.ownership.apply(totals, slot, settled_version, now):
            self.changed_at = now
        for account in environment.accounts:
            self._holding(f'account/{account}', now)
        for holding in self.holdings.values():
            if isinstance(holding, RateHolding):
                holding.refresh(now)

    def try_take(
        self,
        total: str,
        amount: float,
        now: float,
        *,
        waited: bool = False,
    ) -> Taken | Refused:
        """Take quota for a request.

        :param waited: the request was refused before and asks again; its
            demand is counted once.
        """
        holding = self._holding(total, now)
        if holding is None:
            return Refused(total, None)
        if holding.take(amount, now, waited=waited):
            return Taken(total, amount)
        return Refused(total, holding.wait_s(amount))

    def release(self, total: str, slots: float, now: float) -> None:
        """Free slots whose request has ended."""
        holding = self.holdings.get(total)
        if holding is not None:
            holding.release(slots, now)

    def available(self, total: str, now: float) -> float:
        """Return the tokens or slots that can be taken now."""
        holding = self._holding(total, now)
        return holding.available(now) if holding else 0.0

    def owned(self, total: str) -> Share:
        """Return the owned share as of the last call of :meth:`apply`.

        What is lent of it is included.
        """
        if self.ownership.totals is None:
            return NOTHING
        return self.ownership.share(total, self.applied_at)

    def lend(self, borrow: Borrow, now: float) -> Loans:
        """Answer a peer's question.

        A question that arrives twice gets the same answer.
        """
        earlier = self.answers.find(borrow, now)
        if earlier is not None:
            return earlier
        holding = self._holding(borrow.total, now)
        loan = self._decide(holding, borrow, now) if holding else None
        loans = Loans((loan,) if loan else (), borrow.borrow_id)
        self.answers.keep(borrow, loans, now)
        return loans

    def wishes(
        self,
        now: float,
        peers: Sequence[str],
    ) -> list[tuple[str, Borrow]]:
        """Return which peers to ask for what now.

        :param peers: reachable peers, the nearest first.
        """
        if self.closing or not self.policy.lends:
            return []
        wished = []
        for name, holding in self.holdings.items():
            if holding.is_idle(now):
                continue
            askable = self.asking.askable(name, peers, now)
            for question in tuple(holding.questions(now, askable)):
                borrow = self._borrow(name, question, now)
                wished.append((question.peer, borrow))
        return wished

    def receive(
        self,
        borrow: Borrow,
        loans: Loans,
        sent_at: float,
        now: float,
    ) -> None:
        """Use what a peer has lent in answer to ``borrow``.

        Only the first answer to a question counts, and only if it names
        the question: the end of a loan is counted from its ``sent_at``.
        """
        if loans.borrow_id != borrow.borrow_id:
            return
        peer = self.asking.answered(borrow)
        holding = self.holdings.get(borrow.total)
        if peer is None or holding is None:
            return
        usable = [loan for loan in loans.loans if loan.total == borrow.total]
        for loan in usable:
            holding.accept(loan, peer, sent_at, now)
        if borrow.duration_s:
            self.asking.judge(peer, borrow, usable, now)

    def failed(self, borrow: Borrow, now: float) -> None:
        """Record that a question got no answer; a late one is ignored."""
        peer = self.asking.answered(borrow)
        if peer is not None:
            self.asking.unanswered(peer, borrow.total, now)

    def return_all(self, now: float) -> list[tuple[str, Borrow]]:
        """Give back all borrowed parts and ask for no more.

        Slots on which requests run stay borrowed; call again when they
        have ended.
        """
        self.closing = True
        self.asking.forget()
        returned = []
        for name, holding in self.holdings.items():
            holding.advance(now)
            for part in holding.borrowed:
                if not part.used:
                    question = Question(part.peer, NO_NEED, part=part)
                    borrow = self._borrow(name, question, now)
                    returned.append((part.peer, borrow))
        return returned

    def _holding(
        self,
        name: str,
        now: float,
    ) -> RateHolding | ConcurrencyHolding | None:
        totals = self.ownership.totals
        if totals is None or totals.find(name) is None:
            return None
        if name not in self.holdings:
            self.holdings[name] = _new_holding(self, name, now)
        return self.holdings[name]

    def _decide(
        self,
        holding: RateHolding | ConcurrencyHolding,
        borrow: Borrow,
        now: float,
    ) -> Loan | None:
        if not borrow.duration_s:
            holding.take_back(borrow, now)
            return None
        if self.closing or not self.policy.lends:
            return None
        return holding.lend(borrow, now, self._new_id())

    def _borrow(self, name: str, question: Question, now: float) -> Borrow:
        holding = self.holdings[name]
        tokens = question.need.tokens
        if question.part and not question.need:
            tokens = holding.give_back(question.part, now)
        borrow = Borrow(
            borrower=self.host,
            incarnation=self.incarnation,
            total=name,
            version=_version(self.ownership),
            amount=question.need.amount,
            tokens=tokens,
            duration_s=question.duration_s,
            renews=question.part.loan_id if question.part else '',
            borrow_id=self._new_id(),
        )
        self.asking.asked(question.peer, borrow)
        return borrow

    def _new_id(self) -> str:
        return f'{self.host}/{self.incarnation}/{next(self.numbers)}'


def _version(ownership: Ownership) -> int:
    totals = ownership.totals
    return totals.environment.version if totals else 0


def _new_holding(
    holdings: Holdings,
    name: str,
    now: float,
) -> RateHolding | ConcurrencyHolding:
    if is_concurrency(name):
        return ConcurrencyHolding(name, holdings.ownership, holdings.policy)
    # Tokens of a total that nobody used yet have accrued all the same.
    since = min(now, holdings.changed_at)
    return RateHolding(name, holdings.ownership, holdings.policy, since)
