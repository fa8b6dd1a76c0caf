"""Asynchronous admission over the fair queue."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from result import Err, Ok, Result

from egretmill.admission.entry import (
    LEAST_SERVICE_S,
    Attempt,
    Outcome,
    Waiting,
    is_transient,
)
from egretmill.admission.queue import FairQueue
from egretmill.errors import ErrorKind, Failure

__all__ = ('Gate',)


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Drop the call."""
        raise NotImplementedError


#: Schedules a call after seconds; by default the event loop's.
CallLater = Callable[[float, Callable[[], None]], Timer]
Answer = Result[Any, Failure]


def loop_call_later(delay_s: float, call: Callable[[], None]) -> Timer:
    """Schedule a call on the running event loop."""
    return asyncio.get_running_loop().call_later(delay_s, call)


def forget(grant: Any) -> None:
    """Drop a grant that holds nothing."""


def least_service_s(service: str) -> float:
    """Return the time that every request needs."""
    return LEAST_SERVICE_S


class Gate:
    """Admits requests at once or in the order of the queue.

    :param queue: holds the requests that wait.
    :param clock: monotonic time in seconds.
    :param give_back: takes a grant whose caller has gone meanwhile.
    :param call_later: schedules the next attempt.
    :param needs_s: expected seconds after admission, by service.
    """

    def __init__(
        self,
        queue: FairQueue,
        clock: Callable[[], float],
        give_back: Callable[[Any], None] = forget,
        call_later: CallLater = loop_call_later,
        needs_s: Callable[[str], float] = least_service_s,
    ) -> None:
        self.queue = queue
        self.clock = clock
        self.give_back = give_back
        self.call_later = call_later
        self.needs_s = needs_s
        self.futures: dict[Waiting, asyncio.Future[Answer]] = {}
        self.timer: Timer | None = None

    async def admit(
        self,
        service: str,
        account: str,
        deadline_at: float,
        attempt: Attempt,
    ) -> Answer:
        """Return the grant of ``attempt`` or a failure before the deadline.

        Cancelling the call gives the place or the grant back.
        """
        now = self.clock()
        if deadline_at - LEAST_SERVICE_S <= now:
            return Err(Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline is past'))
        shortage: Failure | None = None
        if self.queue.is_idle(service):
            answer = attempt(now)
            if isinstance(answer, Ok) or not is_transient(answer.err_value):
                return answer
            shortage = answer.err_value
        needs_s = self.needs_s(service)
        waiting = Waiting(service, account, deadline_at, attempt, 1, needs_s)
        future = asyncio.get_running_loop().create_future()
        self.futures[waiting] = future
        self._resolve(self.queue.push(waiting, now, shortage))
        self._serve()
        return await self._wait(waiting, future)

    def notify(self) -> None:
        """Try again: something was released, or a loan has arrived."""
        self.queue.unblock()
        self._serve()

    async def _wait(
        self,
        waiting: Waiting,
        future: asyncio.Future[Answer],
    ) -> Answer:
        try:
            return await future
        except asyncio.CancelledError:
            self._give_up(waiting, future)
            raise

    def _give_up(
        self,
        waiting: Waiting,
        future: asyncio.Future[Answer],
    ) -> None:
        self.futures.pop(waiting, None)
        self.queue.remove(waiting)
        if future.cancelled() or not future.done():
            return
        answer = future.result()
        if isinstance(answer, Ok):
            self.give_back(answer.ok_value)

    def _serve(self) -> None:
        self._resolve(self.queue.serve(self.clock()))
        self._schedule()

    def _resolve(self, outcomes: list[Outcome]) -> None:
        for waiting, answer in outcomes:
            future = self.futures.pop(waiting, None)
            if future is not None and not future.done():
                future.set_result(answer)
            elif isinstance(answer, Ok):
                self.give_back(answer.ok_value)

    def _schedule(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wake_at = self.queue.next_wake()
        if wake_at is not None:
            delay_s = max(wake_at - self.clock(), 0)
            self.timer = self.call_later(delay_s, self._serve)
