"""Weighted rendezvous hashing: the order of upstreams for an object."""

import math
from collections.abc import Iterable

import xxhash

from egretmill.fleet.upstreams import Upstream

__all__ = ('rendezvous_order',)

HASH_RANGE = 1 << 64


def rendezvous_order(
    object_key: str,
    upstreams: Iterable[Upstream],
) -> tuple[Upstream, ...]:
    """Sort upstreams by their weighted rendezvous score, the highest first.

    Hosts that know the same upstreams compute the same order without
    coordination, and adding or removing an upstream moves only its own
    objects. The weight is the number of slots.
    """
    object_hash = xxhash.xxh3_64_intdigest(object_key.encode())
    scored = [
        (_score(upstream, object_hash), upstream.name, upstream)
        for upstream in upstreams
    ]
    scored.sort(key=_sort_key)
    return tuple(upstream for _, _, upstream in scored)


def _score(upstream: Upstream, object_hash: int) -> float:
    digest = xxhash.xxh3_64_intdigest(upstream.name.encode(), seed=object_hash)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return max(upstream.slots, 1) / -math.log(uniform)


def _sort_key(scored: tuple[float, str, Upstream]) -> tuple[float, str]:
    return (-scored[0], scored[1])
