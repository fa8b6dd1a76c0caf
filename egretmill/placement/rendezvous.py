"""Weighted rendezvous hashing: the order of upstreams for an object."""

import math
from collections.abc import Iterable, Mapping

import xxhash

from egretmill.fleet.upstreams import Upstream

__all__ = ('rendezvous_order',)

HASH_RANGE = 1 << 64


def rendezvous_order(
    object_key: str,
    upstreams: Iterable[Upstream],
    home_weights: Mapping[str, float] | None = None,
) -> tuple[Upstream, ...]:
    """Sort upstreams by their weighted rendezvous score, the highest first.

    Hosts that know the same upstreams compute the same order without
    coordination, and adding or removing an upstream moves only its own
    objects. The weight is the number of slots.

    The weights of regions decide only which upstream comes first, that is
    where an object usually runs. What a busy one cannot take goes to the same
    upstreams from all regions.

    :param home_weights: factors on the weight by region, 1 by default.
    """
    factors = home_weights or {}
    object_hash = xxhash.xxh3_64_intdigest(object_key.encode())
    scored = [
        (_score(upstream, object_hash), upstream.name, upstream)
        for upstream in upstreams
    ]
    scored.sort(key=_sort_key)
    ordered = [upstream for _, _, upstream in scored]
    if not factors or not ordered:
        return tuple(ordered)
    _, home = max(
        (score * factors.get(upstream.region, 1), -rank)
        for rank, (score, _, upstream) in enumerate(scored)
    )
    ordered.insert(0, ordered.pop(-home))
    return tuple(ordered)


def _score(upstream: Upstream, object_hash: int) -> float:
    digest = xxhash.xxh3_64_intdigest(upstream.name.encode(), seed=object_hash)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return max(upstream.slots, 1) / -math.log(uniform)


def _sort_key(scored: tuple[float, str, Upstream]) -> tuple[float, str]:
    return (-scored[0], scored[1])
