"""Ledgers that register a non-idempotent request before it runs."""

import asyncio
import uuid
from typing import Literal, Protocol

from result import Ok

from egretmill.entry.request import CallerRequest
from egretmill.entry.state import EntryState
from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.tickets import TicketRegistry
from egretmill.wire import PeerClient
from egretmill.wire.messages import (
    Claim,
    ClaimDecision,
    RecordAnswer,
    StoredAnswer,
)

__all__ = ('ClaimLedger', 'EndState', 'RequestLedger', 'TicketLedger')

EndState = Literal['done', 'unknown', 'released']
UNAVAILABLE = ClaimDecision('unavailable')
# Time for the message to the agent and back; the agent gets the rest of
# the request's time for its decision.
CALL_MARGIN_S = 0.2
RECORD_TIMEOUT_S = 2.0
RECORD_ATTEMPTS = 5
RECORD_RETRY_DELAY_S = 0.5
REPEAT_POLL_S = 0.02


class RequestLedger(Protocol):
    """Registers one request under its idempotency key."""

    async def register(self) -> ClaimDecision:
        """Decide whether the request may run."""

    async def record_end(
        self, end_state: EndState, answer: StoredAnswer | None
    ) -> None:
        """Record how a granted request ended."""


class ClaimLedger:
    """Registers a claim in the platform's table through the local agent."""

    def __init__(
        self,
        state: EntryState,
        agent: PeerClient,
        caller: CallerRequest,
        digest: str,
    ) -> None:
        """Prepare the claim of one request."""
        self.state = state
        self.agent = agent
        self.caller = caller
        self.digest = digest
        self.attempt_id = uuid.uuid4().hex

    async def register(self) -> ClaimDecision:
        """Ask the agent for a claim; without its answer nothing runs.

        A claim whose answer was lost may have been granted. It is released,
        because the request does not use it.
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
            self.state.spawn(self.record_end('released', None))
            raise
        if isinstance(answer, Ok) and isinstance(
            answer.ok_value,
            ClaimDecision,
        ):
            return answer.ok_value
        self.state.spawn(self.record_end('released', None))
        return UNAVAILABLE

    async def record_end(
        self, end_state: EndState, answer: StoredAnswer | None
    ) -> None:
        """Send the record to the agent, which keeps it until it is stored."""
        record = RecordAnswer(
            account=self.caller.account_name,
            idempotency_key=self.caller.idempotency_key or '',
            attempt_id=self.attempt_id,
            state=end_state,
            answer=answer,
        )
        for _ in range(RECORD_ATTEMPTS):
            recorded = await self.agent.call(record, RECORD_TIMEOUT_S)
            if isinstance(recorded, Ok) or is_final(recorded.err_value):
                return
            await asyncio.sleep(RECORD_RETRY_DELAY_S)
        self.state.metrics.count('ledger.record_lost')


def is_final(failure: Failure) -> bool:
    """Return whether sending the record again is of no use.

    The agent itself retries what the platform does not accept, and would
    refuse a refused record again. Only an unreachable agent may have missed
    the record.
    """
    return failure.kind is not ErrorKind.PEER_UNREACHABLE


class TicketLedger:
    """Registers a ticket of this incarnation in memory."""

    def __init__(
        self,
        state: EntryState,
        registry: TicketRegistry,
        caller: CallerRequest,
        digest: str,
    ) -> None:
        """Prepare the ticket of one request."""
        self.state = state
        self.registry = registry
        self.caller = caller
        self.digest = digest

    async def register(self) -> ClaimDecision:
        """Look up the ticket; a repeat waits for the running request.

        The wait ends shortly before the deadline of the repeat.
        """
        while True:
            now = self.state.now()
            decision = self.registry.begin(
                self.caller.idempotency_key or '',
                self.caller.account_name,
                self.digest,
                now,
            )
            remaining_s = self.caller.deadline_at - now
            if decision.status != 'in_progress' or remaining_s <= REPEAT_POLL_S:
                return decision
            await asyncio.sleep(REPEAT_POLL_S)

    async def record_end(
        self, end_state: EndState, answer: StoredAnswer | None
    ) -> None:
        """Record the end in the ticket registry."""
        self.registry.finish(
            self.caller.idempotency_key or '',
            end_state,
            answer,
            self.state.now(),
        )
