"""Asynchronous admission control on top of the fair queue."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Ok, Result

from egretmill.admission.entry import (
    MIN_SERVICE_S,
    Attempt,
    Outcome,
    QueuedRequest,
    is_transient,
)
from egretmill.admission.queue import FairQueue
from egretmill.errors import ErrorKind, Failure

__all__ = ('AdmissionController',)


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""
        raise NotImplementedError


#: Schedules a call after a delay in seconds.
CallLater = Callable[[float, Callable[[], None]], Timer]
AdmissionResult = Result[Any, Failure]


def call_later_on_loop(delay_s: float, call: Callable[[], None]) -> Timer:
    """Schedule a call on the running event loop."""
    return asyncio.get_running_loop().call_later(delay_s, call)


def ignore_grant(grant: Any) -> None:
    """Ignore a grant that holds no resources."""


def min_service_s(service: str) -> float:
    """Return the minimum service time, for services without statistics."""
    return MIN_SERVICE_S


class AdmissionController:
    """Admits requests immediately or in the order of the queue.

    :param queue: holds the requests that wait for admission.
    :param clock: returns the monotonic time in seconds.
    :param release_grant: releases a grant whose caller has disconnected.
    :param call_later: schedules the next attempt.
    :param expected_service_s: returns the expected service time of a service.
    """

    def __init__(
        self,
        queue: FairQueue,
        clock: Callable[[], float],
        release_grant: Callable[[Any], None] = ignore_grant,
        call_later: CallLater = call_later_on_loop,
        expected_service_s: Callable[[str], float] = min_service_s,
    ) -> None:
        self.queue = queue
        self.clock = clock
        self.release_grant = release_grant
        self.call_later = call_later
        self.expected_service_s = expected_service_s
        self.futures: dict[QueuedRequest, asyncio.Future[AdmissionResult]] = {}
        self.timer: Timer | None = None

    async def admit(
        self,
        service: str,
        account: str,
        deadline_at: float,
        attempt: Attempt,
    ) -> AdmissionResult:
        """Return the grant of ``attempt`` or a failure before the deadline.

        Cancelling the call removes the request from the queue or releases
        its grant.
        """
        now = self.clock()
        if deadline_at - MIN_SERVICE_S <= now:
            return Err(Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline is past'))
        last_failure: Failure | None = None
        if self.queue.is_empty_for(service):
            answer = attempt(now)
            if isinstance(answer, Ok) or not is_transient(answer.err_value):
                return answer
            last_failure = answer.err_value
        expected_service_s = self.expected_service_s(service)
        request = QueuedRequest(
            service, account, deadline_at, attempt, 1, expected_service_s
        )
        future = asyncio.get_running_loop().create_future()
        self.futures[request] = future
        self._complete(self.queue.push(request, now, last_failure))
        self._process_queue()
        return await self._wait_for(request, future)

    def retry_queued(self) -> None:
        """Retry the queued requests after a release or a received loan."""
        self.queue.unblock()
        self._process_queue()

    async def _wait_for(
        self,
        request: QueuedRequest,
        future: asyncio.Future[AdmissionResult],
    ) -> AdmissionResult:
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(request, future)
            raise

    def _abandon(
        self,
        request: QueuedRequest,
        future: asyncio.Future[AdmissionResult],
    ) -> None:
        self.futures.pop(request, None)
        self.queue.remove(request)
        if future.cancelled() or not future.done():
            return
        answer = future.result()
        if isinstance(answer, Ok):
            self.release_grant(answer.ok_value)

    def _process_queue(self) -> None:
        self._complete(self.queue.serve(self.clock()))
        self._schedule()

    def _complete(self, outcomes: list[Outcome]) -> None:
        for request, answer in outcomes:
            future = self.futures.pop(request, None)
            if future is not None and not future.done():
                future.set_result(answer)
            elif isinstance(answer, Ok):
                self.release_grant(answer.ok_value)

    def _schedule(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        next_try_at = self.queue.next_wake()
        if next_try_at is not None:
            delay_s = max(next_try_at - self.clock(), 0)
            self.timer = self.call_later(delay_s, self._process_queue)
