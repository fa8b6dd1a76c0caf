"""Serves the requests that the HTTP handlers receive."""

import asyncio
import random

from result import Err, Ok, Result
from tornado.httputil import HTTPServerRequest

from egretmill import events
from egretmill.entry import headers as header_names
from egretmill.entry.body import Body
from egretmill.entry.exchange import Exchange
from egretmill.entry.forwarding import forward
from egretmill.entry.ledgers import TicketLedger, ClaimLedger, RequestLedger
from egretmill.entry.idempotency import request_digest, serve_once
from egretmill.entry.refusal import Refusal
from egretmill.entry.request import CallerRequest, parse_request
from egretmill.entry.sink import CallerSink
from egretmill.entry.state import EntryState
from egretmill.errors import ErrorKind, Failure
from egretmill.http1 import BufferBudget
from egretmill.ledger.claims import row_key
from egretmill.ledger.tickets import Ticket, TicketRegistry
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.wire import PeerClient

__all__ = ('EntryService',)

#: Memory for requests of all callers that are not answered yet.
CALLER_MEMORY_BYTES = 32 << 20


class EntryService:
    """Parses, registers, serves and logs the requests of one program."""

    def __init__(self, state: EntryState, agent: PeerClient) -> None:
        """Serve with a state and make claims through the local agent."""
        self.state = state
        self.agent = agent
        self.ticket_registry = TicketRegistry(
            state.settings.name, state.incarnation
        )
        self.rng = random.SystemRandom()
        #: Handlers of requests whose answer is not yet sent in full.
        self.open_requests: set[object] = set()
        self.caller_memory = BufferBudget(CALLER_MEMORY_BYTES)

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of the program."""
        return self.state.metrics

    def parse(
        self,
        request: HTTPServerRequest,
    ) -> Result[CallerRequest, Failure]:
        """Check a request head against the version in force.

        A route that needs a confirmed version is refused without one.
        """
        environment = self.state.environment
        if environment is None:
            return Err(Failure(ErrorKind.NOT_READY, 'no version is known yet'))
        parsed = parse_request(request, environment, self.state.now())
        if isinstance(parsed, Err):
            return parsed
        if not self.state.is_confirmed_for(parsed.ok_value.route):
            detail = f'version {environment.version} is not confirmed'
            return Err(Failure(ErrorKind.UNCONFIRMED, detail))
        return parsed

    async def serve(
        self,
        caller: CallerRequest,
        body: Body,
        sink: CallerSink,
    ) -> Result[None, Refusal]:
        """Serve a request; the answer goes to the sink."""
        self.state.running_requests += 1
        started_at = self.state.now()
        try:
            served = await self.dispatch(caller, body, sink)
        finally:
            self.state.running_requests -= 1
        duration_s = self.state.now() - started_at
        if isinstance(served, Ok):
            self.log_answer(caller, sink, duration_s)
        return served

    async def dispatch(
        self,
        caller: CallerRequest,
        body: Body,
        sink: CallerSink,
    ) -> Result[None, Refusal]:
        """Serve directly, by claim or by ticket, or forward to the issuer."""
        exchange = Exchange(self.state, caller, body, sink)
        if caller.idempotency_key is None or caller.route.idempotent:
            return await exchange.run()
        key_check = check_idempotency_key(caller)
        if isinstance(key_check, Err):
            return Err(Refusal.before_sending(key_check.err_value))
        ticket = Ticket.parse(caller.idempotency_key)
        if ticket is not None and ticket.host != self.state.settings.name:
            if header_names.FORWARDED_BY in caller.headers:
                failure = Failure(ErrorKind.OWNER_LOST, 'not the host named')
                return Err(Refusal.after_sending(failure))
            return await forward(self.state, ticket, caller, body, sink)
        ledger = self.ledger_for(ticket, caller, request_digest(caller, body))
        return await serve_once(ledger, exchange, sink)

    def ledger_for(
        self,
        ticket: Ticket | None,
        caller: CallerRequest,
        digest: str,
    ) -> RequestLedger:
        """Return the ledger in which the request is registered."""
        if ticket is not None:
            return TicketLedger(
                self.state, self.ticket_registry, caller, digest
            )
        return ClaimLedger(self.state, self.agent, caller, digest)

    def issue_ticket(self, request: HTTPServerRequest) -> Result[str, Failure]:
        """Issue a ticket to the client account of the request's key."""
        environment = self.state.environment
        if environment is None:
            return Err(Failure(ErrorKind.NOT_READY, 'no version is known yet'))
        account = environment.account_for(
            request.headers.get(header_names.API_KEY),
        )
        return account.and_then(
            lambda found: self.ticket_registry.issue(
                found.name,
                self.state.now(),
                self.rng,
            ),
        )

    def log_answer(
        self,
        caller: CallerRequest,
        sink: CallerSink,
        duration_s: float,
    ) -> None:
        """Log and count a request that was answered in full."""
        self.metrics.count(f'answered.{caller.route.service}')
        self.metrics.timing(f'answered.{caller.route.service}', duration_s)
        log_event(
            events.CATALOGUE.REQUEST_ANSWERED,
            request_id=caller.request_id,
            account=caller.account_name,
            service=caller.route.service,
            status=sink.status,
            duration_s=round(duration_s, 6),
        )

    def log_refusal(
        self,
        request_id: str,
        request: HTTPServerRequest,
        refusal: Refusal,
    ) -> None:
        """Log and count a request that got an error or a cut answer."""
        self.metrics.count(f'refused.{refusal.failure.kind.value}')
        log_event(
            events.CATALOGUE.REQUEST_REFUSED,
            request_id=request_id,
            method=request.method,
            path=request.path,
            kind=refusal.failure.kind.value,
            outcome=refusal.outcome.value,
            detail=refusal.failure.detail,
        )

    async def wait_until_drained(self) -> None:
        """Wait until no request is open and no background task runs.

        Background tasks hand the records of ended requests to the agent.
        """
        while (
            self.open_requests
            or self.state.running_requests
            or self.state.tasks
        ):
            await asyncio.sleep(0.02)


def check_idempotency_key(caller: CallerRequest) -> Result[str, Failure]:
    """Refuse a key that can never be claimed.

    Keys are unique per client account, and an open route has none.
    """
    if caller.account is None:
        detail = 'an Idempotency-Key needs a route with a client account'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    return row_key(caller.account_name, caller.idempotency_key or '')
