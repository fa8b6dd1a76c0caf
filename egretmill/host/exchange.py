"""One request of a caller through one or more attempts at upstreams."""

import asyncio
import dataclasses

from result import Err, Ok, Result

from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.fleet.configuration import RouteKind
from egretmill.host import headers
from egretmill.host.answers import Refusal
from egretmill.host.intake import Accepted
from egretmill.host.state import HostState
from egretmill.host.verdict import Verdict, judge
from egretmill.http1 import (
    Call,
    CallFailure,
    ClientConnection,
    PendingAnswer,
    Response,
)
from egretmill.http1.messages import Header
from egretmill.logs import log_event
from egretmill.placement import (
    NoCapacity,
    NoUpstream,
    SelectedUpstream,
    ServiceTimes,
    UpstreamSelector,
)
from egretmill.shares.accounts import Limited

__all__ = ('Exchange',)

#: Longest time for a new connection, without the way between regions.
CONNECT_LIMIT_S = 0.3
#: A request that must not be repeated uses a kept connection only this soon
#: after its last response: nobody can tell what became of a request on a
#: connection that has gone silent.
ONCE_IDLE_S = 0.5
#: An idempotent request can be sent again; upstreams keep a connection for
#: ten seconds, in seconds.
REPEATABLE_IDLE_S = 8.0
#: An idempotent request waits this multiple of the expected time for the
#: response before it is sent to another upstream ...
IMPATIENCE = 3.0
#: ... and this long at least, in seconds.
LEAST_ATTEMPT_S = 0.25
#: Least time that an attempt needs to make sense.
LEAST_LEFT_S = 0.01


@dataclasses.dataclass(slots=True)
class Exchange:
    """Runs attempts until one gives the caller an answer.

    :param maybe_run: an upstream may have run the request.
    :param sending: the request is at an upstream now.
    :param moving: another attempt is paid for from the budget.
    :param tried: upstreams that got the request.
    """

    state: HostState
    pending: PendingAnswer
    accepted: Accepted
    maybe_run: bool = False
    sending: bool = False
    moving: bool = False
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    failed_response: Response | None = None

    async def run(self) -> Result[Response, Refusal]:
        """Serve the request."""
        try:
            async with asyncio.timeout_at(self.accepted.deadline_at):
                return await self._run()
        except TimeoutError:
            return Err(self._timed_out())

    @property
    def left_s(self) -> float:
        """Return the time until the final answer is due."""
        return self.accepted.deadline_at - self.state.now()

    @property
    def times(self) -> ServiceTimes:
        """Return the work times of the route."""
        return self.state.times_for(self.accepted.route)

    async def _run(self) -> Result[Response, Refusal]:
        if self.pending.head.has_body:
            await self.pending.body.wait_until_forwardable()
        refused = await self._take_token()
        if refused is not None:
            return Err(refused)
        served = await self._serve()
        account = self.accepted.account
        if account is not None and not self.attempts:
            self.state.accounts.return_token(account, self.state.now())
        return served

    async def _take_token(self) -> Refusal | None:
        """Take the request from the rate of its account."""
        account = self.accepted.account
        if account is None:
            return None
        state = self.state
        if account.limited and not state.share.fraction(state.now()):
            failure = Failure(ErrorKind.NOT_READY, 'no share of the rates yet')
            return Refusal.not_run(failure)
        patience_s = self.left_s - self.times.warm_s
        admitted = state.accounts.admit(account, state.now(), patience_s)
        if isinstance(admitted, Limited):
            admitted = await state.tokens.borrow(
                account.name,
                admitted,
                patience_s,
            )
        if isinstance(admitted, Limited):
            held = state.accounts.held_fraction(account.name, state.now())
            detail = f'{held:.3f} of {account.rate_per_s:g}/s held here'
            failure = Failure(ErrorKind.RATE_LIMITED, detail)
            return Refusal.not_run(failure, admitted.retry_after_s)
        if admitted.wait_s:
            await asyncio.sleep(admitted.wait_s)
        return None

    async def _serve(self) -> Result[Response, Refusal]:
        self.state.budget.record_request(
            self.accepted.service, self.state.now()
        )
        while True:
            placed = self._place()
            if isinstance(placed, Err):
                return self._give_up(placed.err_value)
            ended = await self._attempt(placed.ok_value)
            if isinstance(ended, Ok):
                return ended
            if not self._may_retry(ended.err_value):
                return self._give_up(ended.err_value)

    def _place(self) -> Result[SelectedUpstream, Refusal]:
        match self._choose():
            case SelectedUpstream() as placed:
                _log_placed(self, placed)
                return Ok(placed)
            case NoCapacity(wait_s):
                failure = Failure(
                    ErrorKind.OVERLOADED,
                    self.accepted.service,
                )
                return Err(Refusal.not_run(failure, wait_s))
            case NoUpstream(detail):
                failure = Failure(ErrorKind.NO_UPSTREAM, detail)
                return Err(Refusal.not_run(failure))

    def _choose(self) -> SelectedUpstream | NoCapacity | NoUpstream:
        """Choose among the upstreams that have not had the request."""
        accepted = self.accepted
        settings = self.state.settings
        order = self.state.pool.order(
            accepted.service,
            accepted.object_key,
            accepted.home_regions,
            near_first=accepted.route.kind is RouteKind.UPLOAD,
        )
        placement = UpstreamSelector(
            accepted.object_key,
            settings.region,
            self.times,
            accepted.route.target_latency_s,
            self.left_s,
            accepted.route.idempotent,
            self.state.now(),
        )
        untried = [row for row in order if row.record.name not in self.tried]
        return placement.choose(untried)

    async def _attempt(
        self, placed: SelectedUpstream
    ) -> Result[Response, Refusal]:
        """Send the request to an upstream and learn from the end."""
        state = self.state
        load = placed.load
        started_at = state.now()
        load.begin(started_at, self.accepted.object_key)
        verdict = Verdict.cancelled()
        try:
            ended = await self._call(placed)
            verdict = judge(ended, state.dialect, self.accepted.route)
        except asyncio.CancelledError:
            if self.left_s <= 0:
                verdict = Verdict.timed_out()
            raise
        finally:
            now = state.now()
            load.finish(verdict.observation, now, started_at)
            state.metrics.attempts.labels(
                self.accepted.service,
                verdict.end,
            ).inc()
        if verdict.report is not None:
            load.record_report(verdict.report, now)
        if verdict.ran:
            _learn(self, placed, now - started_at)
        self.maybe_run = self.maybe_run or verdict.maybe_run
        if verdict.response is not None:
            return Ok(verdict.response)
        self.failed_response = verdict.failed_response
        return Err(verdict.refusal or self._timed_out())

    async def _call(
        self, placed: SelectedUpstream
    ) -> Result[Response, CallFailure]:
        idempotent = self.accepted.route.idempotent
        record = placed.load.record
        acquired = await self.state.pool.acquire(
            placed.load,
            self.state.now(),
            min(CONNECT_LIMIT_S, max(self.left_s, 0)),
            REPEATABLE_IDLE_S if idempotent else ONCE_IDLE_S,
        )
        if isinstance(acquired, Err):
            return acquired
        connection: ClientConnection = acquired.ok_value
        self.attempts += 1
        self.tried.add(record.name)
        now = self.state.now()
        head = self.pending.head
        call = Call(
            head.method,
            head.target,
            _headers(self, record.name, now),
            self.pending.body,
            self.accepted.deadline_at,
            (self.state.dialect.request_id, self.accepted.request_id),
            head.fields.get(b'content-length'),
        )
        timer = asyncio.get_running_loop().call_at(
            now + max(placed.expected_s * IMPATIENCE, LEAST_ATTEMPT_S),
            self._lose_patience,
            connection,
        )
        self.sending = True
        try:
            ended = await connection.send(call)
        finally:
            timer.cancel()
        self.sending = False
        self.state.pool.release(placed.load, connection)
        return ended

    def _lose_patience(self, connection: ClientConnection) -> None:
        """Leave a slow upstream if another attempt follows.

        Breaking off without one would only lose the response. A host that
        leaves lets what runs come to its end.
        """
        if self.state.leaving or not self.accepted.route.idempotent:
            return
        if self.left_s < self.times.cold_s or not self._repeatable():
            return
        if isinstance(self._choose(), SelectedUpstream) and self._take_retry(
            'slow'
        ):
            self.moving = True
            connection.time_out_call()

    def _repeatable(self) -> bool:
        """Tell whether attempts and body allow another attempt."""
        if self.attempts >= self.accepted.route.max_attempts:
            return False
        return self.pending.body.replayable

    def _take_retry(self, reason: str) -> bool:
        """Take an attempt from the fleet's budget."""
        service = self.accepted.service
        allowed = self.state.budget.try_spend(service, self.state.now())
        self.state.metrics.retries.labels(service, str(allowed)).inc()
        log_event(
            events.CATALOGUE.REQUEST_RETRIED,
            request_id=self.accepted.request_id.decode('latin-1'),
            reason=reason,
            attempt=self.attempts,
            allowed=allowed,
            left_ms=int(self.left_s * 1000),
        )
        return allowed

    def _may_retry(self, refusal: Refusal) -> bool:
        """Decide on another attempt after a failed one."""
        paid = self.moving
        self.moving = False
        if self.maybe_run and not self.accepted.route.idempotent:
            return False
        if (
            self.left_s < self.times.warm_s
            or self.pending.is_caller_disconnected
        ):
            return False
        if not self.attempts:
            # Nothing was sent: a failed connection is no arrival.
            return True
        if paid:
            return True
        if not self._repeatable():
            return False
        return self._take_retry(f'{refusal.kind.value}: {refusal.detail}')

    def _give_up(self, refusal: Refusal) -> Result[Response, Refusal]:
        if self.failed_response is not None:
            return Ok(self.failed_response)
        if not self.maybe_run:
            return Err(refusal)
        kind = refusal.kind
        if kind not in {ErrorKind.UPSTREAM_FAILED, ErrorKind.UPSTREAM_TIMEOUT}:
            kind = ErrorKind.UPSTREAM_FAILED
        return Err(Refusal.unknown(Failure(kind, refusal.detail)))

    def _timed_out(self) -> Refusal:
        if self.maybe_run or self.sending:
            failure = Failure(ErrorKind.UPSTREAM_TIMEOUT, 'deadline is past')
            return Refusal.unknown(failure)
        failure = Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline before sending')
        return Refusal.not_run(failure)


def _learn(exchange: Exchange, placed: SelectedUpstream, took_s: float) -> None:
    """Learn work and slowness from a response."""
    if placed.has_free_slot:
        exchange.times.add(max(took_s, LEAST_LEFT_S), warm=placed.is_warm)
    placed.load.record_response(
        exchange.accepted.object_key,
        took_s,
        placed.expected_s,
        exchange.state.now(),
    )


def _headers(exchange: Exchange, upstream: str, now: float) -> list[Header]:
    """Return the headers of an attempt."""
    accepted = exchange.accepted
    left_ms = max(int((accepted.deadline_at - now) * 1000), 1)
    added = headers.Added(upstream, accepted.account_name, left_ms)
    return list(
        headers.for_upstream(
            exchange.pending.head,
            exchange.state.dialect,
            added,
        ),
    )


def _log_placed(exchange: Exchange, placed: SelectedUpstream) -> None:
    """Write the decision with its inputs and their age."""
    accepted = exchange.accepted
    load = placed.load
    now = exchange.state.now()
    log_event(
        events.CATALOGUE.REQUEST_ROUTED,
        request_id=accepted.request_id.decode('latin-1'),
        account=accepted.account_name,
        service=accepted.service,
        upstream=load.record.name,
        domain=load.record.failure_domain,
        attempt=exchange.attempts + 1,
        version=accepted.version,
        knowledge_age_s=round(exchange.state.knowledge.keyed_age(), 3),
        load=round(load.estimated_requests(now), 1),
        report_age_s=round(min(now - load.reported_at, 999), 3),
        slots=load.record.slots,
        warm=placed.is_warm,
        expected_ms=int(placed.expected_s * 1000),
        left_ms=int(exchange.left_s * 1000),
    )
