"""Where a non-idempotent request is registered before it runs."""

import asyncio
import uuid
from typing import Literal, Protocol

from result import Ok

from egretmill.entry.request import CallerRequest
from egretmill.entry.state import EntryState
from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.tickets import TicketRegistry
from egretmill.wire import Peer
from egretmill.wire.messages import (
    Claim,
    ClaimDecision,
    RecordAnswer,
    StoredAnswer,
)

__all__ = ('BookLedger', 'ClaimLedger', 'End', 'RequestLedger')

End = Literal['done', 'unknown', 'released']
UNAVAILABLE = ClaimDecision('unavailable')
# The agent decides within the time that it is given; the rest is for the
# message itself.
CALL_MARGIN_S = 0.2
RECORD_TIMEOUT_S = 2.0
RECORD_ATTEMPTS = 5
RECORD_PAUSE_S = 0.5
REPEAT_POLL_S = 0.02


class RequestLedger(Protocol):
    """Registers one request."""

    async def begin(self) -> ClaimDecision:
        """Decide whether the request may run."""

    async def end(self, end: End, answer: StoredAnswer | None) -> None:
        """Note how a granted request ended."""


class ClaimLedger:
    """A claim in the platform's table, made by the local agent."""

    def __init__(
        self,
        state: EntryState,
        agent: Peer,
        caller: CallerRequest,
        digest: str,
    ) -> None:
        """Prepare the claim of one request."""
        self.state = state
        self.agent = agent
        self.caller = caller
        self.digest = digest
        self.attempt_id = uuid.uuid4().hex

    async def begin(self) -> ClaimDecision:
        """Ask the agent; without its answer the request does not run.

        A claim whose answer was lost is released, because it will not be
        used.
        """
        remaining_s = self.caller.deadline_at - self.state.now()
        if remaining_s <= CALL_MARGIN_S:
            return UNAVAILABLE
        claim = Claim(
            account=self.caller.account_name,
            idempotency_key=self.caller.idempotency_key or '',
            request_digest=self.digest,
            attempt_id=self.attempt_id,
            timeout_s=remaining_s - CALL_MARGIN_S,
            incarnation=self.state.incarnation,
        )
        try:
            answer = await self.agent.call(claim, remaining_s)
        except asyncio.CancelledError:
            self.state.spawn(self.end('released', None))
            raise
        if isinstance(answer, Ok) and isinstance(
            answer.ok_value,
            ClaimDecision,
        ):
            return answer.ok_value
        self.state.spawn(self.end('released', None))
        return UNAVAILABLE

    async def end(self, end: End, answer: StoredAnswer | None) -> None:
        """Tell the agent, which keeps the record until it is written."""
        record = RecordAnswer(
            account=self.caller.account_name,
            idempotency_key=self.caller.idempotency_key or '',
            attempt_id=self.attempt_id,
            state=end,
            answer=answer,
        )
        for _ in range(RECORD_ATTEMPTS):
            told = await self.agent.call(record, RECORD_TIMEOUT_S)
            if isinstance(told, Ok) or is_final(told.err_value):
                return
            await asyncio.sleep(RECORD_PAUSE_S)
        self.state.metrics.count('ledger.record_lost')


def is_final(failure: Failure) -> bool:
    """Tell whether a record need not be sent again.

    The agent keeps what the platform does not take, and a record that it
    refuses stays refused. Only an unreachable agent has not seen it.
    """
    return failure.kind is not ErrorKind.PEER_UNREACHABLE


class BookLedger:
    """A ticket of this incarnation, kept in memory."""

    def __init__(
        self,
        state: EntryState,
        book: TicketRegistry,
        caller: CallerRequest,
        digest: str,
    ) -> None:
        """Prepare the ticket of one request."""
        self.state = state
        self.book = book
        self.caller = caller
        self.digest = digest

    async def begin(self) -> ClaimDecision:
        """Look the ticket up; a repeat waits for the running request."""
        while True:
            now = self.state.now()
            decision = self.book.begin(
                self.caller.idempotency_key or '',
                self.caller.account_name,
                self.digest,
                now,
            )
            left_s = self.caller.deadline_at - now
            if decision.status != 'in_progress' or left_s <= REPEAT_POLL_S:
                return decision
            await asyncio.sleep(REPEAT_POLL_S)

    async def end(self, end: End, answer: StoredAnswer | None) -> None:
        """Keep the end in the book."""
        self.book.finish(
            self.caller.idempotency_key or '',
            end,
            answer,
            self.state.now(),
        )
