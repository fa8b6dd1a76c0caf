"""Hashed placement of callers on entry hosts.

Two steps: a caller is given a failure domain, then an order of the hosts in
it. The domain is the caller's own as far as the hosts there can carry its
callers. Each host carries at most ``LOAD_FACTOR`` times its fair share, and
the callers above that are moved to the caller's region and then elsewhere.
Within a domain, hosts are ranked by weighted rendezvous hashing, so only
the callers of a lost host move, and they spread over all others.
"""

import dataclasses
import math
from array import array
from collections.abc import Mapping, Sequence

import xxhash

__all__ = ('LOAD_FACTOR', 'Candidate', 'Placement', 'caller_hash')

# Bound on the load of a host in units of the fair share, as customary for
# consistent hashing with bounded loads: a lower bound moves more callers
# out of their domain, a higher one loads the neighbour of a lost host more.
LOAD_FACTOR = 1.25
# Callers are ranked in buckets, so that a ranking is worked out once. With
# 87 hosts in a domain a host gets about 188 buckets, give or take 14.
BUCKETS = 16384
RANKED_HOSTS = 4
NOT_RANKED = 65535
POINT_BITS = 32
HASH_LIMIT = 1 << 64


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry host that can be given to callers."""

    name: str
    failure_domain: str
    weight: float = 1.0


def caller_hash(caller: str) -> int:
    """Return the 64-bit hash by which a caller is placed."""
    return xxhash.xxh3_64_intdigest(caller.encode())


class Placement:
    """Placement of callers for one set of usable hosts; immutable.

    :param candidates: the usable hosts.
    :param regions: region by failure domain, for all domains.
    :param demand: relative number of callers by failure domain; equal for
        all domains when empty.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],
        regions: Mapping[str, str],
        demand: Mapping[str, float],
    ) -> None:
        """Divide the callers of each domain over the domains with hosts."""
        self.candidates = tuple(candidates)
        self.regions = regions
        self.members: dict[str, list[int]] = {}
        for index, candidate in enumerate(candidates):
            self.members.setdefault(candidate.failure_domain, []).append(index)
        self.ranks = {
            domain: array('H', [NOT_RANKED]) * (BUCKETS * RANKED_HOSTS)
            for domain in self.members
        }
        self.shares = divide(self.weights(), regions, demand)
        self.orders: dict[tuple[str, str], tuple[str, ...]] = {}

    def weights(self) -> dict[str, float]:
        """Return the sum of weights by failure domain."""
        return {
            domain: sum(self.candidates[index].weight for index in members)
            for domain, members in self.members.items()
        }

    def domains(self, own: str, hashed: int) -> tuple[str, ...]:
        """Return the domains for a caller, the assigned one first.

        :param own: the caller's failure domain, empty when unknown; then
            callers are divided over all hosts.
        """
        point = (hashed >> POINT_BITS) / (1 << POINT_BITS)
        shares = self.shares.get(own) or self.shares['']
        assigned = shares[-1][1]
        for limit, domain in shares:
            if point < limit:
                assigned = domain
                break
        return self.order(own, assigned)

    def order(self, own: str, assigned: str) -> tuple[str, ...]:
        """Return all domains: assigned, own, same region, others."""
        found = self.orders.get((own, assigned))
        if found is None:
            base = own or assigned
            found = tuple(
                sorted(
                    self.members,
                    key=lambda domain: (
                        domain != assigned,
                        domain != base,
                        self.regions.get(domain) != self.regions.get(base),
                        xxhash.xxh3_64_intdigest(f'{base}/{domain}'.encode()),
                    ),
                ),
            )
            self.orders[own, assigned] = found
        return found

    def hosts(self, domain: str, hashed: int) -> array:
        """Return indices of the best hosts of a domain, best first."""
        bucket = hashed % BUCKETS
        ranks = self.ranks[domain]
        first = bucket * RANKED_HOSTS
        if ranks[first] == NOT_RANKED:
            best = self.rank(domain, bucket)
            ranks[first : first + len(best)] = array('H', best)
        count = min(len(self.members[domain]), RANKED_HOSTS)
        return ranks[first : first + count]

    def rank(self, domain: str, bucket: int) -> list[int]:
        """Rank the hosts of a domain by weighted rendezvous hashing."""
        scored = sorted(
            (
                score(self.candidates[index], bucket)
                for index in self.members[domain]
            ),
            reverse=True,
        )
        position = {
            self.candidates[index].name: index for index in self.members[domain]
        }
        return [position[name] for _, name in scored[:RANKED_HOSTS]]


def score(candidate: Candidate, bucket: int) -> tuple[float, str]:
    """Return the rendezvous score of a host for a bucket.

    ``-weight / log(u)`` with u uniform in (0, 1) makes the chance to be
    the best proportional to the weight.
    """
    hashed = xxhash.xxh3_64_intdigest(candidate.name.encode(), seed=bucket)
    uniform = (hashed + 1) / (HASH_LIMIT + 1)
    return -candidate.weight / math.log(min(uniform, 1 - 1e-16)), candidate.name


#: Upper limits of the points of callers, with the domain up to there.
Shares = tuple[tuple[float, str], ...]


def divide(
    weights: Mapping[str, float],
    regions: Mapping[str, str],
    demand: Mapping[str, float],
) -> dict[str, Shares]:
    """Divide the callers of each domain over the domains with hosts.

    The key '' holds the division of callers of unknown domain.
    """
    domains = sorted(regions.keys() | weights.keys())
    left = {domain: demand.get(domain, 0) for domain in domains}
    if not any(left.values()):
        left = dict.fromkeys(domains, 1.0)
    scale = LOAD_FACTOR * sum(left.values()) / sum(weights.values())
    spare = {domain: scale * weights.get(domain, 0) for domain in domains}
    division = Division(spare, left, {name: [] for name in domains})
    for domain in domains:
        division.take(domain, [domain])
    for domain in domains:
        division.take(domain, same_region(domain, domains, regions))
    for domain in domains:
        division.take(domain, domains)
    divided = {name: cumulate(part) for name, part in division.parts.items()}
    divided[''] = cumulate(sorted(weights.items()))
    return divided


def same_region(
    domain: str,
    domains: Sequence[str],
    regions: Mapping[str, str],
) -> list[str]:
    """Return the domains of the region of one of them."""
    region = regions.get(domain)
    return [name for name in domains if regions.get(name) == region]


@dataclasses.dataclass(slots=True)
class Division:
    """Callers not divided yet, room left, and parts given so far."""

    spare: dict[str, float]
    left: dict[str, float]
    parts: dict[str, list[tuple[str, float]]]

    def take(self, domain: str, others: Sequence[str]) -> None:
        """Give callers of a domain to others in proportion to their room."""
        room = sum(self.spare[other] for other in others)
        if room <= 0 or self.left[domain] <= 0:
            return
        moved = min(self.left[domain], room)
        self.left[domain] -= moved
        for other in others:
            amount = moved * self.spare[other] / room
            if amount > 0:
                self.spare[other] -= amount
                self.parts[domain].append((other, amount))


def cumulate(parts: Sequence[tuple[str, float]]) -> Shares:
    """Return the upper limit of each part in a total of 1."""
    total = sum(amount for _, amount in parts)
    shares = []
    limit = 0.0
    for domain, amount in parts:
        limit += amount / total
        shares.append((limit, domain))
    return tuple(shares)
