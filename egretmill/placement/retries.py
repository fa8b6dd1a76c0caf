"""Retry budget per service."""

import collections
import dataclasses

__all__ = ('RetryBudget',)

#: Retries relative to recent requests (design page, section 7).
RETRY_RATIO = 0.1
#: Window of recent requests, in seconds.
WINDOW_S = 10


@dataclasses.dataclass(slots=True)
class SecondCounts:
    """Requests and retries in one second of the window."""

    second: int
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limits the retries of a service relative to its recent requests.

    Callers must use it for idempotent requests only. :class:`Router` refuses
    retries while the whole site sheds load.

    :param ratio: maximum ratio of retries to recent requests.
    :param allowance: retries per window in addition to that ratio.
    :param window_s: window of recent requests, in seconds.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        allowance: float = 0,
        window_s: float = WINDOW_S,
    ) -> None:
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.counts_by_service: dict[str, collections.deque[SecondCounts]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request when its first attempt starts."""
        self._current_second(service, now).requests += 1

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        counts_now = self._current_second(service, now)
        seconds = self.counts_by_service[service]
        requests = sum(counts.requests for counts in seconds)
        retries = sum(counts.retries for counts in seconds)
        if retries + 1 > requests * self.ratio + self.allowance:
            return False
        counts_now.retries += 1
        return True

    def _current_second(self, service: str, now: float) -> SecondCounts:
        seconds = self.counts_by_service.setdefault(
            service, collections.deque()
        )
        second = int(now)
        while seconds and seconds[0].second <= second - self.window_s:
            seconds.popleft()
        if not seconds or seconds[-1].second < second:
            seconds.append(SecondCounts(second))
        return seconds[-1]
