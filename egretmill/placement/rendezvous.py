"""Weighted rendezvous hashing: the order of upstreams for an object."""

import math
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from egretmill.fleet.upstreams import Upstream

__all__ = ('order_from_home', 'rendezvous_order')

HASH_RANGE = 1 << 64


def rendezvous_order(
    object_key: str,
    upstreams: Iterable[Upstream],
    weight_by_region: Mapping[str, float] | None = None,
) -> tuple[Upstream, ...]:
    """Sort upstreams by their weighted rendezvous score, the highest first.

    Hosts that know the same upstreams compute the same order without
    coordination, and adding or removing an upstream moves only its own
    objects. The weight is the number of slots.

    :param weight_by_region: factors on the weight, 1 by default.
    """
    factors = weight_by_region or {}
    object_hash = xxhash.xxh3_64_intdigest(object_key.encode())
    scored = [
        (
            _score(upstream, object_hash) * factors.get(upstream.region, 1),
            upstream.name,
            upstream,
        )
        for upstream in upstreams
    ]
    scored.sort(key=_sort_key)
    return tuple(upstream for _, _, upstream in scored)


def order_from_home(
    object_key: str,
    upstreams: Sequence[Upstream],
    weight_by_region: Mapping[str, float],
) -> tuple[Upstream, ...]:
    """Sort upstreams: the weighted first one, then the others without weights.

    The regions' weights decide where an object usually runs. What a busy
    upstream cannot take goes to the same upstreams from all regions.
    """
    if not upstreams:
        return ()
    home = rendezvous_order(object_key, upstreams, weight_by_region)[0]
    others = rendezvous_order(object_key, upstreams)
    return (home, *(upstream for upstream in others if upstream is not home))


def _score(upstream: Upstream, object_hash: int) -> float:
    digest = xxhash.xxh3_64_intdigest(upstream.name.encode(), seed=object_hash)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return max(upstream.slots, 1) / -math.log(uniform)


def _sort_key(scored: tuple[float, str, Upstream]) -> tuple[float, str]:
    return (-scored[0], scored[1])
