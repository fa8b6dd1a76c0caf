"""How much a host keeps, lends and asks for.

Everything here only decides how well shares follow demand. No value can
make the hosts exceed a total.
"""

import dataclasses

from egretmill.shares.bucket import Share

__all__ = ('DEFAULT', 'NO_NEED', 'Need', 'Policy', 'slight', 'split')


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Constants of borrowing and lending; times in seconds.

    :param lends: whether loans are made at all.
    :param renews: whether loans are renewed before they end.
    :param demand_s: arrivals count in the demand estimate this long.
    :param unmet_s: refused demand counts this long.
    :param horizon_s: tokens are held for the demand of this time.
    :param ask_below: more rate is asked for below demand times this.
    :param ask_up_to: and so much that demand times this is covered.
    :param keep: a lender keeps its own demand times this.
    :param low_s: tokens are asked for when they do not cover this time.
    :param tokens_per_peer: so many tokens are asked of one peer.
    :param tokens_s: a loan of tokens alone lasts this long. It must cover
        the way between regions; the lender misses the capacity meanwhile.
    :param returns_tokens: the capacity of such a loan is given back as soon
        as it holds no tokens.
    :param renew_part: a loan is renewed in the last part of its life.
    :param refused_s: first wait after a peer had nothing to spare.
    :param refused_most_s: longest wait after repeated refusals.
    :param unanswered_s: wait after an unanswered question.
    :param idle_s: a borrowed slot is given back after this time unused.
    :param slots_ahead: part of the slots in use that is asked for ahead.
    """

    lends: bool = True
    renews: bool = True
    demand_s: float = 8.0
    unmet_s: float = 0.2
    horizon_s: float = 0.2
    ask_below: float = 0.9
    ask_up_to: float = 1.05
    keep: float = 1.0
    low_s: float = 0.05
    tokens_per_peer: float = 2.0
    tokens_s: float = 0.25
    returns_tokens: bool = True
    renew_part: float = 0.5
    refused_s: float = 0.06
    refused_most_s: float = 0.8
    unanswered_s: float = 0.5
    idle_s: float = 1.0
    slots_ahead: float = 0.1

    def tokens_low(self, rate: float, unmet: float) -> float:
        """Return below how many tokens peers are asked for more."""
        low = rate * self.low_s + unmet
        return low if low > SLIGHT / 10 else 0.0


#: Demand below this many tokens per horizon is over.
SLIGHT = 0.05
DEFAULT = Policy()


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a host misses of a total: rate or slots, and tokens."""

    amount: float = 0.0
    tokens: float = 0.0

    def __bool__(self) -> bool:
        """Tell whether anything is missing."""
        return self.amount > 0 or self.tokens > 0


NO_NEED = Need()


def split(need: Need, askable: int) -> Need:
    """Return the part of a need to ask of each of several peers.

    Less than one token per peer would not let a waiting request run.
    """
    tokens = max(1.0, need.tokens / askable) if need.tokens else 0.0
    return Need(need.amount / askable, tokens)


def slight(share: Share, owned: Share) -> bool:
    """Tell whether a loan is too small to be worth a message."""
    if share.amount > owned.amount * SLIGHT:
        return False
    return share.capacity < SLIGHT
