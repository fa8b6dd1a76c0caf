"""Reads that are sent again on a new connection while they are unanswered."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from result import Err, Ok

from egretmill.http1.client import (
    CallFailure,
    CallResult,
    ClientConnection,
    FailureCause,
)

__all__ = ('OverlappingRead', 'ReadAttempt', 'ReadTiming')

#: One on an idle connection and two on new ones.
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTiming:
    """How long a read may be without any byte of an answer, in seconds.

    :param idle_repeat_s: until a read on an idle connection is sent again.
    :param repeat_s: until a read on a new connection is sent again.
    :param silence_s: until the read fails.
    :param wait_s: for which the peer waits for a change before it answers the
        first attempt; the others do not wait.
    """

    idle_repeat_s: float
    repeat_s: float
    silence_s: float
    wait_s: float = 0


@dataclasses.dataclass(eq=False, slots=True)
class ReadAttempt:
    """One sending of a read.

    :param connection: ``None`` while a new one is being opened.
    :param due_at: loop time from which the attempt counts as unanswered.
    :param repeat_s: silence after which another attempt follows.
    """

    connection: ClientConnection | None
    sent_at: float = 0
    due_at: float = 0
    repeat_s: float = 0
    is_repetition: bool = False
    task: 'asyncio.Task[CallResult] | None' = None

    @property
    def has_answer_bytes(self) -> bool:
        """Return whether a part of the answer has arrived."""
        connection = self.connection
        return connection is not None and connection.received_at > self.sent_at

    @property
    def quiet_since(self) -> float:
        """Return since when an answer, or more of it, has been due."""
        if self.connection is None:
            return self.due_at
        return max(self.due_at, self.connection.received_at)


class OverlappingRead:
    """A read whose first complete answer counts, whichever attempt gets it.

    A connection may be broken where the peer is not, so a silent attempt is
    repeated. It is not given up for that: over a busy link its answer may
    only be late, and a repetition would be as late.

    :param send: sends the read once and returns the result; it sets the
        attempt's connection.
    """

    def __init__(
        self,
        send: Callable[[ReadAttempt], Awaitable[CallResult]],
        timing: ReadTiming,
    ) -> None:
        self.send = send
        self.timing = timing
        self.loop = asyncio.get_running_loop()
        self.attempts: list[ReadAttempt] = []
        self.started = 0
        self.failure = CallFailure(
            FailureCause.TIMEOUT, sent=True, detail='no response in time'
        )

    @property
    def silent_since(self) -> float | None:
        """Return when the first attempt was sent that got no byte so far."""
        return min(
            (
                attempt.sent_at
                for attempt in self.attempts
                if not attempt.has_answer_bytes
            ),
            default=None,
        )

    async def run(self, idle: ClientConnection | None) -> CallResult:
        """Return the first complete answer.

        :param idle: connection for the first attempt, if there is one.
        """
        self.start_attempt(idle, self.timing.wait_s)
        try:
            while self.attempts:
                answer = await self.wait_for_answer()
                if isinstance(answer, Ok):
                    return answer
                if self.loop.time() >= self.fails_at():
                    break
        finally:
            for attempt in self.attempts:
                if attempt.task is not None:
                    attempt.task.cancel()
        return Err(self.failure)

    def start_attempt(
        self, idle: ClientConnection | None, wait_s: float = 0
    ) -> None:
        """Send the read on an idle connection or on a new one."""
        now = self.loop.time()
        repeat_s = (
            self.timing.repeat_s if idle is None else self.timing.idle_repeat_s
        )
        attempt = ReadAttempt(
            idle, now, now + wait_s, repeat_s, is_repetition=self.started > 0
        )
        attempt.task = self.loop.create_task(self._send(attempt))
        self.attempts.append(attempt)
        self.started += 1

    async def wait_for_answer(self) -> CallResult | None:
        """Wait for the next step; return a complete answer if there is one."""
        step_at = min(self.repeats_at(), self.fails_at())
        done, _ = await asyncio.wait(
            [attempt.task for attempt in self.attempts if attempt.task],
            timeout=max(step_at - self.loop.time(), 0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for attempt in tuple(self.attempts):
            if attempt.task not in done:
                continue
            self.attempts.remove(attempt)
            answer = await attempt.task
            if isinstance(answer, Ok):
                return answer
            self.failure = answer.err_value
            if answer.err_value.reused and not self.attempts:
                # A connection that had been idle says little about the peer.
                self.start_attempt(None)
        if self.loop.time() >= self.repeats_at():
            self.start_attempt(None)
        return None

    def repeats_at(self) -> float:
        """Return when the read is sent again, infinity for never."""
        if not self.attempts or self.started >= MAX_ATTEMPTS:
            return float('inf')
        last = self.attempts[-1]
        quiet_since = max(attempt.quiet_since for attempt in self.attempts)
        return max(quiet_since, last.sent_at) + last.repeat_s

    def fails_at(self) -> float:
        """Return when the read fails if no byte arrives."""
        first_due_at = min(
            (attempt.due_at for attempt in self.attempts), default=0
        )
        received_at = max(
            (
                attempt.quiet_since
                for attempt in self.attempts
                if attempt.has_answer_bytes
            ),
            default=0,
        )
        return max(first_due_at, received_at) + self.timing.silence_s

    async def _send(self, attempt: ReadAttempt) -> CallResult:
        return await self.send(attempt)
