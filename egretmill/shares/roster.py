"""The fraction of every fleet-wide limit that a host owns by the roster.

The roster lists the hosts that own a fraction. It is kept in the platform's
store, and two waits keep the fractions of hosts that cannot reach each other
from adding up to more than one: a host that joins waits until every other
host must know of it, and the remaining hosts wait before they take over the
fraction of one that left.
"""

import dataclasses
import functools
import math
from collections.abc import Iterable, Sequence

import xxhash

from egretmill.fleet.freshness import Freshness

__all__ = ('ROSTER_LEASE_S', 'STALE_FRACTION', 'FleetShare', 'owners_of')

#: A copy of the roster is stale if it was last confirmed longer ago: another
#: host may have joined meanwhile. Longer than the timeout of a store read.
ROSTER_LEASE_S = 6.0
#: Added to each wait, as clocks of hosts run at slightly different rates.
MARGIN_S = 0.2
#: Part of the owned fraction that is used with a stale roster where serving
#: continues without the store. The fractions in use add up to more than one
#: only if the fleet has more than doubled unnoticed.
STALE_FRACTION = 0.5
#: Sets of owners in the cache: one for each account and recent roster.
OWNERS_CACHE_SIZE = 2048


@dataclasses.dataclass(frozen=True, slots=True)
class PreviousRoster:
    """A previous roster that still limits the fraction of this host.

    :param candidates: those that may own limits of upstreams.
    :param until: boot time at which the leases of its removed members have
        ended.
    """

    members: frozenset[str]
    candidates: frozenset[str]
    until: float


@dataclasses.dataclass(slots=True)
class FleetShare:
    """Fraction of fleet-wide limits that this host owns.

    :param host: name of this host.
    :param members: hosts in the roster as last read.
    :param candidates: members that may own limits of upstreams. Without
        callers, a host would leave its part unused.
    :param freshness: when the roster was last known to be current.
    :param active_at: boot time from which this host uses its fraction.
    :param earliest_at: boot time until which a previous incarnation of this
        host may still lend its fraction.
    :param stale_fraction: part of the fraction that is used with a stale
        roster; with 0, the fractions never add up to more than one.
    """

    host: str
    members: frozenset[str] = frozenset()
    candidates: frozenset[str] = frozenset()
    freshness: Freshness = dataclasses.field(default_factory=Freshness)
    active_at: float = math.inf
    earliest_at: float = 0
    stale_fraction: float = 0
    previous_rosters: list[PreviousRoster] = dataclasses.field(
        default_factory=list
    )

    def record_joined(
        self, now: float, wait_s: float, *, min_wait_s: float = 0
    ) -> None:
        """Record that this host's entry is in the store.

        :param wait_s: time until the fraction may be used: the lease of the
            other hosts, or the longest loan if they all know the entry.
        :param min_wait_s: wait for the loans of a previous incarnation, which
            :meth:`record_known_by_all` does not shorten.
        """
        self.earliest_at = now + min_wait_s
        if min_wait_s:
            self.earliest_at += MARGIN_S
        self.active_at = now + wait_s + MARGIN_S

    def record_known_by_all(self, now: float) -> None:
        """Record that every other member knows the roster with this host."""
        self.active_at = min(self.active_at, max(now, self.earliest_at))

    def active_in_s(self, now: float) -> float | None:
        """Return the time until the fraction may be used, if it is known."""
        if not now < self.active_at < math.inf:
            return None
        return self.active_at - now

    def apply_roster(
        self,
        members: Iterable[str],
        sent_at: float,
        now: float,
        candidates: Iterable[str] | None = None,
    ) -> bool:
        """Apply the roster read from the store; return whether it changed.

        :param sent_at: boot time at which the read was sent.
        :param candidates: ``None`` for all members.
        """
        current = frozenset(members)
        owning = current if candidates is None else frozenset(candidates)
        self.freshness.confirm(sent_at)
        if current == self.members and owning == self.candidates:
            return False
        if self.members - current or self.candidates - owning:
            until = now + ROSTER_LEASE_S + MARGIN_S
            self.previous_rosters.append(
                PreviousRoster(self.members, self.candidates, until)
            )
        self.members = current
        self.candidates = owning
        return True

    def max_members(self, now: float) -> int:
        """Return the largest number of hosts that may divide a limit now."""
        return max(
            1, *(len(members) for members in self.effective_rosters(now))
        )

    def effective_rosters(self, now: float) -> list[frozenset[str]]:
        """Return the current roster and the previous ones still in force."""
        return [
            self.members,
            *(previous.members for previous in self._find_previous(now)),
        ]

    def effective_candidates(self, now: float) -> list[frozenset[str]]:
        """Return the candidates of the rosters in force."""
        return [
            self.candidates,
            *(previous.candidates for previous in self._find_previous(now)),
        ]

    def fraction(self, now: float) -> float:
        """Return the fraction that this host may use, 0 until it is active."""
        return self._usable_fraction(1 / self.max_members(now), now)

    def fraction_of(self, name: str, owners: int, now: float) -> float:
        """Return the owned fraction of a limit with few owners.

        :param name: of the limit; determines which hosts own it.
        :param owners: wanted number of owners.
        """
        return self._owned_fraction(
            name, owners, self.effective_rosters(now), now
        )

    def fraction_of_upstream(self, name: str, owners: int, now: float) -> float:
        """Return the owned fraction of a limit that an upstream states.

        :param name: of the upstream.
        :param owners: wanted number of owners.
        """
        return self._owned_fraction(
            name, owners, self.effective_candidates(now), now
        )

    def _owned_fraction(
        self,
        name: str,
        owners: int,
        rosters: Sequence[frozenset[str]],
        now: float,
    ) -> float:
        if any(
            self.host not in owners_of(name, owners, members)
            for members in rosters
        ):
            return 0
        max_owners = max(min(owners, len(members)) for members in rosters)
        return self._usable_fraction(1 / max(max_owners, 1), now)

    def _find_previous(self, now: float) -> list[PreviousRoster]:
        self.previous_rosters = [
            previous
            for previous in self.previous_rosters
            if previous.until > now
        ]
        return self.previous_rosters

    def _usable_fraction(self, owned: float, now: float) -> float:
        if self.host not in self.members or now < self.active_at:
            return 0
        if self.freshness.age(now) > ROSTER_LEASE_S:
            return owned * self.stale_fraction
        return owned


@functools.lru_cache(maxsize=OWNERS_CACHE_SIZE)
def owners_of(
    name: str,
    owners: int,
    members: frozenset[str],
) -> tuple[str, ...]:
    """Return the hosts that own a limit, chosen by rendezvous hashing.

    A host that joins replaces at most one owner and leaves the others.
    """
    if owners >= len(members):
        return tuple(sorted(members))
    by_score = sorted(
        (xxhash.xxh3_64_intdigest(f'{host}/{name}'.encode()), host)
        for host in members
    )
    return tuple(host for _, host in by_score[:owners])
