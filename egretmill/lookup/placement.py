"""Placement of callers on entry hosts by hashing.

A caller is first assigned a failure domain, then a ranking of the hosts in
it. The domain is the caller's own while the hosts there have capacity for
it: a host carries at most ``LOAD_FACTOR`` times its fair share, and callers
above that are moved to other domains of their region, then to any domain.
Within a domain, hosts are ranked by weighted rendezvous hashing, so only
the callers of a lost host move, and they spread over all others.
"""

import dataclasses
import math
from array import array
from collections.abc import Mapping, Sequence

import xxhash

__all__ = (
    'LOAD_FACTOR',
    'MAX_HOSTS',
    'NO_CANDIDATE',
    'Candidate',
    'Placement',
    'caller_bucket',
)

# Bound on the load of a host as a multiple of its fair share, as usual for
# consistent hashing with bounded loads: a lower bound moves more callers
# out of their domain, a higher one loads the neighbour of a lost host more.
LOAD_FACTOR = 1.25
# Callers are hashed into buckets, so that a choice is computed once per
# bucket. With 87 hosts in a domain, a host gets about 94 +- 10 buckets.
BUCKETS = 8192
#: Hosts in an answer. At most four are of the assigned domain and two of
#: each other one, so that the answer survives the loss of a region.
MAX_HOSTS = 8
HOSTS_OF_FIRST_DOMAIN = 4
HOSTS_OF_OTHER_DOMAIN = 2
#: Marks buckets without a cached choice and the unused end of a choice.
NO_CANDIDATE = 65535
# Above every hash plus one, so that no logarithm is 0.
HASH_LIMIT = (1 << 64) * (1 + 1e-15)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry host on which callers can be placed."""

    name: str
    failure_domain: str
    weight: float = 1.0


def caller_bucket(caller: str) -> int:
    """Return the bucket into which a caller is hashed."""
    return xxhash.xxh3_64_intdigest(caller.encode()) % BUCKETS


class Ranking:
    """Hosts of one failure domain, ranked per bucket on first use."""

    def __init__(self, members: tuple[Candidate, ...]) -> None:
        """Start with an empty cache of rankings."""
        self.members = members
        self.hash_keys = [member.name.encode() for member in members]
        self.same_weight = len({member.weight for member in members}) == 1
        self.hosts_per_bucket = min(len(members), HOSTS_OF_FIRST_DOMAIN)
        self.cached_ranks = array('H', [NO_CANDIDATE]) * (
            BUCKETS * self.hosts_per_bucket
        )

    def top_members(self, bucket: int) -> array:
        """Return indices of the highest-ranked members, best first."""
        first = bucket * self.hosts_per_bucket
        cached = self.cached_ranks[first : first + self.hosts_per_bucket]
        if cached[0] == NO_CANDIDATE:
            cached = array('H', self.rank_members(bucket))
            self.cached_ranks[first : first + self.hosts_per_bucket] = cached
        return cached

    def rank_members(self, bucket: int) -> list[int]:
        """Rank the members by weighted rendezvous hashing."""
        if len(self.members) == 1:
            return [0]
        hashes = [
            xxhash.xxh3_64_intdigest(key, bucket) for key in self.hash_keys
        ]
        scores = hashes if self.same_weight else self.weighted_scores(hashes)
        order = sorted(
            range(len(scores)),
            key=scores.__getitem__,
            reverse=True,
        )
        return order[: self.hosts_per_bucket]

    def weighted_scores(self, hashes: Sequence[int]) -> list[float]:
        """Return the scores of members with different weights.

        With u uniform in (0, 1), the member with the highest
        ``-weight / log(u)`` is chosen with a probability proportional to its
        weight. The score rises with u, so equal weights need no logarithm.
        """
        return [
            -member.weight / math.log((hashed + 1) / HASH_LIMIT)
            for member, hashed in zip(self.members, hashes, strict=True)
        ]


class Placement:
    """Placement of callers for one set of usable hosts.

    :param candidates: the usable hosts.
    :param regions: region by failure domain, for all domains.
    :param demand: relative number of callers by failure domain; equal for
        all domains when empty.
    :param previous: a placement whose rankings are reused for the domains
        that have the same hosts.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],
        regions: Mapping[str, str],
        demand: Mapping[str, float],
        previous: 'Placement | None' = None,
    ) -> None:
        """Assign the callers of each domain to domains with hosts."""
        self.regions = regions
        self.indices_by_domain = group_by_domain(candidates)
        previous_rankings = previous.rankings if previous else {}
        self.rankings: dict[str, Ranking] = {}
        for domain, indices in self.indices_by_domain.items():
            hosts = tuple(candidates[position] for position in indices)
            ranking = previous_rankings.get(domain)
            if ranking is None or ranking.members != hosts:
                ranking = Ranking(hosts)
            self.rankings[domain] = ranking
        self.domain_shares = divide_callers(
            self.weight_by_domain(), regions, demand
        )
        self.domain_orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self.hosts_per_bucket = min(len(candidates), MAX_HOSTS)
        self.choices: dict[str, array] = {}

    def choose(self, own_domain: str, bucket: int) -> array:
        """Return indices of the candidates for a caller, the best first.

        A shorter choice is padded with ``NO_CANDIDATE``.

        :param own_domain: the caller's failure domain, empty when unknown;
            then callers are spread over all hosts.
        """
        choices = self.choices.get(own_domain)
        if choices is None:
            choices = array('H', [NO_CANDIDATE]) * (
                BUCKETS * self.hosts_per_bucket
            )
            self.choices[own_domain] = choices
        first = bucket * self.hosts_per_bucket
        choice = choices[first : first + self.hosts_per_bucket]
        if choice[0] == NO_CANDIDATE:
            choice = self.select_hosts(own_domain, bucket)
            choices[first : first + self.hosts_per_bucket] = choice
        return choice

    def select_hosts(self, own_domain: str, bucket: int) -> array:
        """Select the highest-ranked hosts of each domain in order."""
        domains = self.domains_for_caller(own_domain, bucket)
        chosen: list[int] = []
        limit = HOSTS_OF_FIRST_DOMAIN
        for domain in domains:
            indices = self.indices_by_domain[domain]
            best = self.rankings[domain].top_members(bucket)[:limit]
            chosen.extend(indices[index] for index in best)
            limit = HOSTS_OF_OTHER_DOMAIN
        filled = chosen[: self.hosts_per_bucket]
        filled.extend(
            NO_CANDIDATE for _ in range(self.hosts_per_bucket - len(filled))
        )
        return array('H', filled)

    def weight_by_domain(self) -> dict[str, float]:
        """Return the total weight of the hosts in each failure domain."""
        return {
            domain: sum(member.weight for member in ranking.members)
            for domain, ranking in self.rankings.items()
        }

    def domains_for_caller(
        self, own_domain: str, bucket: int
    ) -> tuple[str, ...]:
        """Return the domains for a caller, the assigned one first."""
        bucket_position = bucket / BUCKETS
        shares = self.domain_shares.get(own_domain) or self.domain_shares['']
        assigned = shares[-1][1]
        for limit, domain in shares:
            if bucket_position < limit:
                assigned = domain
                break
        return self.order_domains(own_domain, assigned)

    def order_domains(self, own_domain: str, assigned: str) -> tuple[str, ...]:
        """Order all domains: assigned, own, same region, others."""
        order = self.domain_orders.get((own_domain, assigned))
        if order is None:
            base = own_domain or assigned
            order = tuple(
                sorted(
                    self.indices_by_domain,
                    key=lambda domain: (
                        domain != assigned,
                        domain != base,
                        self.regions.get(domain) != self.regions.get(base),
                        hash_text(f'{base}/{domain}'),
                    ),
                ),
            )
            self.domain_orders[own_domain, assigned] = order
        return order


def group_by_domain(candidates: Sequence[Candidate]) -> dict[str, list[int]]:
    """Return the indices of the candidates by failure domain."""
    members: dict[str, list[int]] = {}
    for index, candidate in enumerate(candidates):
        members.setdefault(candidate.failure_domain, []).append(index)
    return members


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


#: Domains with the upper limits of their intervals, which divide 0 to 1.
CumulativeShares = tuple[tuple[float, str], ...]


def divide_callers(
    weights: Mapping[str, float],
    regions: Mapping[str, str],
    demand: Mapping[str, float],
) -> dict[str, CumulativeShares]:
    """Return which shares of each domain's callers go to which domains.

    Callers stay in their own domain while it has capacity, then go to
    domains of its region, then to any. The key '' has the shares for
    callers of unknown domain.
    """
    domains = sorted(regions.keys() | weights.keys())
    unplaced = {domain: demand.get(domain, 0) for domain in domains}
    if not any(unplaced.values()):
        unplaced = dict.fromkeys(domains, 1.0)
    scale = LOAD_FACTOR * sum(unplaced.values()) / sum(weights.values())
    spare_capacity = {
        domain: scale * weights.get(domain, 0) for domain in domains
    }
    division = CallerDivision(
        spare_capacity, unplaced, {name: [] for name in domains}
    )
    for domain in domains:
        division.place_callers(domain, [domain])
    for domain in domains:
        division.place_callers(
            domain, domains_in_same_region(domain, domains, regions)
        )
    for domain in domains:
        division.place_callers(domain, domains)
    divided = {
        name: cumulative_shares(amounts)
        for name, amounts in division.placed.items()
    }
    divided[''] = cumulative_shares(sorted(weights.items()))
    return divided


def domains_in_same_region(
    domain: str,
    domains: Sequence[str],
    regions: Mapping[str, str],
) -> list[str]:
    """Return the domains in the region of a domain."""
    region = regions.get(domain)
    return [name for name in domains if regions.get(name) == region]


@dataclasses.dataclass(slots=True)
class CallerDivision:
    """State of the division: spare capacity, callers unplaced and placed."""

    spare_capacity: dict[str, float]
    unplaced: dict[str, float]
    placed: dict[str, list[tuple[str, float]]]

    def place_callers(self, domain: str, others: Sequence[str]) -> None:
        """Place callers of a domain in proportion to spare capacity."""
        capacity = sum(self.spare_capacity[other] for other in others)
        if capacity <= 0 or self.unplaced[domain] <= 0:
            return
        moved = min(self.unplaced[domain], capacity)
        self.unplaced[domain] -= moved
        for other in others:
            amount = moved * self.spare_capacity[other] / capacity
            if amount > 0:
                self.spare_capacity[other] -= amount
                self.placed[domain].append((other, amount))


def cumulative_shares(amounts: Sequence[tuple[str, float]]) -> CumulativeShares:
    """Return amounts as cumulative fractions of their total."""
    total = sum(amount for _, amount in amounts)
    shares = []
    limit = 0.0
    for domain, amount in amounts:
        limit += amount / total
        shares.append((limit, domain))
    return tuple(shares)
