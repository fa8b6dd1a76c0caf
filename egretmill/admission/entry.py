"""Queued requests and the results of admission attempts."""

import dataclasses
from collections.abc import Callable
from typing import Any

from result import Result

from egretmill.errors import ErrorKind, Failure

__all__ = (
    'Attempt',
    'Outcome',
    'QueuedRequest',
    'TransientFailure',
    'is_transient',
)

#: Delay until the next attempt if the failure states none, in seconds.
DEFAULT_RETRY_AFTER_S = 0.05
#: Minimum service time of any request after admission, in seconds.
MIN_SERVICE_S = 0.005
#: Kinds of failures that can clear while a request waits.
TRANSIENT_KINDS = frozenset(
    (
        ErrorKind.RATE_LIMITED,
        ErrorKind.OVERLOADED,
        ErrorKind.UPSTREAM_SHED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class TransientFailure(Failure):
    """A failure that can clear by itself, with a delay before a retry."""

    retry_after_s: float = DEFAULT_RETRY_AFTER_S


#: Tries to acquire the resources of a request at a given monotonic time.
#: ``Err`` holds a :class:`TransientFailure` or a plain :class:`Failure`.
Attempt = Callable[[float], Result[Any, Failure]]


@dataclasses.dataclass(eq=False, slots=True)
class QueuedRequest:
    """A request that waits for admission.

    :param cost: units that the request uses of its account's deficit.
    :param expected_service_s: expected service time. The request is refused
        when less time is left, because it would miss its deadline.
    """

    service: str
    account: str
    deadline_at: float
    attempt: Attempt
    cost: float = 1
    expected_service_s: float = MIN_SERVICE_S

    @property
    def latest_admission_at(self) -> float:
        """Return the latest admission time that still meets the deadline."""
        return self.deadline_at - self.expected_service_s


#: A request that was queued and its result: a grant or a failure.
Outcome = tuple[QueuedRequest, Result[Any, Failure]]


def is_transient(failure: Failure) -> bool:
    """Return whether a failure can clear while the request waits."""
    return failure.kind in TRANSIENT_KINDS
