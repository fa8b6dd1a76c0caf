"""Admission of requests by client account, with one token bucket each."""

import dataclasses
import math
from collections.abc import Mapping

from egretmill.fleet.configuration import ClientAccount
from egretmill.shares.bucket import Share, TokenBucket
from egretmill.shares.loans import LoanBook, Shortage, lendable_fraction
from egretmill.shares.rate_meter import RateMeter
from egretmill.shares.roster import FleetShare, owners_of

__all__ = ('AccountLimits', 'Admitted', 'Limited', 'Tolerance')

#: Time constant of the demand estimate of an account.
DEMAND_TIME_CONSTANT_S = 1.0
#: Longest wait of a request for its token. Without it, requests would be
#: refused for lack of a fraction of a token, as the rate is split over hosts.
MAX_TOKEN_WAIT_S = 0.15
#: Smallest burst to give to an owner of an account: with less, most requests
#: find an empty bucket although other hosts have tokens.
MIN_BURST_PER_OWNER = 4.0
#: Smallest number of owners, so that the loss of one loses only a fraction.
MIN_OWNERS = 3
#: Demand above this part of the fraction held is a shortage.
SHORTAGE_THRESHOLD = 0.8
#: A shortage is reported as a need of this multiple of the demand.
NEED_HEADROOM = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What the fleet may admit in excess of an account's rate and burst.

    :param requests: additional burst, over all hosts together.
    :param rate_fraction: additional rate, as a fraction of that of the account.
    """

    requests: float = 0
    rate_fraction: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent after a wait."""

    wait_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """The request exceeds the rate.

    :param retry_after_s: time until this host has a token again.
    """

    retry_after_s: float


@dataclasses.dataclass(slots=True)
class AccountState:
    """Token bucket and demand of one account.

    :param demand: requests, refused ones included.
    """

    account: ClientAccount
    bucket: TokenBucket
    demand: RateMeter = dataclasses.field(
        default_factory=lambda: RateMeter(DEMAND_TIME_CONSTANT_S),
    )

    @property
    def owner_count(self) -> int:
        """Return among how many hosts the rate is to be divided."""
        return max(
            math.ceil(self.account.burst / MIN_BURST_PER_OWNER), MIN_OWNERS
        )

    def needed_fraction(self, now: float) -> float:
        """Return the demand as a fraction of the account's rate."""
        return self.demand.rate_at(now) / self.account.rate_per_s


class AccountLimits:
    """Token buckets of all limited accounts on one host.

    The buckets of all hosts together never exceed the rate and burst of an
    account, because the fractions of the hosts never add up to more than
    one. Buckets start empty, so that a restart allows no second burst. All
    times are boot times.
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
        """Apply the accounts of a configuration."""
        for name in self.states.keys() - accounts.keys():
            self.states.pop(name)
        for name, account in accounts.items():
            state = self.states.get(name)
            if account.is_limited and state is None:
                self.states[name] = AccountState(account, TokenBucket(now))
            elif account.is_limited:
                state.account = account
            else:
                self.states.pop(name, None)

    def refresh(self, now: float) -> None:
        """Refill all buckets, including those of accounts without requests."""
        for state in self.states.values():
            self._update_bucket(state, now)

    def admit(
        self,
        account: ClientAccount,
        now: float,
        max_wait_s: float = MAX_TOKEN_WAIT_S,
    ) -> Admitted | Limited:
        """Take a token for a request.

        :param max_wait_s: longest time that the request can wait for it.
        """
        state = self.states.get(account.name)
        if state is None:
            return Admitted()
        state.demand.record(now)
        self._update_bucket(state, now)
        return _reserve_token(state, min(max_wait_s, MAX_TOKEN_WAIT_S))

    def grant_token(self, name: str, now: float) -> Admitted | Limited:
        """Take a token for a request that another host received."""
        state = self.states.get(name)
        if state is None:
            return Limited(MAX_TOKEN_WAIT_S)
        self._update_bucket(state, now)
        return _reserve_token(state, MAX_TOKEN_WAIT_S)

    def token_owners(self, name: str, now: float) -> tuple[str, ...]:
        """Return the other hosts that may have a token.

        There are none if the rate is divided among all hosts.
        """
        state = self.states.get(name)
        if state is None or self._is_divided_by_all(state, now):
            return ()
        owners = owners_of(name, state.owner_count, self.share.members)
        return tuple(host for host in owners if host != self.share.host)

    def return_token(self, account: ClientAccount, now: float) -> None:
        """Put back the token of a request that was not sent."""
        state = self.states.get(account.name)
        if state is not None:
            self._update_bucket(state, now)
            state.bucket.put_back(1)

    def find_shortages(self, now: float) -> dict[str, Shortage]:
        """Return the accounts for which this host needs a larger fraction."""
        shortages_by_account = {}
        for name, state in self.states.items():
            if not self._is_divided_by_all(state, now):
                continue
            needed_fraction = state.needed_fraction(now)
            held = self.held_fraction(name, now)
            borrowed = self.loans.borrowed_fraction(name, now)
            if borrowed or needed_fraction > SHORTAGE_THRESHOLD * held:
                shortages_by_account[name] = Shortage(
                    needed_fraction * NEED_HEADROOM, held
                )
        return shortages_by_account

    def lendable_fractions(self, now: float) -> dict[str, float]:
        """Return the fraction that this host can lend, by account."""
        owned = self.share.fraction(now)
        return {
            name: lendable_fraction(
                owned,
                self.loans.lent_fraction(name, now),
                state.needed_fraction(now),
            )
            for name, state in self.states.items()
            if self._is_divided_by_all(state, now)
        }

    def held_fraction(self, name: str, now: float) -> float:
        """Return the fraction of an account's limit that this host may use."""
        state = self.states.get(name)
        if state is None:
            return 0
        owned = self.share.fraction_of(name, state.owner_count, now)
        lent = self.loans.lent_fraction(name, now)
        return max(owned - lent, 0) + self.loans.borrowed_fraction(name, now)

    def _is_divided_by_all(self, state: AccountState, now: float) -> bool:
        """Return whether the rate is divided among all hosts.

        Only then do hosts lend each other fractions of it; otherwise they
        request single tokens from the owners.
        """
        return state.owner_count >= self.share.max_members(now)

    def _update_bucket(self, state: AccountState, now: float) -> None:
        state.bucket.advance(now)
        fraction = self.held_fraction(state.account.name, now)
        tolerated_burst = 0.0
        if fraction > 0:
            divisor = min(state.owner_count, self.share.max_members(now))
            tolerated_burst = self.tolerance.requests / divisor
        rate = state.account.rate_per_s * (1 + self.tolerance.rate_fraction)
        capacity = state.account.burst * fraction + tolerated_burst
        state.bucket.apply_limit(Share(rate * fraction, capacity))


def _reserve_token(
    state: AccountState, max_wait_s: float
) -> Admitted | Limited:
    wait_s = state.bucket.reserve(1, max_wait_s)
    if wait_s is not None:
        return Admitted(wait_s)
    refill_s = state.bucket.wait_s(1)
    return Limited(MAX_TOKEN_WAIT_S if refill_s is None else refill_s)
