"""The shares that this host owns through its share slot, at any time.

An owned share may grow only when no other host can still use what it gains.
Therefore each document version that was applied limits the share until all
holders of share slots are known to have applied a newer one, and then for a
hold-down time: as long as loans of the older shares, and requests on them,
may last. The unknown previous holder of a newly acquired slot limits it in
the same way, because it may have lent from the slot just before it died.
"""

import dataclasses
import math
from collections.abc import Iterator

from egretmill.quota.division import owned_share
from egretmill.quota.loans import expiry_margin_s
from egretmill.quota.totals import Totals
from egretmill.shares.bucket import EMPTY_SHARE, Share
from egretmill.wire.messages import ShareSlot, UpstreamRecord

__all__ = ('Ownership', 'is_concurrency_total', 'max_lendable_slots')

#: Stands for the version of a slot's previous holder, which is unknown.
UNKNOWN_VERSION = -1


def is_concurrency_total(name: str) -> bool:
    """Return whether a total limits requests in flight."""
    return name.startswith('slots/')


def max_lendable_slots(owned: float) -> int:
    """Return how many of the owned slots may be lent: at most half.

    A restarted host can use the other half without waiting for loans to
    end, because the previous process cannot have lent it.
    """
    return int(owned) // 2


@dataclasses.dataclass
class _VersionLimit:
    """The shares of one version, which newer shares must not exceed yet.

    :param totals: ``None`` for the unknown previous holder of the slot.
    :param superseded_at: when all holders were known to have a newer one.
    :param shares: cache by the name of the total.
    """

    version: int
    totals: Totals | None
    superseded_at: float = math.inf
    shares: dict[str, Share] = dataclasses.field(default_factory=dict)

    def share(self, name: str, index: int) -> Share:
        if self.totals is None:
            return EMPTY_SHARE
        if name not in self.shares:
            self.shares[name] = owned_share(self.totals, name, index)
        return self.shares[name]


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedShare:
    """A share and the period in which it is valid."""

    share: Share
    valid_from: float
    valid_until: float


class Ownership:
    """The share slot, its lease and the versions that limit its shares.

    :ivar version_limits: the newest version is last.
    """

    def __init__(self) -> None:
        self.slot: ShareSlot | None = None
        self.totals: Totals | None = None
        self.version_limits: list[_VersionLimit] = []
        self.cached_shares: dict[str, _CachedShare] = {}

    def apply(
        self,
        totals: Totals,
        slot: ShareSlot | None,
        settled_version: int,
        now: float,
    ) -> bool:
        """Apply a version, an upstream list, a lease or a settled version.

        :param settled_version: a version that every holder of a share slot
            is known to have applied.
        :returns: whether the owned share of a rate may have changed.
        """
        before = self._state_key()
        self.cached_shares.clear()
        if _is_different_slot(self.slot, slot):
            self.version_limits = [_VersionLimit(UNKNOWN_VERSION, None)]
        self.slot = slot
        self._add_version(totals)
        _mark_superseded(self.version_limits, settled_version, now)
        known = [limit.totals for limit in self.version_limits if limit.totals]
        hold_down_s = max(_longest_hold_down_s(totals) for totals in known)
        self.version_limits = [
            limit
            for limit in self.version_limits
            if limit.superseded_at + hold_down_s > now
        ]
        return self._state_key() != before

    def share(self, name: str, at: float) -> Share:
        """Return the owned share of a total at a time."""
        cached = self.cached_shares.get(name)
        if cached and cached.valid_from <= at < cached.valid_until:
            return cached.share
        share = self._share_at(name, at)
        valid_until = self.next_change_at(name, at)
        self.cached_shares[name] = _CachedShare(share, at, valid_until)
        return share

    def next_change_at(self, name: str, after: float) -> float:
        """Return when a share may next change without :meth:`apply`."""
        change_times = [
            change_time
            for change_time in self._change_times(name)
            if change_time > after
        ]
        return min(change_times, default=math.inf)

    def loan_s(self) -> float:
        """Return the duration of a loan in the version in force."""
        if self.totals is None:
            return 0.0
        return self.totals.environment.document.quota.loan_s

    def time_limit_s(self, name: str) -> float:
        """Return the time limit of requests on a total, in seconds."""
        if self.totals is None or not is_concurrency_total(name):
            return 0.0
        return self.totals.time_limit_s(name)

    def hold_down_s(self, name: str) -> float:
        """Return how long a superseded version still limits a total.

        Loans of the older shares, and requests on them, have ended then.
        """
        known = [limit.totals for limit in self.version_limits if limit.totals]
        return max(
            (_hold_down_s(totals, name) for totals in known),
            default=0.0,
        )

    def lease_until(self) -> float:
        """Return the end of the lease on the monotonic clock."""
        return self.slot.lease_until_at if self.slot else -math.inf

    def lendable_s(self, now: float) -> float:
        """Return the longest loan that ends, with margin, before the lease."""
        lease_left_s = max(0.0, self.lease_until() - now)
        return lease_left_s - expiry_margin_s(lease_left_s)

    def _share_at(self, name: str, at: float) -> Share:
        if self.slot is None or at >= self._last_admission_at(name):
            return EMPTY_SHARE
        share = self.version_limits[-1].share(name, self.slot.index)
        for limit in self.version_limits[:-1]:
            if limit.totals is None:
                share = self._limit_by_unknown_holder(limit, name, share, at)
            elif self._limits_share(limit, name, at):
                share = share.minimum(limit.share(name, self.slot.index))
        return share

    def _limits_share(self, limit: _VersionLimit, name: str, at: float) -> bool:
        # A holder of a version without the total cannot use any of it.
        # Therefore a new client account is served at once, even if a holder
        # of an older version is unreachable.
        if limit.totals is None or limit.totals.find(name) is None:
            return False
        return at < limit.superseded_at + self.hold_down_s(name)

    def _state_key(self) -> tuple[object, ...]:
        slot_key = None
        if self.slot is not None:
            slot_key = (self.slot.index, self.slot.acquired_at)
        limits = [
            (limit.version, limit.superseded_at)
            for limit in self.version_limits
        ]
        return (slot_key, *limits)

    def _add_version(self, totals: Totals) -> None:
        version = totals.environment.version
        if self.totals is not None:
            # The version never goes back, but the latest upstream list is
            # used even if it came with an older version.
            older = self.totals.environment
            if version < older.version:
                totals = Totals(older, totals.upstreams)
                version = older.version
            if totals.upstreams != self.totals.upstreams:
                _replace_upstreams(self.version_limits, totals.upstreams)
        self.totals = totals
        if self.version_limits[-1].version < version:
            self.version_limits.append(_VersionLimit(version, totals))

    def _limit_by_unknown_holder(
        self,
        limit: _VersionLimit,
        name: str,
        share: Share,
        at: float,
    ) -> Share:
        loan_s = self.loan_s()
        if at < limit.superseded_at + loan_s + expiry_margin_s(loan_s):
            return EMPTY_SHARE
        if at >= limit.superseded_at + self.hold_down_s(name):
            return share
        kept = share.amount - max_lendable_slots(share.amount)
        return Share(kept, share.capacity)

    def _change_times(self, name: str) -> Iterator[float]:
        if self.slot is None:
            return
        yield self._last_admission_at(name)
        loan_s = self.loan_s()
        for limit in self.version_limits[:-1]:
            yield limit.superseded_at + self.hold_down_s(name)
            yield limit.superseded_at + loan_s + expiry_margin_s(loan_s)

    def _last_admission_at(self, name: str) -> float:
        # A request that ran past the lease would overlap with those of the
        # slot's next holder.
        return self.lease_until() - self.time_limit_s(name)


def _is_different_slot(old: ShareSlot | None, new: ShareSlot | None) -> bool:
    if old is None or new is None:
        return True
    return (old.index, old.acquired_at) != (new.index, new.acquired_at)


def _mark_superseded(
    version_limits: list[_VersionLimit],
    settled_version: int,
    now: float,
) -> None:
    newest = version_limits[-1].version
    known = {limit.version for limit in version_limits}
    if settled_version < newest and settled_version not in known:
        return
    for limit in version_limits[:-1]:
        if limit.version < settled_version:
            limit.superseded_at = min(limit.superseded_at, now)


def _replace_upstreams(
    version_limits: list[_VersionLimit],
    upstreams: tuple[UpstreamRecord, ...],
) -> None:
    for limit in version_limits:
        limit.shares.clear()
        if limit.totals is not None:
            environment = limit.totals.environment
            limit.totals = Totals(environment, upstreams)


def _hold_down_s(totals: Totals, name: str) -> float:
    duration_s = totals.environment.document.quota.loan_s
    if is_concurrency_total(name):
        duration_s += totals.time_limit_s(name)
    return duration_s + expiry_margin_s(duration_s)


def _longest_hold_down_s(totals: Totals) -> float:
    document = totals.environment.document
    limits = [route.time_limit_ms / 1000 for route in document.routes]
    duration_s = document.quota.loan_s + max(limits, default=0.0)
    return duration_s + expiry_margin_s(duration_s)
