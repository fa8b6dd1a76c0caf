"""Entries of the queue and answers of an attempt."""

import dataclasses
from collections.abc import Callable
from typing import Any

from result import Result

from egretmill.errors import ErrorKind, Failure

__all__ = ('Attempt', 'Outcome', 'Shortage', 'Waiting', 'is_transient')

#: Time until the next attempt when a failure carries no hint, in seconds.
DEFAULT_RETRY_AFTER_S = 0.05
#: Least time that any request needs after admission, in seconds.
LEAST_SERVICE_S = 0.005
#: Failures that can end while a request waits.
TRANSIENT = frozenset(
    (
        ErrorKind.RATE_LIMITED,
        ErrorKind.OVERLOADED,
        ErrorKind.UPSTREAM_SHED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage(Failure):
    """A failure that may end by itself, with a hint when to try again."""

    retry_after_s: float = DEFAULT_RETRY_AFTER_S


#: Tries to take what a request needs at a monotonic time. ``Err`` holds a
#: :class:`Shortage` or a plain :class:`Failure`.
Attempt = Callable[[float], Result[Any, Failure]]


@dataclasses.dataclass(eq=False, slots=True)
class Waiting:
    """A request that waits for admission.

    :param cost: units that the request takes from its account's turn.
    :param needs_s: time that the request needs after admission. It is
        dropped when less is left, because its answer would come too late.
    """

    service: str
    account: str
    deadline_at: float
    attempt: Attempt
    cost: float = 1
    needs_s: float = LEAST_SERVICE_S

    @property
    def latest_at(self) -> float:
        """Return the last time at which admission still helps."""
        return self.deadline_at - self.needs_s


#: A request that was waiting and its answer: a grant or a failure.
Outcome = tuple[Waiting, Result[Any, Failure]]


def is_transient(failure: Failure) -> bool:
    """Tell whether waiting can help against a failure."""
    return failure.kind in TRANSIENT
