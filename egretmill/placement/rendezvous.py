"""Order of upstreams for an object, the same on every host."""

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

    Hosts that know the same upstreams send an object to the same one
    without a message, and a change of one upstream moves only its part of
    the objects. The weight is the number of slots.
    """
    seed = xxhash.xxh3_64_intdigest(object_key.encode())
    scored = [
        (_score(upstream, seed), upstream.name, upstream)
        for upstream in upstreams
    ]
    scored.sort(key=_rank)
    return tuple(upstream for _, _, upstream in scored)


def _score(upstream: Upstream, seed: int) -> float:
    digest = xxhash.xxh3_64_intdigest(upstream.name.encode(), seed=seed)
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return max(upstream.slots, 1) / -math.log(uniform)


def _rank(scored: tuple[float, str, Upstream]) -> tuple[float, str]:
    return (-scored[0], scored[1])
