"""What the handlers of the entry program call."""

import asyncio
import random

from result import Err, Ok, Result
from tornado.httputil import HTTPServerRequest

from egretmill import events
from egretmill.entry import headers as header_names
from egretmill.entry.body import Body
from egretmill.entry.exchange import Exchange
from egretmill.entry.forwarding import forward
from egretmill.entry.ledgers import BookLedger, ClaimLedger, RequestLedger
from egretmill.entry.once import request_digest, serve_once
from egretmill.entry.refusal import Refusal
from egretmill.entry.request import CallerRequest, parse_request
from egretmill.entry.sink import CallerSink
from egretmill.entry.state import EntryState
from egretmill.errors import ErrorKind, Failure
from egretmill.ledger.claims import row_key
from egretmill.ledger.tickets import Ticket, TicketRegistry
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.wire import Peer

__all__ = ('EntryService',)


class EntryService:
    """Serves requests with the state of one entry program."""

    def __init__(self, state: EntryState, agent: Peer) -> None:
        """Serve with a state; claims go through the local agent."""
        self.state = state
        self.agent = agent
        self.book = TicketRegistry(state.settings.name, state.incarnation)
        self.rng = random.SystemRandom()
        #: Handlers of requests whose answer is not sent yet.
        self.open_requests: set[object] = set()

    @property
    def metrics(self) -> Metrics:
        """Return the metrics of the program."""
        return self.state.metrics

    def parse(
        self,
        request: HTTPServerRequest,
    ) -> Result[CallerRequest, Failure]:
        """Check a request head against the version in force now."""
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
        self.state.running += 1
        started_at = self.state.now()
        try:
            served = await self.dispatch(caller, body, sink)
        finally:
            self.state.running -= 1
        took_s = self.state.now() - started_at
        if isinstance(served, Ok):
            self.log_answer(caller, sink, took_s)
        return served

    async def dispatch(
        self,
        caller: CallerRequest,
        body: Body,
        sink: CallerSink,
    ) -> Result[None, Refusal]:
        """Choose between a plain request, a claim and a ticket."""
        exchange = Exchange(self.state, caller, body, sink)
        if caller.idempotency_key is None or caller.route.idempotent:
            return await exchange.run()
        usable = check_idempotency_key(caller)
        if isinstance(usable, Err):
            return Err(Refusal.before_sending(usable.err_value))
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
        """Return where the request is registered."""
        if ticket is not None:
            return BookLedger(self.state, self.book, caller, digest)
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
            lambda found: self.book.issue(
                found.name,
                self.state.now(),
                self.rng,
            ),
        )

    def log_answer(
        self,
        caller: CallerRequest,
        sink: CallerSink,
        took_s: float,
    ) -> None:
        """Write that a request was answered in full."""
        self.metrics.count(f'answered.{caller.route.service}')
        self.metrics.timing(f'answered.{caller.route.service}', took_s)
        log_event(
            events.CATALOGUE.REQUEST_ANSWERED,
            request_id=caller.request_id,
            account=caller.account_name,
            service=caller.route.service,
            status=sink.status,
            duration_s=round(took_s, 6),
        )

    def log_refusal(
        self,
        request_id: str,
        request: HTTPServerRequest,
        refusal: Refusal,
    ) -> None:
        """Write that a request got an error answer or a cut one."""
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

    async def drained(self) -> None:
        """Wait until no request is open and all records are handed over."""
        while self.open_requests or self.state.running or self.state.tasks:
            await asyncio.sleep(0.02)


def check_idempotency_key(caller: CallerRequest) -> Result[str, Failure]:
    """Refuse a key that can never be claimed.

    Callers of an open route have no account that keeps their keys apart.
    """
    if caller.account is None:
        detail = 'an Idempotency-Key needs a route with a client account'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    return row_key(caller.account_name, caller.idempotency_key or '')
