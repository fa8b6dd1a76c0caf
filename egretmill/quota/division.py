"""Division of a total into the owned shares of the share slots.

All functions are pure, so hosts that know the same document and upstream
list agree without a message. The sum over all slots never exceeds the
total.
"""

from collections.abc import Sequence

import xxhash

from egretmill.quota.totals import ConcurrencyTotal, RateTotal, Totals
from egretmill.shares.bucket import NOTHING, Share

__all__ = ('divide_rate', 'divide_slots', 'owned_share')

#: Tenths of a concurrency total that the site's own failure domain owns.
LOCAL_TENTHS = 6


def owned_share(totals: Totals, name: str, index: int) -> Share:
    """Return what the share slot ``index`` owns of a total."""
    match totals.find(name):
        case RateTotal() as rate:
            return divide_rate(rate, name, totals.owners(name), index)
        case ConcurrencyTotal() as slots:
            everyone = totals.owners(name)
            local = totals.local_slots(name)
            return divide_slots(slots, name, everyone, local, index)
    return NOTHING


def divide_rate(
    total: RateTotal,
    name: str,
    owners: Sequence[int],
    index: int,
) -> Share:
    """Divide the burst in whole tokens and the rate in proportion to them.

    A host with less than one token of burst could never admit a request,
    so a burst below the number of slots goes to as many slots, and the
    name decides which.
    """
    if index not in owners:
        return NOTHING
    place = _hash_order(name, owners).index(index)
    tokens, left_over = divmod(total.burst, len(owners))
    tokens += int(place < left_over)
    return Share(total.rate_per_s * tokens / total.burst, float(tokens))


def divide_slots(
    total: ConcurrencyTotal,
    name: str,
    everyone: Sequence[int],
    local: Sequence[int],
    index: int,
) -> Share:
    """Divide slots so that the site's own failure domain owns 60%.

    Each further slot of a growing total goes to one owner and no owner
    loses one. Hosts whose upstream lists differ therefore never own more
    than the larger list allows.
    """
    remote = [slot for slot in everyone if slot not in local]
    to_local = -(-total.slots * LOCAL_TENTHS // 10) if local else 0
    if not remote:
        to_local = total.slots
    group, size = local, to_local
    if index in remote:
        group, size = remote, total.slots - to_local
    if index not in group:
        return NOTHING
    place = _hash_order(name, group).index(index)
    slots, left_over = divmod(size, len(group))
    return Share(float(slots + int(place < left_over)))


def _hash_order(name: str, owners: Sequence[int]) -> list[int]:
    digests = {
        slot: xxhash.xxh3_64_intdigest(f'{name}/{slot}'.encode())
        for slot in owners
    }
    return sorted(owners, key=lambda slot: (digests[slot], slot))
