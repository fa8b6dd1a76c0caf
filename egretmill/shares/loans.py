"""Fractions of account limits that hosts lend each other for a second.

A lender counts a fraction as lent until the longest time at which its
borrower can still use it: the borrower counts the end from when it sent the
message that the lender answers, the lender from when it answers.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

__all__ = ('LOAN_S', 'LoanBook', 'Shortage')

#: How long a loan lasts unless it is renewed.
LOAN_S = 1.0
#: A lender waits this much longer.
MARGIN_S = 0.1
#: Part of its own fraction that a host never lends.
RESERVE_PART = 0.2
#: A host keeps this multiple of what its callers ask for.
KEPT_FACTOR = 1.3
#: Part of a missing fraction that all lenders together add in one step.
STEP = 2.0
#: Smaller fractions are not worth a change.
LEAST = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """What a host needs of an account's limit, as fractions of it.

    :param need: for what its callers ask.
    :param held: at hand, borrowed parts included.
    """

    need: float
    held: float


@dataclasses.dataclass(slots=True)
class Lent:
    """What one borrower may use of one account.

    :param current: the fraction of the last answer.
    :param ends: fraction and boot time of each answer that still binds.
    """

    current: float = 0
    ends: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def bound(self, now: float) -> float:
        """Return the largest fraction that the borrower can be using."""
        self.ends = [row for row in self.ends if row[1] > now]
        return max((fraction for fraction, _ in self.ends), default=0)

    def extend(
        self,
        shortage: Shortage,
        spare: float,
        lenders: int,
        now: float,
    ) -> float:
        """Answer a shortage; return the fraction.

        :param spare: what the lender can do without beyond this loan.
        :param lenders: hosts that can lend to the borrower.
        """
        step = (shortage.need - shortage.held) * STEP / max(lenders, 1)
        wanted = max(self.current + step, 0)
        fraction = min(wanted, self.bound(now) + max(spare, 0))
        if fraction < LEAST:
            fraction = 0
        self.grant(fraction, now)
        return fraction

    def grant(self, fraction: float, now: float) -> None:
        """Answer with a fraction."""
        self.current = fraction
        if fraction > 0:
            self.ends.append((fraction, now + LOAN_S + MARGIN_S))


class LoanBook:
    """Loans of one host, given and taken; all times are boot times."""

    def __init__(self) -> None:
        self.lent: dict[str, dict[str, Lent]] = {}
        self.borrowed: dict[str, tuple[Mapping[str, float], float]] = {}

    def lent_out(self, account: str, now: float) -> float:
        """Return the fraction that other hosts can be using."""
        rows = self.lent.get(account, {})
        return sum(row.bound(now) for row in rows.values())

    def borrowed_in(self, account: str, now: float) -> float:
        """Return the fraction that other hosts have lent."""
        return sum(
            fractions.get(account, 0)
            for fractions, until in self.borrowed.values()
            if until > now
        )

    def take(
        self,
        lender: str,
        fractions: Mapping[str, float],
        asked_at: float,
    ) -> None:
        """Use what a lender answered; its answer before is replaced.

        :param asked_at: when the message was sent that it answers.
        """
        until = asked_at + LOAN_S
        known = self.borrowed.get(lender)
        if known is None or until >= known[1]:
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

        :param spare: what this host can do without, by account.
        :param lenders: hosts that can lend to the borrower.
        :returns: the fractions that the borrower may use, by account.
        """
        for account in self._accounts_of(borrower).difference(shortages):
            self.lent[account][borrower].grant(0, now)
        granted = {}
        for name, shortage in shortages.items():
            row = self.lent.setdefault(name, {}).setdefault(borrower, Lent())
            fraction = row.extend(shortage, spare.get(name, 0), lenders, now)
            if fraction:
                granted[name] = fraction
        return granted

    def forget(self, hosts: Iterable[str]) -> None:
        """Drop the borrowed parts of hosts that have gone."""
        for host in hosts:
            self.borrowed.pop(host, None)

    def _accounts_of(self, borrower: str) -> set[str]:
        return {
            account
            for account, rows in self.lent.items()
            if borrower in rows and rows[borrower].current
        }


def spare_fraction(owned: float, lent: float, need: float) -> float:
    """Return what a host can lend of a limit.

    :param owned: own fraction, borrowed parts not included.
    :param lent: fraction that is lent already.
    :param need: fraction that its own callers ask for.
    """
    kept = max(owned * RESERVE_PART, need * KEPT_FACTOR)
    if math.isinf(kept):
        return 0
    return max(owned - lent - kept, 0)
