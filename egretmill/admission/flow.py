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
    :param gap_s: mean time between two admissions while requests wait.
    :param admitted_at: last admission, or when requests began to wait.
    """

    account: str
    deficit: float = 0
    blocked_until: float = 0
    shortage: Failure | None = None
    gap_s: float = 0
    admitted_at: float = 0
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
        """Return the expected wait of the last request."""
        return max(self.gap_s * len(self.waiting), now - self.admitted_at)

    def add(self, waiting: Waiting, now: float) -> None:
        """Queue a request as the last one."""
        if not self.waiting:
            self.admitted_at = now
        self.waiting[waiting] = None

    def admit(self, now: float) -> Waiting:
        """Take the head out as admitted."""
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
    length: int = 0
    flows: 'collections.OrderedDict[str, Flow]' = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def can_turn(self, now: float) -> bool:
        """Tell whether some request may be tried."""
        return self.length > 0 and self.wake_at() <= now

    def next_flow(self, now: float) -> Flow:
        """Return the flow whose turn it is; it may be empty."""
        return next(
            flow for flow in self.flows.values() if flow.blocked_until <= now
        )

    def wake_at(self) -> float:
        """Return when a request may be tried next."""
        times = [
            flow.blocked_until for flow in self.flows.values() if flow.waiting
        ]
        return max(min(times), self.blocked_until)


def retry_after_s(failure: Failure) -> float:
    """Return the hint of a failure; a hint of zero would never end."""
    if isinstance(failure, Shortage):
        return max(failure.retry_after_s, 0.001)
    return DEFAULT_RETRY_AFTER_S
