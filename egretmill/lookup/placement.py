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

__all__ = (
    'LOAD_FACTOR',
    'MAX_HOSTS',
    'UNSET',
    'Candidate',
    'Placement',
    'caller_bucket',
)

# Bound on the load of a host in units of the fair share, as customary for
# consistent hashing with bounded loads: a lower bound moves more callers
# out of their domain, a higher one loads the neighbour of a lost host more.
LOAD_FACTOR = 1.25
# Callers are placed in buckets, so that a choice is worked out once. With
# 87 hosts in a domain a host gets about 94 buckets, give or take 10.
BUCKETS = 8192
#: Hosts named to a caller. At most four are of the first domain and two of
#: each other one, so that the choice survives the loss of a region.
MAX_HOSTS = 8
HOSTS_OF_FIRST_DOMAIN = 4
HOSTS_OF_OTHER_DOMAIN = 2
UNSET = 65535
# Above every hash plus one, so that no logarithm is 0.
HASH_LIMIT = (1 << 64) * (1 + 1e-15)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry host that can be given to callers."""

    name: str
    failure_domain: str
    weight: float = 1.0


def caller_bucket(caller: str) -> int:
    """Return the bucket in which a caller is placed."""
    return xxhash.xxh3_64_intdigest(caller.encode()) % BUCKETS


class Ranking:
    """Hosts of one failure domain, ranked by bucket when asked."""

    def __init__(self, members: tuple[Candidate, ...]) -> None:
        """Rank nothing yet."""
        self.members = members
        self.keys = [member.name.encode() for member in members]
        self.same_weight = len({member.weight for member in members}) == 1
        self.width = min(len(members), HOSTS_OF_FIRST_DOMAIN)
        self.ranks = array('H', [UNSET]) * (BUCKETS * self.width)

    def best(self, bucket: int) -> array:
        """Return indices of the best members, the best one first."""
        first = bucket * self.width
        found = self.ranks[first : first + self.width]
        if found[0] == UNSET:
            found = array('H', self.rank(bucket))
            self.ranks[first : first + self.width] = found
        return found

    def rank(self, bucket: int) -> list[int]:
        """Rank by weighted rendezvous hashing."""
        if len(self.members) == 1:
            return [0]
        hashes = [xxhash.xxh3_64_intdigest(key, bucket) for key in self.keys]
        scores = hashes if self.same_weight else self.weighted(hashes)
        order = sorted(
            range(len(scores)),
            key=scores.__getitem__,
            reverse=True,
        )
        return order[: self.width]

    def weighted(self, hashes: Sequence[int]) -> list[float]:
        """Return the scores of members with weights.

        ``-weight / log(u)`` with u uniform in (0, 1) makes the chance to
        be the best proportional to the weight. It rises with u, so equal
        weights need no logarithm.
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
    :param earlier: a placement whose rankings are used again for the
        domains that have the same hosts.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],
        regions: Mapping[str, str],
        demand: Mapping[str, float],
        earlier: 'Placement | None' = None,
    ) -> None:
        """Divide the callers of each domain over the domains with hosts."""
        self.regions = regions
        self.members = group(candidates)
        known = earlier.rankings if earlier else {}
        self.rankings: dict[str, Ranking] = {}
        for domain, indices in self.members.items():
            hosts = tuple(candidates[position] for position in indices)
            ranking = known.get(domain)
            if ranking is None or ranking.members != hosts:
                ranking = Ranking(hosts)
            self.rankings[domain] = ranking
        self.shares = divide(self.weights(), regions, demand)
        self.orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self.width = min(len(candidates), MAX_HOSTS)
        self.choices: dict[str, array] = {}

    def choose(self, own: str, bucket: int) -> array:
        """Return indices of the candidates for a caller, the best first.

        Fewer than the width of the choice are marked with ``UNSET``.

        :param own: the caller's failure domain, empty when unknown; then
            callers are divided over all hosts.
        """
        choices = self.choices.get(own)
        if choices is None:
            choices = array('H', [UNSET]) * (BUCKETS * self.width)
            self.choices[own] = choices
        first = bucket * self.width
        found = choices[first : first + self.width]
        if found[0] == UNSET:
            found = self.work_out(own, bucket)
            choices[first : first + self.width] = found
        return found

    def work_out(self, own: str, bucket: int) -> array:
        """Take the best hosts of each domain in turn."""
        domains = self.domains(own, bucket)
        chosen: list[int] = []
        limit = HOSTS_OF_FIRST_DOMAIN
        for domain in domains:
            indices = self.members[domain]
            best = self.rankings[domain].best(bucket)[:limit]
            chosen.extend(indices[index] for index in best)
            limit = HOSTS_OF_OTHER_DOMAIN
        filled = chosen[: self.width]
        filled.extend(UNSET for _ in range(self.width - len(filled)))
        return array('H', filled)

    def weights(self) -> dict[str, float]:
        """Return the sum of weights by failure domain."""
        return {
            domain: sum(member.weight for member in ranking.members)
            for domain, ranking in self.rankings.items()
        }

    def domains(self, own: str, bucket: int) -> tuple[str, ...]:
        """Return the domains for a caller, the assigned one first."""
        point = bucket / BUCKETS
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
                        hash_of(f'{base}/{domain}'),
                    ),
                ),
            )
            self.orders[own, assigned] = found
        return found


def group(candidates: Sequence[Candidate]) -> dict[str, list[int]]:
    """Return the indices of the candidates by failure domain."""
    members: dict[str, list[int]] = {}
    for index, candidate in enumerate(candidates):
        members.setdefault(candidate.failure_domain, []).append(index)
    return members


def hash_of(text: str) -> int:
    """Return the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


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
