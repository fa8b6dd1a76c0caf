"""Handles the requests of callers on the entry address."""

import asyncio
import dataclasses
import functools
import random

from result import Err

from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.host.answers import Refusal, refusal_response
from egretmill.host.callers import CallerConnections
from egretmill.host.descriptors import DescriptorPlan
from egretmill.host.event_loop import IterationTimer
from egretmill.host.exchange import Exchange, finish_request
from egretmill.host.exchange_log import log_caller_gone
from egretmill.host.request_check import AcceptedRequest, check_request
from egretmill.host.link_budget import LinkBudget
from egretmill.host.memory import MemoryPlan
from egretmill.host.state import HostState
from egretmill.http1 import (
    CallerMemory,
    ConnectionLimits,
    ConnectionUsage,
    Eviction,
    Intake,
    PendingAnswer,
    Response,
    ServerConnection,
)
from egretmill.logs import log_event

__all__ = ('EntryHandler',)

#: Retry-After of a host that serves as many requests as it can, in seconds;
#: another host may have room at once.
OVERLOADED_RETRY_S = 0.25
#: Requests that are read later than this in an iteration of the event loop are
#: refused, in seconds. The accepted ones are sent on in the next iteration;
#: with more of them, callers would leave before that.
MAX_ITERATION_S = 0.1
#: Idle connections to close when the limit is exceeded.
IDLE_CLOSED_AT_ONCE = 4


class EntryHandler:
    """Starts an exchange for each accepted request."""

    def __init__(self, state: HostState) -> None:
        """Handle requests with the state of the host."""
        self.state = state
        self.rng = random.Random()  # noqa: S311
        self.tasks: set[asyncio.Task[None]] = set()
        self.usage = ConnectionUsage()
        #: Timer of the event loop, if it has one.
        self.iterations: IterationTimer | None = None
        self.plan = DescriptorPlan.from_limit(state.settings.descriptors)
        self.connections = CallerConnections(self.plan.callers, state.now)
        memory = MemoryPlan.from_limit(state.settings.memory_bytes)
        self.memory = CallerMemory(
            memory.callers, functools.partial(record_eviction, state)
        )
        self.intake = Intake()
        capacity = state.settings.capacity
        self.link = LinkBudget(capacity.link_bytes_per_s, state.now)

    @property
    def limits(self) -> ConnectionLimits:
        """Return the current limits of connections."""
        return self.state.limits

    @property
    def leaving(self) -> bool:
        """Return whether connections close after the next answer."""
        return self.state.leaving

    @property
    def is_busy(self) -> bool:
        """Return whether callers are connected or requests are forwarded.

        The rest of a body can still be forwarded when its caller has gone.
        """
        return bool(len(self.connections) or self.tasks)

    def connection_opened(self, connection: ServerConnection) -> None:
        """Track a new connection; close idle ones if there are too many.

        Without free descriptors, the host could not accept the connections of
        other callers.
        """
        if self.connections.room <= 0:
            self.connections.close_idle(IDLE_CLOSED_AT_ONCE)
        self.connections.add(connection)
        self.state.metrics.accepted.inc()

    def is_loop_late(self, now: float) -> bool:
        """Return whether the loop has handled its last events for too long."""
        if self.iterations is None:
            return False
        return now - self.iterations.woke_at > MAX_ITERATION_S

    def free_descriptors(self) -> None:
        """Close idle connections of callers and upstreams."""
        self.connections.close_idle(IDLE_CLOSED_AT_ONCE)
        self.state.pool.close_all_idle()

    def connection_closed(self, connection: ServerConnection) -> None:
        """Stop tracking a closed connection."""
        self.connections.remove(connection)

    def request_rejected(self, status: int, reason: str) -> None:
        """Log and count a request that could not be parsed."""
        self.state.metrics.refusals.labels('unreadable', 'not-run').inc()
        log_event(
            events.CATALOGUE.REQUEST_UNREADABLE,
            status=status,
            reason=reason,
        )

    def refuse_for_memory(self, pending: PendingAnswer) -> None:
        """Refuse a request that is received, to keep less in memory."""
        self.refuse_overloaded(pending, 'callers keep too much memory')

    def start_request(self, pending: PendingAnswer) -> None:
        """Check a request and start its exchange, or refuse it."""
        if pending.is_late or not self.state.serves:
            self.refuse(pending, Refusal.leaving())
            return
        if self.is_loop_late(pending.head.received_at):
            self.refuse_overloaded(pending, 'event loop is late')
            return
        at_work = len(self.tasks) - self.state.awaited_bodies
        if at_work >= self.plan.requests:
            # Its descriptor is needed by another caller.
            pending.keep_alive = False
            self.refuse_overloaded(pending, 'too many requests at work')
            return
        accepted = check_request(pending.head, self.state, self.rng)
        if isinstance(accepted, Err):
            self.refuse(pending, accepted.err_value)
            return
        if not self.link.try_take():
            self.refuse_overloaded(pending, 'link is full')
            return
        coroutine = self.serve(pending, accepted.ok_value)
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        connection = pending.connection
        self.connections.mark_busy(connection)
        task.add_done_callback(lambda _: self.connections.mark_idle(connection))
        pending.on_disconnect = task.cancel

    def refuse_overloaded(self, pending: PendingAnswer, detail: str) -> None:
        """Refuse a request that the host has no room for."""
        failure = Failure(ErrorKind.OVERLOADED, detail)
        self.refuse(pending, Refusal.not_run(failure, OVERLOADED_RETRY_S))

    async def serve(
        self, pending: PendingAnswer, accepted: AcceptedRequest
    ) -> None:
        """Run the exchange and send its answer."""
        exchange = Exchange(self.state, pending, accepted)
        try:
            served = await exchange.run()
        except asyncio.CancelledError:
            if pending.response is None:
                log_caller_gone(exchange)
            raise
        except Exception as error:  # noqa: BLE001
            self.fail(pending, accepted, exchange, error)
            return
        if isinstance(served, Err):
            if not exchange.attempts:
                self.link.give_back()
            self.refuse(pending, served.err_value, accepted, exchange)
            return
        self.answer(pending, accepted, exchange, served.ok_value)
        await finish_request(exchange)

    def answer(
        self,
        pending: PendingAnswer,
        accepted: AcceptedRequest,
        exchange: Exchange,
        response: Response,
    ) -> None:
        """Send an upstream's response to the caller."""
        self.link.record(pending.body.received_bytes + len(response.body))
        took_s = self.state.now() - pending.head.received_at
        route = accepted.route.name
        metrics = self.state.metrics
        metrics.answers.labels(route, str(response.status)).inc()
        metrics.latency.labels(route).observe(took_s)
        log_event(
            events.CATALOGUE.REQUEST_ANSWERED,
            request_id=accepted.request_id.decode('latin-1'),
            account=accepted.account_name,
            route=route,
            status=response.status,
            attempts=exchange.attempts,
            version=accepted.version,
            took_ms=int(took_s * 1000),
        )
        keeps_body = exchange.unfinished is not None
        pending.answer(response, keeps_body=keeps_body)

    def refuse(
        self,
        pending: PendingAnswer,
        refusal: Refusal,
        accepted: AcceptedRequest | None = None,
        exchange: Exchange | None = None,
    ) -> None:
        """Answer with a refusal of this host."""
        kind = refusal.kind.value
        outcome = refusal.outcome.value
        self.state.metrics.refusals.labels(kind, outcome).inc()
        fields = pending.head.fields
        identifier = fields.get(self.state.dialect.request_id, b'')
        took_s = self.state.now() - pending.head.received_at
        log_event(
            events.CATALOGUE.REQUEST_REFUSED,
            request_id=identifier.decode('latin-1'),
            kind=kind,
            outcome=outcome,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after_s,
            account=accepted.account_name if accepted else '',
            route=accepted.route.name if accepted else '',
            attempts=exchange.attempts if exchange else 0,
            version=accepted.version if accepted else self.state.view.version,
            knowledge_age_s=round(self.state.view.configuration_age_s(), 3),
            confirmed_by=self.state.view.configuration_freshness.source,
            took_ms=int(took_s * 1000),
        )
        pending.answer(refusal_response(refusal, self.state.dialect))

    def fail(
        self,
        pending: PendingAnswer,
        accepted: AcceptedRequest,
        exchange: Exchange,
        error: Exception,
    ) -> None:
        """Log an unexpected exception and answer with an internal error."""
        log_event(
            events.CATALOGUE.HANDLER_FAILED,
            request_id=accepted.request_id.decode('latin-1'),
            error=repr(error),
        )
        self.refuse(pending, Refusal.internal(error), accepted, exchange)


def record_eviction(state: HostState, eviction: Eviction) -> None:
    """Log and count connections that were ended for their memory."""
    state.metrics.callers_evicted.inc(eviction.connections)
    log_event(events.CATALOGUE.CALLERS_EVICTED, **dataclasses.asdict(eviction))
