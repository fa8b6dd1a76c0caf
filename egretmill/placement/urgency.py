"""Waits for a slot that leave room for more urgent requests.

Answers the load in which requests with different targets or priorities exceed
the slots of a service. An upstream serves its queue in order of arrival, so a
request that has time to wait delays one that has not.
"""

import dataclasses
import math

__all__ = ('UrgentWaits',)

#: A priority counts for this time after its last request.
ACTIVE_S = 5.0
#: A request waits at most this part of the wait that more urgent ones accept,
MORE_URGENT_RATIO = 0.5
#: and this part of the wait that others of its own priority accept.
EQUALLY_URGENT_RATIO = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedWait:
    """Longest wait that the requests of a route accept.

    :param priority: 0 is the most urgent.
    """

    priority: int
    seconds: float
    seen_at: float


class UrgentWaits:
    """Accepted waits of recent requests, by service and route."""

    def __init__(self) -> None:
        """Start without requests."""
        self.by_service: dict[str, dict[tuple[str, int], AcceptedWait]] = {}

    def record(self, service: str, route: str, wait: AcceptedWait) -> None:
        """Record the longest wait that a request accepts."""
        waits = self.by_service.setdefault(service, {})
        waits[(route, wait.priority)] = wait

    def limit_s(self, service: str, priority: int, now: float) -> float:
        """Return the longest wait for a request of a priority."""
        limits = [
            wait.seconds * _ratio(wait.priority, priority)
            for wait in self.by_service.get(service, {}).values()
            if wait.priority <= priority and now - wait.seen_at <= ACTIVE_S
        ]
        return min(limits, default=math.inf)


def _ratio(other_priority: int, priority: int) -> float:
    if other_priority < priority:
        return MORE_URGENT_RATIO
    return EQUALLY_URGENT_RATIO
