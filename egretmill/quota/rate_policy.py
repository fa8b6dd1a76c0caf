"""Decisions on how much of a rate total to keep, lend and borrow."""

import dataclasses
import math

from egretmill.quota.policy import NEGLIGIBLE, Need, Policy
from egretmill.shares.bucket import Share

__all__ = ('RateSnapshot',)

#: Added before ``floor`` to round to the nearest whole token.
ROUNDING_OFFSET = 0.5
#: Sums of floats may fall short of a whole token by less than this.
FLOAT_TOLERANCE = 1e-6
#: Below this burst per host, some hosts own at most one token.
SMALL_BURST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RateSnapshot:
    """State of a rate total on one host, and the decisions based on it.

    :param limit: rate and capacity in use: owned less lent plus borrowed.
    :param tokens: tokens in the bucket.
    :param rate: estimated demand per second.
    :param unmet: tokens that refused requests are waiting for.
    """

    policy: Policy
    owned: Share
    lent: Share
    borrowed: Share
    limit: Share
    tokens: float
    rate: float
    unmet: float

    def lendable_tokens(self, asked: float) -> float:
        """Return how many tokens to lend.

        Only whole tokens are lent, because a fraction serves no request. At
        most about half of the tokens is kept for expected demand, so that
        neither side needs to borrow again soon. Where each host holds only
        a fraction of a token, fractions are lent: a request is served by
        the fractions of several hosts.
        """
        expected = self.rate * self.policy.horizon_s
        kept = self.unmet + min(expected, self.tokens / 2)
        if self.has_small_burst:
            spare = min(self.tokens - self.unmet, self._free_capacity)
            return max(0.0, min(asked, spare))
        spare = math.floor(self.tokens - kept + ROUNDING_OFFSET)
        lendable = min(
            spare, self.tokens, self._free_capacity, math.ceil(asked)
        )
        return float(max(0, math.floor(lendable)))

    def lendable_share(self, old: Share, asked: float, tokens: float) -> Share:
        """Return the share that a loan with the share ``old`` may become.

        The capacity covers the lent tokens; beyond that it is proportional
        to the rate, in whole tokens. Where hosts own at most one token, no
        rate is lent without a token of capacity, as it could not be used.
        """
        needed = self.rate * self.policy.keep_factor
        kept = max(0.0, needed - self.borrowed.amount)
        free_amount = self.owned.amount - self.lent.amount
        amount = max(0.0, min(asked, old.amount + free_amount - kept))
        proportional_capacity = 0
        if self.owned.amount:
            fraction = amount / self.owned.amount
            proportional_capacity = math.floor(
                self.owned.capacity * fraction + FLOAT_TOLERANCE
            )
        wanted = math.ceil(self.unmet + needed * self.policy.horizon_s)
        added_capacity = min(
            proportional_capacity - old.capacity, self._free_capacity - wanted
        )
        if tokens:
            added_capacity = max(tokens, added_capacity)
        capacity = max(0.0, old.capacity + added_capacity)
        if capacity < 1 and self.has_small_burst:
            amount = 0.0
        return Share(amount, capacity)

    def compute_need(self) -> Need:
        """Return what to borrow from peers."""
        missing_rate = 0.0
        if self.limit.amount < self.rate * self.policy.borrow_below:
            missing_rate = (
                self.rate * self.policy.borrow_up_to - self.limit.amount
            )
        wanted = 1 + self.rate * self.policy.horizon_s / 3 + self.unmet
        if self.has_small_burst:
            wanted = math.ceil(self.unmet)
        missing_tokens = 0.0
        if self.tokens < self.policy.min_tokens(self.rate, self.unmet):
            missing_tokens = wanted - self.tokens
        if self.has_small_burst:
            # Rate is useless here while the token of capacity that it
            # refills is at another host.
            return Need(0.0, missing_tokens if self.unmet > NEGLIGIBLE else 0.0)
        return Need(missing_rate, missing_tokens)

    def can_return(self, share: Share) -> bool:
        """Return whether the rest covers the demand without this share."""
        rate = self.rate * self.policy.borrow_up_to
        return self.limit.amount - share.amount > rate

    @property
    def has_small_burst(self) -> bool:
        """Return whether hosts own at most one token of the total each."""
        return self.owned.capacity < SMALL_BURST

    @property
    def _free_capacity(self) -> float:
        return self.owned.capacity - self.lent.capacity
