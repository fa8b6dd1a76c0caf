"""Tuning of loans: how much a host keeps, lends and borrows.

These values only affect how well shares follow demand. None of them can
make the hosts together exceed a total.
"""

import dataclasses

from egretmill.shares.bucket import Share

__all__ = (
    'DEFAULT_POLICY',
    'NO_NEED',
    'Need',
    'Policy',
    'is_negligible',
    'split_need',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Parameters of borrowing and lending; times are in seconds.

    :param lending_enabled: whether loans are made at all.
    :param renewal_enabled: whether loans are renewed before they end.
    :param demand_time_constant_s: time constant of the demand estimate.
    :param unmet_time_constant_s: time constant of the estimate of refused
        demand.
    :param horizon_s: a host keeps tokens for its demand during this time.
    :param borrow_below: a host borrows rate if its limit is lower than its
        demand times this factor.
    :param borrow_up_to: it then borrows up to its demand times this factor.
    :param keep_factor: a lender keeps its own demand times this factor.
    :param low_tokens_s: a host borrows tokens if it has fewer than its
        demand during this time.
    :param tokens_per_peer: number of tokens to request from one peer.
    :param token_loan_s: duration of a loan of tokens alone. It must be longer
        than the latency between regions; the lender lacks the capacity
        until the loan ends.
    :param returns_empty_loans: whether the capacity of such a loan is
        returned as soon as it holds no tokens.
    :param renew_fraction: a loan is renewed when this fraction of its
        duration is left.
    :param refusal_backoff_s: first backoff after a peer lent little or
        nothing.
    :param max_refusal_backoff_s: longest backoff after repeated refusals.
    :param unanswered_backoff_s: backoff after an unanswered loan request.
    :param idle_slot_s: a borrowed slot is returned after this idle time.
    :param slot_headroom: free slots to hold in advance, as a fraction of the
        slots in use.
    """

    lending_enabled: bool = True
    renewal_enabled: bool = True
    demand_time_constant_s: float = 8.0
    unmet_time_constant_s: float = 0.2
    horizon_s: float = 0.2
    borrow_below: float = 0.9
    borrow_up_to: float = 1.05
    keep_factor: float = 1.0
    low_tokens_s: float = 0.05
    tokens_per_peer: float = 2.0
    token_loan_s: float = 0.25
    returns_empty_loans: bool = True
    renew_fraction: float = 0.5
    refusal_backoff_s: float = 0.06
    max_refusal_backoff_s: float = 0.8
    unanswered_backoff_s: float = 0.5
    idle_slot_s: float = 1.0
    slot_headroom: float = 0.1

    def min_tokens(self, rate: float, unmet: float) -> float:
        """Return the number of tokens below which the host borrows more."""
        threshold = rate * self.low_tokens_s + unmet
        return threshold if threshold > NEGLIGIBLE / 10 else 0.0


#: Demand, capacity (tokens) and fractions of a share below this count as
#: none.
NEGLIGIBLE = 0.05
DEFAULT_POLICY = Policy()


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a host lacks of a total.

    :param amount: rate per second, or a number of slots.
    """

    amount: float = 0.0
    tokens: float = 0.0

    def __bool__(self) -> bool:
        """Return whether anything is lacking."""
        return self.amount > 0 or self.tokens > 0


NO_NEED = Need()


def split_need(need: Need, peer_count: int) -> Need:
    """Return the part of a need to request from each of several peers.

    At least one token is requested from each, because a waiting request
    cannot run on less.
    """
    tokens = max(1.0, need.tokens / peer_count) if need.tokens else 0.0
    return Need(need.amount / peer_count, tokens)


def is_negligible(share: Share, owned: Share) -> bool:
    """Return whether a loan is too small to be worth a message."""
    if share.amount > owned.amount * NEGLIGIBLE:
        return False
    return share.capacity < NEGLIGIBLE
