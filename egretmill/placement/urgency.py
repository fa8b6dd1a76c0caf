"""Waits for a slot that leave room for more urgent requests.

Answers the load in which requests with different targets or priorities exceed
the slots of a service. An upstream serves its queue in order of arrival, so a
request that has time to wait delays one that has not.
"""

import dataclasses
import math

from egretmill.shares.rate_meter import RateMeter

__all__ = ('UrgentWaits',)

#: Time constant of the rates of requests.
TIME_CONSTANT_S = 5.0
#: A route counts while its rate is above this, in requests per second: the
#: time constant times a few after its last request.
MIN_RATE_PER_S = 0.1
#: Equally urgent routes count with at least this fraction of the requests of
#: the service; otherwise rare requests would limit all others.
MIN_FRACTION = 0.05
#: A request waits at most this part of the wait that more urgent ones accept,
MORE_URGENT_RATIO = 0.5
#: and this part of the wait that others of its own priority accept.
EQUALLY_URGENT_RATIO = 0.9


@dataclasses.dataclass(slots=True)
class RouteWait:
    """Requests of one priority on a route.

    :param priority: 0 is the most urgent.
    :param accepted_s: longest wait for a slot with which the target is met.
    """

    priority: int
    accepted_s: float = math.inf
    meter: RateMeter = dataclasses.field(
        default_factory=lambda: RateMeter(TIME_CONSTANT_S),
    )


class UrgentWaits:
    """Accepted waits of recent requests, by service and route."""

    def __init__(self) -> None:
        """Start without requests."""
        self.by_service: dict[str, dict[tuple[str, int], RouteWait]] = {}

    def record(
        self,
        service: str,
        route: str,
        priority: int,
        accepted_s: float,
        now: float,
    ) -> None:
        """Record a request and the longest wait that it accepts."""
        waits = self.by_service.setdefault(service, {})
        wait = waits.get((route, priority))
        if wait is None:
            self._forget_unused(service, now)
            wait = RouteWait(priority)
            self.by_service[service][(route, priority)] = wait
        wait.accepted_s = accepted_s
        wait.meter.record(now)

    def limit_s(self, service: str, priority: int, now: float) -> float:
        """Return the longest wait for a request of a priority."""
        waits = self.by_service.get(service, {}).values()
        rates = [wait.meter.rate_at(now) for wait in waits]
        min_equal_rate = max(MIN_FRACTION * sum(rates), MIN_RATE_PER_S)
        limit_s = math.inf
        for wait, rate in zip(waits, rates, strict=True):
            if wait.priority < priority and rate > MIN_RATE_PER_S:
                limit_s = min(limit_s, wait.accepted_s * MORE_URGENT_RATIO)
            elif wait.priority == priority and rate > min_equal_rate:
                limit_s = min(limit_s, wait.accepted_s * EQUALLY_URGENT_RATIO)
        return limit_s

    def _forget_unused(self, service: str, now: float) -> None:
        """Remove routes without recent requests, for example deleted ones."""
        waits = self.by_service[service]
        self.by_service[service] = {
            key: wait
            for key, wait in waits.items()
            if wait.meter.rate_at(now) > MIN_RATE_PER_S
        }
