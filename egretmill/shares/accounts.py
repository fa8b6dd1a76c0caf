"""Rates of client accounts as one host applies them."""

import dataclasses
import math
from collections.abc import Mapping

from egretmill.fleet.configuration import ClientAccount
from egretmill.shares.bucket import Share, TokenBucket
from egretmill.shares.loans import LoanBook, Shortage, spare_fraction
from egretmill.shares.roster import FleetShare, owners_of

__all__ = ('AccountLimits', 'Admitted', 'Limited', 'Tolerance')

#: Time constant of the mean demand of an account.
DEMAND_S = 1.0
#: A request waits at most this long for its token; a rate that is split over
#: hosts refuses requests for want of a part of a token otherwise.
TOKEN_WAIT_S = 0.15
#: Least burst that an owner of an account holds: with less, most requests
#: meet an empty bucket although others have tokens.
BURST_PER_OWNER = 4.0
#: Least number of owners, so that the loss of one costs a part only.
LEAST_OWNERS = 3
#: Demand above this part of what is held is a shortage.
SHORT_PART = 0.8
#: A shortage asks for this multiple of the demand.
NEED_FACTOR = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What the fleet may admit beyond an account's rate and burst.

    :param requests: in a window, over all hosts.
    :param part: of the rate.
    """

    requests: float = 0
    part: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request inside the rate; it may be sent after a wait."""

    wait_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """A request beyond the rate.

    :param retry_after_s: when this host has a token again.
    """

    retry_after_s: float


@dataclasses.dataclass(slots=True)
class AccountState:
    """Bucket and demand of one account.

    :param demand_per_s: smoothed requests per second, refused ones included.
    """

    account: ClientAccount
    bucket: TokenBucket
    demand_per_s: float = 0
    demand_at: float = 0

    def note_demand(self, now: float) -> None:
        """Count a request."""
        self.demand_per_s = self.demand(now) + 1 / DEMAND_S
        self.demand_at = now

    def demand(self, now: float) -> float:
        """Return the demand in requests per second."""
        age_s = now - self.demand_at
        return self.demand_per_s * math.exp(-age_s / DEMAND_S)

    @property
    def owners(self) -> int:
        """Return how many hosts divide the rate."""
        return max(
            math.ceil(self.account.burst / BURST_PER_OWNER), LEAST_OWNERS
        )

    def need(self, now: float) -> float:
        """Return the demand as a fraction of the account's rate."""
        return self.demand(now) / self.account.rate_per_s


class AccountLimits:
    """Buckets of all limited accounts on one host; times are boot times.

    The buckets of all hosts together hold no more than the rate and burst
    of an account, because their fractions never add up to more than one.
    Buckets start empty, so that a restart brings no second burst.
    """

    def __init__(
        self,
        share: FleetShare,
        loans: LoanBook,
        tolerance: Tolerance | None = None,
    ) -> None:
        self.share = share
        self.loans = loans
        self.tolerance = tolerance or Tolerance()
        self.states: dict[str, AccountState] = {}

    def apply(self, accounts: Mapping[str, ClientAccount], now: float) -> None:
        """Take over the accounts of a configuration."""
        for name in self.states.keys() - accounts.keys():
            self.states.pop(name)
        for name, account in accounts.items():
            known = self.states.get(name)
            if account.limited and known is None:
                self.states[name] = AccountState(account, TokenBucket(now))
            elif account.limited:
                known.account = account
            else:
                self.states.pop(name, None)

    def refresh(self, now: float) -> None:
        """Let tokens accrue for accounts without requests as well."""
        for state in self.states.values():
            self._fill(state, now)

    def admit(
        self,
        account: ClientAccount,
        now: float,
        patience_s: float = TOKEN_WAIT_S,
    ) -> Admitted | Limited:
        """Take a token for a request.

        :param patience_s: longest time that the request may wait for it.
        """
        state = self.states.get(account.name)
        if state is None:
            return Admitted()
        state.note_demand(now)
        self._fill(state, now)
        return _take(state, min(patience_s, TOKEN_WAIT_S))

    def grant(self, name: str, now: float) -> Admitted | Limited:
        """Take a token for a request at another host."""
        state = self.states.get(name)
        if state is None:
            return Limited(TOKEN_WAIT_S)
        self._fill(state, now)
        return _take(state, TOKEN_WAIT_S)

    def lenders(self, name: str, now: float) -> tuple[str, ...]:
        """Return the hosts that may have a token; none where all divide."""
        state = self.states.get(name)
        if state is None or self._is_spread(state, now):
            return ()
        owners = owners_of(name, state.owners, self.share.members)
        return tuple(host for host in owners if host != self.share.host)

    def give_back(self, account: ClientAccount, now: float) -> None:
        """Return the token of a request that was not sent."""
        state = self.states.get(account.name)
        if state is not None:
            self._fill(state, now)
            state.bucket.put_back(1)

    def shortages(self, now: float) -> dict[str, Shortage]:
        """Return the accounts of which this host needs more."""
        found = {}
        for name, state in self.states.items():
            if not self._is_spread(state, now):
                continue
            need = state.need(now)
            held = self.held(name, now)
            borrowed = self.loans.borrowed_in(name, now)
            if borrowed or need > SHORT_PART * held:
                found[name] = Shortage(need * NEED_FACTOR, held)
        return found

    def spare(self, now: float) -> dict[str, float]:
        """Return what this host can lend, by account."""
        owned = self.share.fraction(now)
        return {
            name: spare_fraction(
                owned,
                self.loans.lent_out(name, now),
                state.need(now),
            )
            for name, state in self.states.items()
            if self._is_spread(state, now)
        }

    def held(self, name: str, now: float) -> float:
        """Return the fraction of an account's limit at hand."""
        state = self.states.get(name)
        if state is None:
            return 0
        owned = self.share.part(name, state.owners, now)
        lent = self.loans.lent_out(name, now)
        return max(owned - lent, 0) + self.loans.borrowed_in(name, now)

    def _is_spread(self, state: AccountState, now: float) -> bool:
        """Tell whether all hosts divide the rate, and lend parts of it."""
        return state.owners >= self.share.size(now)

    def _fill(self, state: AccountState, now: float) -> None:
        state.bucket.advance(now)
        fraction = self.held(state.account.name, now)
        part = 0.0
        if fraction > 0:
            divided = min(state.owners, self.share.size(now))
            part = self.tolerance.requests / divided
        rate = state.account.rate_per_s * (1 + self.tolerance.part)
        capacity = state.account.burst * fraction + part
        state.bucket.change(Share(rate * fraction, capacity))


def _take(state: AccountState, patience_s: float) -> Admitted | Limited:
    wait_s = state.bucket.reserve(1, patience_s)
    if wait_s is not None:
        return Admitted(wait_s)
    missing_s = state.bucket.wait_s(1)
    return Limited(TOKEN_WAIT_S if missing_s is None else missing_s)
