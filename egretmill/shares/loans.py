"""Short loans between hosts of fractions of account limits.

A lender counts a fraction as lent for at least as long as the borrower can
use it: the borrower counts the duration of the loan from when it sent the
message that the lender answers, the lender from when it answers.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

__all__ = ('LOAN_S', 'LoanBook', 'Shortage')

#: Duration of a loan, unless it is renewed.
LOAN_S = 1.0
#: A lender waits this much longer than the duration of the loan.
MARGIN_S = 0.1
#: Part of its owned fraction that a host never lends.
RESERVE_FRACTION = 0.2
#: A host keeps at least this multiple of its own demand.
DEMAND_HEADROOM = 1.3
#: In each answer, all lenders together change their loans by this multiple
#: of the fraction that the borrower lacks, or has too much.
CORRECTION_GAIN = 2.0
#: Smaller fractions are not lent.
MIN_FRACTION = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """Need of a host for a larger fraction of an account's limit.

    :param need: fraction that covers the demand of its callers.
    :param held: fraction that it may use now, loans included.
    """

    need: float
    held: float


@dataclasses.dataclass(slots=True)
class LentFraction:
    """What is lent to one borrower of one account.

    :param current: the fraction of the last answer.
    :param grants: fraction and end, as boot time, of each answer that the
        borrower may still be using.
    """

    current: float = 0
    grants: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def max_in_use(self, now: float) -> float:
        """Return the largest fraction that the borrower can be using."""
        self.grants = [grant for grant in self.grants if grant[1] > now]
        return max((fraction for fraction, _ in self.grants), default=0)

    def adjust(
        self,
        shortage: Shortage,
        spare: float,
        lenders: int,
        now: float,
    ) -> float:
        """Adjust the loan to a shortage; return the fraction now lent.

        :param spare: fraction that can be lent in addition to this loan.
        :param lenders: number of hosts that can lend to the borrower.
        """
        step = (
            (shortage.need - shortage.held) * CORRECTION_GAIN / max(lenders, 1)
        )
        wanted = max(self.current + step, 0)
        fraction = min(wanted, self.max_in_use(now) + max(spare, 0))
        if fraction < MIN_FRACTION:
            fraction = 0
        self.record_grant(fraction, now)
        return fraction

    def record_grant(self, fraction: float, now: float) -> None:
        """Record the fraction of an answer."""
        self.current = fraction
        if fraction > 0:
            self.grants.append((fraction, now + LOAN_S + MARGIN_S))


class LoanBook:
    """Loans that one host has made and taken; all times are boot times."""

    def __init__(self) -> None:
        self.lent: dict[str, dict[str, LentFraction]] = {}
        self.borrowed: dict[str, tuple[Mapping[str, float], float]] = {}

    def lent_fraction(self, account: str, now: float) -> float:
        """Return the fraction that borrowers may be using."""
        loans_by_borrower = self.lent.get(account, {})
        return sum(loan.max_in_use(now) for loan in loans_by_borrower.values())

    def borrowed_fraction(self, account: str, now: float) -> float:
        """Return the fraction that other hosts have lent to this one."""
        return sum(
            fractions.get(account, 0)
            for fractions, until in self.borrowed.values()
            if until > now
        )

    def accept_answer(
        self,
        lender: str,
        fractions: Mapping[str, float],
        request_sent_at: float,
    ) -> None:
        """Use the answer of a lender in place of its previous one.

        :param request_sent_at: when this host sent the message that it
            answers.
        """
        until = request_sent_at + LOAN_S
        previous = self.borrowed.get(lender)
        if previous is None or until >= previous[1]:
            self.borrowed[lender] = (fractions, until)

    def lend(
        self,
        borrower: str,
        shortages: Mapping[str, Shortage],
        spare: Mapping[str, float],
        lenders: int,
        now: float,
    ) -> dict[str, float]:
        """Answer the shortages of a borrower.

        :param spare: fraction that this host can lend, by account.
        :param lenders: number of hosts that can lend to the borrower.
        :returns: the fractions that the borrower may use, by account.
        """
        for account in self._accounts_lent_to(borrower).difference(shortages):
            self.lent[account][borrower].record_grant(0, now)
        granted = {}
        for name, shortage in shortages.items():
            loan = self.lent.setdefault(name, {}).setdefault(
                borrower, LentFraction()
            )
            fraction = loan.adjust(shortage, spare.get(name, 0), lenders, now)
            if fraction:
                granted[name] = fraction
        return granted

    def forget_lenders(self, hosts: Iterable[str]) -> None:
        """Drop the loans taken from hosts that have left the fleet."""
        for host in hosts:
            self.borrowed.pop(host, None)

    def _accounts_lent_to(self, borrower: str) -> set[str]:
        return {
            account
            for account, loans_by_borrower in self.lent.items()
            if borrower in loans_by_borrower
            and loans_by_borrower[borrower].current
        }


def lendable_fraction(owned: float, lent: float, need: float) -> float:
    """Return the fraction of a limit that a host can lend.

    :param owned: owned fraction, without loans taken.
    :param lent: fraction that is lent already.
    :param need: fraction that covers the demand of its own callers.
    """
    kept = max(owned * RESERVE_FRACTION, need * DEMAND_HEADROOM)
    if math.isinf(kept):
        return 0
    return max(owned - lent - kept, 0)
