"""Budget for retries, per service."""

import collections
import dataclasses

__all__ = ('RetryBudget',)

#: Retries as a part of recent requests (design page, section 7).
RETRY_PART = 0.1
#: Requests of this time count as recent, in seconds.
WINDOW_S = 10


@dataclasses.dataclass(slots=True)
class Interval:
    """Requests and retries of one second."""

    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Allows retries up to a part of the recent requests of a service.

    The caller asks only for idempotent requests; :class:`Router` refuses a
    second choice while the whole site sheds load.

    :param part: retries as a part of the recent requests.
    :param allowance: retries beyond that part.
    :param window_s: time for which requests count as recent, in seconds.
    """

    def __init__(
        self,
        part: float = RETRY_PART,
        allowance: float = 0,
        window_s: float = WINDOW_S,
    ) -> None:
        self.part = part
        self.allowance = allowance
        self.window_s = window_s
        self.services: dict[str, collections.deque[Interval]] = {}

    def record(self, service: str, now: float) -> None:
        """Count a request (its first attempt)."""
        self._current(service, now).requests += 1

    def allows(self, service: str, now: float) -> bool:
        """Take one retry from the budget if it is not used up."""
        current = self._current(service, now)
        intervals = self.services[service]
        requests = sum(row.requests for row in intervals)
        retries = sum(row.retries for row in intervals)
        if retries + 1 > requests * self.part + self.allowance:
            return False
        current.retries += 1
        return True

    def _current(self, service: str, now: float) -> Interval:
        intervals = self.services.setdefault(service, collections.deque())
        second = int(now)
        while intervals and intervals[0].second <= second - self.window_s:
            intervals.popleft()
        if not intervals or intervals[-1].second < second:
            intervals.append(Interval(second))
        return intervals[-1]
