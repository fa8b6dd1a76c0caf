"""Waiting requests of one client account for one service."""

import collections
import dataclasses

from egretmill.admission.entry import DEFAULT_RETRY_AFTER_S, Shortage, Waiting
from egretmill.errors import ErrorKind, Failure

__all__ = ('Flow', 'Ring')

#: Weight of one gap in the mean time between two admissions.
GAP_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Flow:
    """The sub-queue of an account; its head is tried first.

    :param deficit: unused units of cost.
    :param gap_s: mean time between two admissions, 0 when unknown.
    """

    account: str
    deficit: float = 0
    blocked_until: float = 0
    shortage: Failure | None = None
    gap_s: float = 0
    admitted_at: float | None = None
    waiting: 'collections.OrderedDict[Waiting, None]' = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    @property
    def head(self) -> Waiting:
        """Return the request whose turn it is."""
        return next(iter(self.waiting))

    @property
    def is_rate_limited(self) -> bool:
        """Tell whether the account's own bucket was short last."""
        if self.shortage is None:
            return False
        return self.shortage.kind == ErrorKind.RATE_LIMITED

    def refusal(self, detail: str) -> Failure:
        """Return the failure for a request that gives up its place."""
        if self.is_rate_limited:
            return Failure(ErrorKind.RATE_LIMITED, detail)
        return Failure(ErrorKind.OVERLOADED, detail)

    def wait_s(self, now: float) -> float:
        """Return the expected wait of the last request, 0 when unknown."""
        if self.admitted_at is None or not self.gap_s:
            return 0
        gap_s = max(self.gap_s, now - self.admitted_at)
        return gap_s * len(self.waiting)

    def admit(self, now: float) -> Waiting:
        """Take the head out as admitted."""
        if self.admitted_at is not None:
            gap_s = now - self.admitted_at
            self.gap_s += GAP_WEIGHT * (gap_s - self.gap_s)
        self.admitted_at = now
        self.shortage = None
        head, _ = self.waiting.popitem(last=False)
        self.deficit -= head.cost
        return head

    def block(self, shortage: Failure, now: float) -> None:
        """Wait for the own bucket."""
        self.shortage = shortage
        self.blocked_until = now + retry_after_s(shortage)


@dataclasses.dataclass(slots=True)
class Ring:
    """Flows of one service in the order of their turns."""

    blocked_until: float = 0
    flows: 'collections.OrderedDict[str, Flow]' = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def can_turn(self, now: float) -> bool:
        """Tell whether some flow may be tried."""
        if self.blocked_until > now:
            return False
        return any(flow.blocked_until <= now for flow in self.flows.values())

    def wake_at(self) -> float:
        """Return when a flow may be tried next."""
        first = min(flow.blocked_until for flow in self.flows.values())
        return max(first, self.blocked_until)


def retry_after_s(failure: Failure) -> float:
    """Return the hint of a failure; a hint of zero would never end."""
    if isinstance(failure, Shortage):
        return max(failure.retry_after_s, 0.001)
    return DEFAULT_RETRY_AFTER_S
