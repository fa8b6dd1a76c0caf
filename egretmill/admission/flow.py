"""Sub-queues of the fair queue, per service and client account."""

import collections
import dataclasses

from egretmill.admission.entry import (
    DEFAULT_RETRY_AFTER_S,
    QueuedRequest,
    TransientFailure,
)
from egretmill.errors import ErrorKind, Failure

__all__ = ('Flow', 'Ring')

#: Weight of one interval in the mean time between two admissions.
INTERVAL_WEIGHT = 0.2


@dataclasses.dataclass(slots=True)
class Flow:
    """Queued requests of one account for one service, in FIFO order.

    :param deficit: units of cost that the account may still use.
    :param blocked_until: when the account's rate limit is tried again.
    :param last_failure: failure of the last attempt, ``None`` after an
        admission.
    :param admission_interval_s: mean time between two admissions while
        requests wait.
    :param last_admission_at: time of the last admission, or when the first
        of the waiting requests was queued if that is later.
    """

    account: str
    deficit: float = 0
    blocked_until: float = 0
    last_failure: Failure | None = None
    admission_interval_s: float = 0
    last_admission_at: float = 0
    requests: 'collections.OrderedDict[QueuedRequest, None]' = (
        dataclasses.field(
            default_factory=collections.OrderedDict,
        )
    )

    @property
    def head(self) -> QueuedRequest:
        """Return the request that is tried next."""
        return next(iter(self.requests))

    @property
    def is_rate_limited(self) -> bool:
        """Return whether the account's rate limit failed the last attempt."""
        if self.last_failure is None:
            return False
        return self.last_failure.kind == ErrorKind.RATE_LIMITED

    def make_refusal(self, detail: str) -> Failure:
        """Return the failure for a request that leaves the queue."""
        if self.is_rate_limited:
            return Failure(ErrorKind.RATE_LIMITED, detail)
        return Failure(ErrorKind.OVERLOADED, detail)

    def expected_wait_s(self, now: float) -> float:
        """Return the expected wait of the newest request."""
        return max(
            self.admission_interval_s * len(self.requests),
            now - self.last_admission_at,
        )

    def add(self, request: QueuedRequest, now: float) -> None:
        """Append a request."""
        if not self.requests:
            self.last_admission_at = now
        self.requests[request] = None

    def admit(self, now: float) -> QueuedRequest:
        """Remove the head after its admission and charge its cost."""
        admission_interval_s = now - self.last_admission_at
        self.admission_interval_s += INTERVAL_WEIGHT * (
            admission_interval_s - self.admission_interval_s
        )
        self.last_admission_at = now
        self.last_failure = None
        head, _ = self.requests.popitem(last=False)
        self.deficit -= head.cost
        return head

    def block(self, failure: Failure, now: float) -> None:
        """Block the account until its token bucket may have tokens."""
        self.last_failure = failure
        self.blocked_until = now + retry_after_s(failure)


@dataclasses.dataclass(slots=True)
class Ring:
    """Flows of one service in round-robin order.

    :param length: number of queued requests.
    """

    blocked_until: float = 0
    length: int = 0
    flows: 'collections.OrderedDict[str, Flow]' = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def has_due_request(self, now: float) -> bool:
        """Return whether a request may be tried now."""
        return self.length > 0 and self.next_try_at() <= now

    def next_unblocked_flow(self, now: float) -> Flow:
        """Return the first flow that is not blocked; it may be empty."""
        return next(
            flow for flow in self.flows.values() if flow.blocked_until <= now
        )

    def next_try_at(self) -> float:
        """Return the earliest time at which a request may be tried."""
        times = [
            flow.blocked_until for flow in self.flows.values() if flow.requests
        ]
        return max(min(times), self.blocked_until)


def retry_after_s(failure: Failure) -> float:
    """Return the retry delay, above 0 so that retries cannot spin."""
    if isinstance(failure, TransientFailure):
        return max(failure.retry_after_s, 0.001)
    return DEFAULT_RETRY_AFTER_S
