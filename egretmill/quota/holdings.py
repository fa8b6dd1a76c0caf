"""Everything that one entry program owns, has lent and has borrowed."""

import dataclasses
import itertools
import math
from collections.abc import Sequence

from egretmill.document import Environment
from egretmill.quota.concurrency import ConcurrencyHolding
from egretmill.quota.loans import LoanRequest
from egretmill.quota.ownership import Ownership, is_concurrency_total
from egretmill.quota.policy import DEFAULT_POLICY, NO_NEED, Policy
from egretmill.quota.rates import RateHolding
from egretmill.quota.reply_cache import ReplyCache
from egretmill.quota.request_tracker import LoanRequestTracker
from egretmill.quota.totals import Totals
from egretmill.shares.bucket import EMPTY_SHARE, Share
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

    :param after_s: seconds after which the same call may succeed without a
        loan; ``None`` if it needs a loan or a release.
    """

    total: str
    after_s: float | None


class Holdings:
    """Quota of one entry program.

    The times passed to the methods must not decrease. Nothing is admitted
    before the first :meth:`apply` with a share slot, or the first loan.

    :param host: name under which peers know this host.
    :param incarnation: number of this run of the program.
    :ivar by_total: holdings by the name of the total.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.policy = policy
        self.ownership = Ownership()
        self.by_total: dict[str, RateHolding | ConcurrencyHolding] = {}
        self.request_tracker = LoanRequestTracker(policy)
        self.reply_cache = ReplyCache()
        self.id_numbers = itertools.count(1)
        self.applied_at = -math.inf
        self.ownership_changed_at = -math.inf
        self.is_closing = False

    def apply(
        self,
        environment: Environment,
        upstreams: tuple[UpstreamRecord, ...],
        slot: ShareSlot | None,
        settled_version: int,
        now: float,
    ) -> None:
        """Apply the state that the agent reports.

        :param settled_version: a version that every holder of a share slot
            is known to have applied.
        """
        for holding in self.by_total.values():
            holding.advance(now)
        totals = Totals(environment, upstreams)
        self.applied_at = now
        if self.ownership.apply(totals, slot, settled_version, now):
            self.ownership_changed_at = now
        for account in environment.accounts:
            self._find_holding(f'account/{account}', now)
        for holding in self.by_total.values():
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

        :param waited: whether this is a retry of a refused request, whose
            demand is already counted.
        """
        holding = self._find_holding(total, now)
        if holding is None:
            return Refused(total, None)
        if holding.take(amount, now, waited=waited):
            return Taken(total, amount)
        return Refused(total, holding.wait_s(amount))

    def release(self, total: str, slots: float, now: float) -> None:
        """Free slots whose request has ended."""
        holding = self.by_total.get(total)
        if holding is not None:
            holding.release(slots, now)

    def available(self, total: str, now: float) -> float:
        """Return the tokens or slots that can be taken now."""
        holding = self._find_holding(total, now)
        return holding.available(now) if holding else 0.0

    def owned(self, total: str) -> Share:
        """Return the owned share as of the last call of :meth:`apply`.

        It includes what is lent to peers.
        """
        if self.ownership.totals is None:
            return EMPTY_SHARE
        return self.ownership.share(total, self.applied_at)

    def lend(self, borrow: Borrow, now: float) -> Loans:
        """Reply to the loan request of a peer.

        A duplicate of a request gets the same reply.
        """
        cached = self.reply_cache.find(borrow, now)
        if cached is not None:
            return cached
        holding = self._find_holding(borrow.total, now)
        loan = self._lend_or_reclaim(holding, borrow, now) if holding else None
        loans = Loans((loan,) if loan else (), borrow.borrow_id)
        self.reply_cache.remember(borrow, loans, now)
        return loans

    def create_loan_requests(
        self,
        now: float,
        peers: Sequence[str],
    ) -> list[tuple[str, Borrow]]:
        """Return the loan requests to send now, each with its peer.

        :param peers: reachable peers, the nearest first.
        """
        if self.is_closing or not self.policy.lending_enabled:
            return []
        outgoing = []
        for name, holding in self.by_total.items():
            if holding.is_idle(now):
                continue
            eligible_peers = self.request_tracker.eligible_peers(
                name, peers, now
            )
            for loan_request in tuple(
                holding.loan_requests(now, eligible_peers)
            ):
                borrow = self._build_borrow(name, loan_request, now)
                outgoing.append((loan_request.peer, borrow))
        return outgoing

    def receive_loans(
        self,
        borrow: Borrow,
        loans: Loans,
        sent_at: float,
        now: float,
    ) -> None:
        """Use what a peer has lent in reply to ``borrow``.

        Only the first reply counts, and only if it has the id of this
        request: the duration of a loan is counted from the ``sent_at`` of
        the request that it answers.
        """
        if loans.borrow_id != borrow.borrow_id:
            return
        peer = self.request_tracker.close(borrow)
        holding = self.by_total.get(borrow.total)
        if peer is None or holding is None:
            return
        loans_of_total = [
            loan for loan in loans.loans if loan.total == borrow.total
        ]
        for loan in loans_of_total:
            holding.accept(loan, peer, sent_at, now)
        if borrow.duration_s:
            self.request_tracker.update_backoff(
                peer, borrow, loans_of_total, now
            )

    def record_unanswered(self, borrow: Borrow, now: float) -> None:
        """Record that a request got no reply; a late reply is ignored."""
        peer = self.request_tracker.close(borrow)
        if peer is not None:
            self.request_tracker.back_off(peer, borrow.total, now)

    def return_all_loans(self, now: float) -> list[tuple[str, Borrow]]:
        """Return all borrowed shares and stop borrowing and lending.

        Slots on which requests run stay borrowed; call again when those
        requests have ended.
        """
        self.is_closing = True
        self.request_tracker.close_all()
        returned = []
        for name, holding in self.by_total.items():
            holding.advance(now)
            for record in holding.borrowed:
                if not record.used:
                    loan_request = LoanRequest(
                        record.peer, NO_NEED, record=record
                    )
                    borrow = self._build_borrow(name, loan_request, now)
                    returned.append((record.peer, borrow))
        return returned

    def _find_holding(
        self,
        name: str,
        now: float,
    ) -> RateHolding | ConcurrencyHolding | None:
        totals = self.ownership.totals
        if totals is None or totals.find(name) is None:
            return None
        if name not in self.by_total:
            self.by_total[name] = _new_holding(self, name, now)
        return self.by_total[name]

    def _lend_or_reclaim(
        self,
        holding: RateHolding | ConcurrencyHolding,
        borrow: Borrow,
        now: float,
    ) -> Loan | None:
        if not borrow.duration_s:
            holding.reclaim(borrow, now)
            return None
        if self.is_closing or not self.policy.lending_enabled:
            return None
        return holding.lend(borrow, now, self._new_id())

    def _build_borrow(
        self, name: str, loan_request: LoanRequest, now: float
    ) -> Borrow:
        holding = self.by_total[name]
        tokens = loan_request.need.tokens
        if loan_request.record and not loan_request.need:
            tokens = holding.return_loan(loan_request.record, now)
        borrow = Borrow(
            borrower=self.host,
            incarnation=self.incarnation,
            total=name,
            version=_version(self.ownership),
            amount=loan_request.need.amount,
            tokens=tokens,
            duration_s=loan_request.duration_s,
            renews=loan_request.record.loan_id if loan_request.record else '',
            borrow_id=self._new_id(),
        )
        self.request_tracker.record_sent(loan_request.peer, borrow)
        return borrow

    def _new_id(self) -> str:
        return f'{self.host}/{self.incarnation}/{next(self.id_numbers)}'


def _version(ownership: Ownership) -> int:
    totals = ownership.totals
    return totals.environment.version if totals else 0


def _new_holding(
    holdings: Holdings,
    name: str,
    now: float,
) -> RateHolding | ConcurrencyHolding:
    if is_concurrency_total(name):
        return ConcurrencyHolding(name, holdings.ownership, holdings.policy)
    # A holding is created on first use, but its tokens have accrued since
    # the owned share last changed.
    since = min(now, holdings.ownership_changed_at)
    return RateHolding(name, holdings.ownership, holdings.policy, since)
