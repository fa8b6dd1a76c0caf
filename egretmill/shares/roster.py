"""The part of every fleet-wide limit that a host owns by the roster.

The roster names the hosts that own a part. It lies in the platform's store,
so that hosts that cannot see each other never add up to more than one
whole: a host that joins waits until every other host must have seen it, and
hosts that stay wait before they take over the part of one that left.
"""

import dataclasses
import functools
import math
from collections.abc import Iterable

import xxhash

from egretmill.fleet.freshness import Proof

__all__ = ('LEASE_S', 'OUTDATED_PART', 'FleetShare', 'owners_of')

#: Knowledge of the roster that is older than this is outdated: another host
#: may have joined meanwhile. Longer than the wait of a store read.
LEASE_S = 6.0
#: Clocks of hosts run at slightly different rates.
MARGIN_S = 0.2
#: Part of the owned fraction that is used with outdated knowledge where
#: serving goes on without the store. Two hosts out of step add up to more
#: than one whole only if the fleet has more than doubled unseen.
OUTDATED_PART = 0.5
#: Sets of owners that are kept: one for each account and recent roster.
OWNERS_KEPT = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class FormerRoster:
    """An earlier roster that still binds.

    :param until: boot time at which its lost members have lapsed.
    """

    members: frozenset[str]
    until: float


@dataclasses.dataclass(slots=True)
class FleetShare:
    """Fraction of fleet-wide limits that this host owns.

    :param host: name of this host.
    :param active_at: boot time from which the own part is used.
    :param outdated_part: part of the fraction that is used with outdated
        knowledge; with 0, no two hosts ever add up to more than one whole.
    :param new: the own entry did not exist before.
    """

    host: str
    members: frozenset[str] = frozenset()
    proof: Proof = dataclasses.field(default_factory=Proof)
    active_at: float = math.inf
    new: bool = False
    outdated_part: float = 0
    former: list[FormerRoster] = dataclasses.field(default_factory=list)

    def joined(self, now: float, wait_s: float, *, new: bool) -> None:
        """Note that the own entry is in the store.

        :param wait_s: time until the own part may be used: the lease of the
            other hosts for a new entry, the longest loan for one that an
            earlier incarnation of this host has left.
        :param new: the entry did not exist before.
        """
        self.new = new
        self.active_at = now + wait_s + MARGIN_S

    def confirmed(self, now: float) -> None:
        """Note that every other member knows the roster with this host.

        A restarted host still waits for the end of what it had lent.
        """
        if not self.new:
            return
        self.active_at = min(self.active_at, now)

    def read(self, members: Iterable[str], sent_at: float, now: float) -> bool:
        """Take the roster from the store; return whether it has changed.

        :param sent_at: boot time at which the read was sent.
        """
        named = frozenset(members)
        self.proof.confirm(sent_at)
        if named == self.members:
            return False
        if self.members - named:
            until = now + LEASE_S + MARGIN_S
            self.former.append(FormerRoster(self.members, until))
        self.members = named
        return True

    def size(self, now: float) -> int:
        """Return the number of hosts that may use a part."""
        return max(1, *(len(members) for members in self.binding(now)))

    def binding(self, now: float) -> list[frozenset[str]]:
        """Return the rosters that bind: this one and those not yet lapsed."""
        self.former = [row for row in self.former if row.until > now]
        return [self.members, *(row.members for row in self.former)]

    def fraction(self, now: float) -> float:
        """Return the owned fraction now, 0 before the own part is active."""
        return self._in_force(1 / self.size(now), now)

    def part(self, name: str, owners: int, now: float) -> float:
        """Return the owned fraction of a limit that few hosts divide.

        :param name: of the limit; decides which hosts own it.
        :param owners: wanted number of owners.
        """
        rosters = self.binding(now)
        if any(
            self.host not in owners_of(name, owners, members)
            for members in rosters
        ):
            return 0
        most = max(min(owners, len(members)) for members in rosters)
        return self._in_force(1 / max(most, 1), now)

    def _in_force(self, owned: float, now: float) -> float:
        if self.host not in self.members or now < self.active_at:
            return 0
        if self.proof.age(now) > LEASE_S:
            return owned * self.outdated_part
        return owned


@functools.lru_cache(maxsize=OWNERS_KEPT)
def owners_of(
    name: str,
    owners: int,
    members: frozenset[str],
) -> tuple[str, ...]:
    """Return the hosts that own a limit: the first by rendezvous hashing.

    A host that joins replaces at most one owner and moves no other.
    """
    if owners >= len(members):
        return tuple(sorted(members))
    scored = sorted(
        (xxhash.xxh3_64_intdigest(f'{host}/{name}'.encode()), host)
        for host in members
    )
    return tuple(host for _, host in scored[:owners])
