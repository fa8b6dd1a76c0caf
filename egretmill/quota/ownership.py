"""What the share slot of this host entitles it to, at which time.

An owned share may grow only when no other host can still use what it gains.
Therefore each version that was applied bounds the share until all holders
of share slots are known to have a newer one, and then for as long as loans
out of the older shares and requests on them may last. A newly acquired slot
is bounded in the same way by its unknown earlier holder, which may have
lent out of it just before it died.
"""

import dataclasses
import math
from collections.abc import Iterator

from egretmill.quota.division import owned_share
from egretmill.shares.bucket import NOTHING, Share
from egretmill.quota.loans import margin_s
from egretmill.quota.totals import Totals
from egretmill.wire.messages import ShareSlot, UpstreamRecord

__all__ = ('Ownership', 'is_concurrency', 'lendable_slots')

#: Version of the unknown state of a slot's earlier holder.
UNKNOWN_VERSION = -1


def is_concurrency(name: str) -> bool:
    """Tell whether a total counts requests in flight."""
    return name.startswith('slots/')


def lendable_slots(owned: float) -> int:
    """Return how many owned slots may be lent, at most half of them.

    A restarted host uses the other half at once, because the earlier
    process cannot have lent it.
    """
    return int(owned) // 2


@dataclasses.dataclass
class _Bound:
    """The shares of one version and when they stopped to bind."""

    version: int
    totals: Totals | None
    lifted_at: float = math.inf
    shares: dict[str, Share] = dataclasses.field(default_factory=dict)

    def share(self, name: str, index: int) -> Share:
        if self.totals is None:
            return NOTHING
        if name not in self.shares:
            self.shares[name] = owned_share(self.totals, name, index)
        return self.shares[name]


@dataclasses.dataclass(frozen=True, slots=True)
class _Current:
    """A share and the time for which it holds."""

    share: Share
    since: float
    until: float


class Ownership:
    """The share slot, its lease and the versions that bind its shares."""

    def __init__(self) -> None:
        self.slot: ShareSlot | None = None
        self.totals: Totals | None = None
        self.bounds: list[_Bound] = []
        self.current: dict[str, _Current] = {}

    def apply(
        self,
        totals: Totals,
        slot: ShareSlot | None,
        settled_version: int,
        now: float,
    ) -> bool:
        """Take over a version, an upstream list, a lease or a settling.

        :returns: whether the owned share of a rate may have changed.
        """
        before = self._binding()
        self.current.clear()
        if _is_other(self.slot, slot):
            self.bounds = [_Bound(UNKNOWN_VERSION, None)]
        self.slot = slot
        self._add(totals)
        _settle(self.bounds, settled_version, now)
        known = [bound.totals for bound in self.bounds if bound.totals]
        hold_s = max(_longest_hold_s(totals) for totals in known)
        self.bounds = [
            bound for bound in self.bounds if bound.lifted_at + hold_s > now
        ]
        return self._binding() != before

    def share(self, name: str, at: float) -> Share:
        """Return the owned share of a total at a time."""
        found = self.current.get(name)
        if found and found.since <= at < found.until:
            return found.share
        share = self._share_at(name, at)
        until = self.next_change(name, at)
        self.current[name] = _Current(share, at, until)
        return share

    def next_change(self, name: str, after: float) -> float:
        """Return the next time at which a share may change by itself."""
        points = [point for point in self._changes(name) if point > after]
        return min(points, default=math.inf)

    def loan_s(self) -> float:
        """Return the duration of a loan in the version in force."""
        if self.totals is None:
            return 0.0
        return self.totals.environment.document.quota.loan_s

    def time_limit_s(self, name: str) -> float:
        """Return the time limit of requests on a total, in seconds."""
        if self.totals is None or not is_concurrency(name):
            return 0.0
        return self.totals.time_limit_s(name)

    def hold_s(self, name: str) -> float:
        """Return how long loans out of an older share may last."""
        known = [bound.totals for bound in self.bounds if bound.totals]
        return max(
            (_hold_s(totals, name) for totals in known),
            default=0.0,
        )

    def lease_until(self) -> float:
        """Return the end of the lease on the monotonic clock."""
        return self.slot.lease_until_at if self.slot else -math.inf

    def lendable_s(self, now: float) -> float:
        """Return how long a loan may last before the lease ends."""
        left_s = max(0.0, self.lease_until() - now)
        return left_s - margin_s(left_s)

    def _share_at(self, name: str, at: float) -> Share:
        if self.slot is None or at >= self._last_start(name):
            return NOTHING
        share = self.bounds[-1].share(name, self.slot.index)
        for bound in self.bounds[:-1]:
            if bound.totals is None:
                share = self._after_unknown(bound, name, share, at)
            elif self._binds(bound, name, at):
                share = share.lowest(bound.share(name, self.slot.index))
        return share

    def _binds(self, bound: _Bound, name: str, at: float) -> bool:
        # A holder of a version without the total cannot use any of it, so a
        # new client account is served at once although some holder of an
        # older version is unreachable.
        if bound.totals is None or bound.totals.find(name) is None:
            return False
        return at < bound.lifted_at + self.hold_s(name)

    def _binding(self) -> tuple[object, ...]:
        place = None
        if self.slot is not None:
            place = (self.slot.index, self.slot.acquired_at)
        binds = [(bound.version, bound.lifted_at) for bound in self.bounds]
        return (place, *binds)

    def _add(self, totals: Totals) -> None:
        version = totals.environment.version
        if self.totals is not None:
            # A version is never reverted; the upstream list is the newer one.
            older = self.totals.environment
            if version < older.version:
                totals = Totals(older, totals.upstreams)
                version = older.version
            if totals.upstreams != self.totals.upstreams:
                _use_upstreams(self.bounds, totals.upstreams)
        self.totals = totals
        if self.bounds[-1].version < version:
            self.bounds.append(_Bound(version, totals))

    def _after_unknown(
        self,
        bound: _Bound,
        name: str,
        share: Share,
        at: float,
    ) -> Share:
        loan_s = self.loan_s()
        if at < bound.lifted_at + loan_s + margin_s(loan_s):
            return NOTHING
        if at >= bound.lifted_at + self.hold_s(name):
            return share
        kept = share.amount - lendable_slots(share.amount)
        return Share(kept, share.capacity)

    def _changes(self, name: str) -> Iterator[float]:
        if self.slot is None:
            return
        yield self._last_start(name)
        loan_s = self.loan_s()
        for bound in self.bounds[:-1]:
            yield bound.lifted_at + self.hold_s(name)
            yield bound.lifted_at + loan_s + margin_s(loan_s)

    def _last_start(self, name: str) -> float:
        # A request that runs past the lease would meet the next holder's.
        return self.lease_until() - self.time_limit_s(name)


def _is_other(old: ShareSlot | None, new: ShareSlot | None) -> bool:
    if old is None or new is None:
        return True
    return (old.index, old.acquired_at) != (new.index, new.acquired_at)


def _settle(
    bounds: list[_Bound],
    settled_version: int,
    now: float,
) -> None:
    newest = bounds[-1].version
    known = {bound.version for bound in bounds}
    if settled_version < newest and settled_version not in known:
        return
    for bound in bounds[:-1]:
        if bound.version < settled_version:
            bound.lifted_at = min(bound.lifted_at, now)


def _use_upstreams(
    bounds: list[_Bound],
    upstreams: tuple[UpstreamRecord, ...],
) -> None:
    for bound in bounds:
        bound.shares.clear()
        if bound.totals is not None:
            environment = bound.totals.environment
            bound.totals = Totals(environment, upstreams)


def _hold_s(totals: Totals, name: str) -> float:
    duration_s = totals.environment.document.quota.loan_s
    if is_concurrency(name):
        duration_s += totals.time_limit_s(name)
    return duration_s + margin_s(duration_s)


def _longest_hold_s(totals: Totals) -> float:
    document = totals.environment.document
    limits = [route.time_limit_ms / 1000 for route in document.routes]
    duration_s = document.quota.loan_s + max(limits, default=0.0)
    return duration_s + margin_s(duration_s)
