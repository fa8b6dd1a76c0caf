"""Division of a total into the shares that the share slots own.

All functions are pure, so hosts with the same document and upstream list
agree without exchanging messages. The sum over all slots never exceeds the
total.
"""

from collections.abc import Sequence

import xxhash

from egretmill.quota.totals import ConcurrencyTotal, RateTotal, Totals
from egretmill.shares.bucket import EMPTY_SHARE, Share

__all__ = ('divide_rate', 'divide_slots', 'owned_share')

#: Tenths of a concurrency total that the site's own failure domain owns.
LOCAL_TENTHS = 6


def owned_share(totals: Totals, name: str, index: int) -> Share:
    """Return the share of a total that the share slot ``index`` owns."""
    match totals.find(name):
        case RateTotal() as rate:
            return divide_rate(rate, name, totals.owners(name), index)
        case ConcurrencyTotal() as slots:
            owners = totals.owners(name)
            local_owners = totals.local_slots(name)
            return divide_slots(slots, name, owners, local_owners, index)
    return EMPTY_SHARE


def divide_rate(
    total: RateTotal,
    name: str,
    owners: Sequence[int],
    index: int,
) -> Share:
    """Return the share of a rate total that one share slot owns.

    The burst is divided in whole tokens, and the rate in proportion to
    them. A host with less than one token of burst could never admit a
    request. A burst of fewer tokens than there are owners therefore goes to
    that many of them, chosen by a hash of the name.
    """
    if index not in owners:
        return EMPTY_SHARE
    rank = _order_by_hash(name, owners).index(index)
    tokens, remainder = divmod(total.burst, len(owners))
    tokens += int(rank < remainder)
    return Share(total.rate_per_s * tokens / total.burst, float(tokens))


def divide_slots(
    total: ConcurrencyTotal,
    name: str,
    owners: Sequence[int],
    local_owners: Sequence[int],
    index: int,
) -> Share:
    """Return the share of a concurrency total that one share slot owns.

    The share slots in the site's own failure domain own 60% together. Each
    slot that is added to the total goes to one owner, and no owner loses
    one. Hosts with different upstream lists therefore never own more
    together than the larger list allows.
    """
    remote_owners = [slot for slot in owners if slot not in local_owners]
    local_size = -(-total.slots * LOCAL_TENTHS // 10) if local_owners else 0
    if not remote_owners:
        local_size = total.slots
    group, size = local_owners, local_size
    if index in remote_owners:
        group, size = remote_owners, total.slots - local_size
    if index not in group:
        return EMPTY_SHARE
    rank = _order_by_hash(name, group).index(index)
    slots, remainder = divmod(size, len(group))
    return Share(float(slots + int(rank < remainder)))


def _order_by_hash(name: str, owners: Sequence[int]) -> list[int]:
    digests = {
        slot: xxhash.xxh3_64_intdigest(f'{name}/{slot}'.encode())
        for slot in owners
    }
    return sorted(owners, key=lambda slot: (digests[slot], slot))
