"""How much of a rate total to keep, lend and ask for."""

import dataclasses

from egretmill.quota.division import Share
from egretmill.quota.policy import Need, Policy

__all__ = ('RateView',)


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
        """Return how many tokens to lend."""
        kept = self.policy.tokens_wanted(self.rate, self.unmet)
        spare = min(self._free_capacity, self.tokens - kept)
        return max(0.0, min(asked, spare))

    def spare_share(self, old: Share, asked: float, tokens: float) -> Share:
        """Return to which share a loan of ``old`` may change.

        The capacity covers the tokens; beyond that it follows the rate.
        """
        needed = self.rate * self.policy.keep
        kept = max(0.0, needed - self.borrowed.amount)
        free = self.owned.amount - self.lent.amount
        amount = max(0.0, min(asked, old.amount + free - kept))
        in_proportion = 0.0
        if self.owned.amount:
            in_proportion = self.owned.capacity * amount / self.owned.amount
        wanted = self.policy.tokens_wanted(needed, self.unmet)
        more = min(in_proportion - old.capacity, self._free_capacity - wanted)
        capacity = old.capacity + max(tokens, more)
        return Share(amount, max(0.0, capacity))

    def need(self) -> Need:
        """Return what to ask peers for."""
        missing = 0.0
        if self.level.amount < self.rate * self.policy.ask_below:
            missing = self.rate * self.policy.ask_up_to - self.level.amount
        wanted = self.policy.tokens_wanted(self.rate, self.unmet)
        short = 0.0
        if self.tokens < wanted * self.policy.tokens_low:
            short = wanted - self.tokens
        return Need(missing, short)

    def can_do_without(self, share: Share) -> bool:
        """Tell whether a borrowed share is no longer needed."""
        rate = self.rate * self.policy.ask_up_to
        return self.level.amount - share.amount > rate

    @property
    def _free_capacity(self) -> float:
        return self.owned.capacity - self.lent.capacity
