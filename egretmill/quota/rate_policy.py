"""How much of a rate total to keep, lend and ask for."""

import dataclasses
import math

from egretmill.shares.bucket import Share
from egretmill.quota.policy import SLIGHT, Need, Policy

__all__ = ('RateView',)

HALF = 0.5
ROUNDING = 1e-6
#: Below this burst per host, some hosts own at most one token.
FEW_TOKENS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RateView:
    """What a decision about a rate total depends on.

    :param level: what can be used now, with loans.
    :param rate: estimated demand per second.
    :param unmet: tokens that refused requests wait for.
    """

    policy: Policy
    owned: Share
    lent: Share
    borrowed: Share
    level: Share
    tokens: float
    rate: float
    unmet: float

    def spare_tokens(self, asked: float) -> float:
        """Return how many tokens to lend, in whole tokens.

        A part of a token serves no request. Sharing evenly keeps the next
        question away from both sides. Where all hosts hold parts of tokens,
        a request is served by parts from several of them.
        """
        expected = self.rate * self.policy.horizon_s
        kept = self.unmet + min(expected, self.tokens / 2)
        if self.is_small:
            spare = min(self.tokens - self.unmet, self._free_capacity)
            return max(0.0, min(asked, spare))
        spare = math.floor(self.tokens - kept + HALF)
        most = min(spare, self.tokens, self._free_capacity, math.ceil(asked))
        return float(max(0, math.floor(most)))

    def spare_share(self, old: Share, asked: float, tokens: float) -> Share:
        """Return to which share a loan of ``old`` may change.

        The capacity covers the tokens; beyond that it follows the rate, in
        whole tokens. Where hosts own a single token or none, rate without a
        token of capacity would be lost.
        """
        needed = self.rate * self.policy.keep
        kept = max(0.0, needed - self.borrowed.amount)
        free = self.owned.amount - self.lent.amount
        amount = max(0.0, min(asked, old.amount + free - kept))
        in_proportion = 0
        if self.owned.amount:
            part = amount / self.owned.amount
            in_proportion = math.floor(self.owned.capacity * part + ROUNDING)
        wanted = math.ceil(self.unmet + needed * self.policy.horizon_s)
        more = min(in_proportion - old.capacity, self._free_capacity - wanted)
        if tokens:
            more = max(tokens, more)
        capacity = max(0.0, old.capacity + more)
        if capacity < 1 and self.is_small:
            amount = 0.0
        return Share(amount, capacity)

    def need(self) -> Need:
        """Return what to ask peers for."""
        missing = 0.0
        if self.level.amount < self.rate * self.policy.ask_below:
            missing = self.rate * self.policy.ask_up_to - self.level.amount
        wanted = 1 + self.rate * self.policy.horizon_s / 3 + self.unmet
        if self.is_small:
            wanted = math.ceil(self.unmet)
        short = 0.0
        if self.tokens < self.policy.tokens_low(self.rate, self.unmet):
            short = wanted - self.tokens
        if self.is_small:
            # The rate of a token that lies elsewhere serves nobody here.
            return Need(0.0, short if self.unmet > SLIGHT else 0.0)
        return Need(missing, short)

    def can_do_without(self, share: Share) -> bool:
        """Tell whether a borrowed share is no longer needed."""
        rate = self.rate * self.policy.ask_up_to
        return self.level.amount - share.amount > rate

    @property
    def is_small(self) -> bool:
        """Tell whether hosts own few tokens of the total, or none."""
        return self.owned.capacity < FEW_TOKENS

    @property
    def _free_capacity(self) -> float:
        return self.owned.capacity - self.lent.capacity
