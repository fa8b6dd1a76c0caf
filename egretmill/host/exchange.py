"""Forwards one request of a caller, in one or more attempts at upstreams."""

import asyncio
import dataclasses

from result import Err, Ok, Result

from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.fleet.configuration import RouteKind
from egretmill.fleet.upstreams import Upstream
from egretmill.host import headers
from egretmill.host.answers import Refusal
from egretmill.host.exchange_log import (
    log_cut_body,
    log_early_answer,
    log_routing_decision,
)
from egretmill.host.request_check import AcceptedRequest
from egretmill.host.state import HostState
from egretmill.host.attempt_result import AttemptResult, classify_attempt
from egretmill.http1 import (
    Call,
    CallFailure,
    ClientConnection,
    FailureCause,
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
    UpstreamLoad,
    UpstreamSelector,
)
from egretmill.shares.accounts import Limited

__all__ = ('Exchange', 'finish_request')

#: Limit for opening a connection, in seconds; excludes the latency between
#: regions.
CONNECT_TIMEOUT_S = 0.3
#: A request that must not be repeated uses an idle connection only this soon
#: after its last response, in seconds: if a stale connection fails, it is not
#: known whether the upstream ran the request.
ONCE_MAX_IDLE_S = 0.5
#: An idempotent request can be sent again; upstreams close a connection after
#: ten seconds without requests.
IDEMPOTENT_MAX_IDLE_S = 8.0
#: An idempotent request waits this multiple of the expected time for the
#: response before it is sent to another upstream ...
SLOW_ATTEMPT_FACTOR = 3.0
#: ... and this long at least, in seconds.
MIN_ATTEMPT_S = 0.25
#: Lower bound of a sample of the service times, in seconds.
MIN_SERVICE_TIME_SAMPLE_S = 0.01


@dataclasses.dataclass(slots=True)
class Exchange:
    """Runs attempts until there is an answer for the caller.

    :param maybe_run: an upstream may have run the request.
    :param in_flight: the request is at an upstream now.
    :param sent_at: when the request was last sent to an upstream.
    :param retry_reserved: the next attempt is already counted in the retry
        budget.
    :param tried: upstreams that got the request.
    :param failed_response: error response of the last attempt, if any.
    :param unfinished: connection of the request if it was answered before its
        body was sent.
    """

    state: HostState
    pending: PendingAnswer
    accepted: AcceptedRequest
    maybe_run: bool = False
    in_flight: bool = False
    sent_at: float = 0
    retry_reserved: bool = False
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    failed_response: Response | None = None
    unfinished: ClientConnection | None = None

    async def run(self) -> Result[Response, Refusal]:
        """Return the response for the caller, or the refusal."""
        try:
            async with asyncio.timeout_at(self.accepted.deadline_at):
                return await self._run()
        except TimeoutError:
            return Err(self._timeout_refusal())

    @property
    def remaining_s(self) -> float:
        """Return the seconds until the final answer is due."""
        return self.accepted.deadline_at - self.state.now()

    @property
    def service_times(self) -> ServiceTimes:
        """Return the service times of the route at the service."""
        accepted = self.accepted
        return self.state.service_times_for(accepted.route, accepted.service)

    async def _run(self) -> Result[Response, Refusal]:
        if self.pending.head.has_body:
            await _wait_for_body(self)
        refused = await self._admit()
        if refused is not None:
            return Err(refused)
        served = await self._run_attempts()
        account = self.accepted.account
        if account is not None and not self.attempts:
            self.state.accounts.return_token(account, self.state.now())
        return served

    async def _admit(self) -> Refusal | None:
        """Take a token of the account's rate limit, or return a refusal."""
        account = self.accepted.account
        if account is None:
            return None
        state = self.state
        if account.is_limited and not state.share.fraction(state.now()):
            failure = Failure(ErrorKind.NOT_READY, 'no share of the rates yet')
            return Refusal.not_run(
                failure, state.share.active_in_s(state.now())
            )
        max_wait_s = max(self.remaining_s - self.service_times.warm_s, 0)
        admitted = state.accounts.admit(account, state.now(), max_wait_s)
        if isinstance(admitted, Limited):
            admitted = await state.tokens.acquire(
                account.name,
                admitted,
                max_wait_s,
            )
        if isinstance(admitted, Limited):
            held = state.accounts.held_fraction(account.name, state.now())
            detail = f'{held:.3f} of {account.rate_per_s:g}/s held here'
            failure = Failure(ErrorKind.RATE_LIMITED, detail)
            return Refusal.not_run(failure, admitted.retry_after_s)
        if admitted.wait_s:
            await asyncio.sleep(admitted.wait_s)
        return None

    async def _run_attempts(self) -> Result[Response, Refusal]:
        now = self.state.now()
        self.state.budget.record_request(self.accepted.service, now)
        while True:
            if not self.attempts and not self.state.serves:
                return Err(Refusal.leaving())
            selected = self._select_upstream()
            if isinstance(selected, Err):
                return self._finish_unsuccessfully(selected.err_value)
            attempted = await self._attempt(selected.ok_value)
            if isinstance(attempted, Ok):
                return attempted
            if not self._reserve_retry(attempted.err_value):
                return self._finish_unsuccessfully(attempted.err_value)

    def _select_upstream(self) -> Result[SelectedUpstream, Refusal]:
        match self._choose_untried():
            case SelectedUpstream() as selected:
                log_routing_decision(self, selected)
                return Ok(selected)
            case NoCapacity(wait_s):
                failure = Failure(
                    ErrorKind.OVERLOADED,
                    self.accepted.service,
                )
                return Err(Refusal.not_run(failure, wait_s))
            case NoUpstream(detail):
                failure = Failure(ErrorKind.NO_UPSTREAM, detail)
                return Err(Refusal.not_run(failure))

    def _choose_untried(self) -> SelectedUpstream | NoCapacity | NoUpstream:
        """Choose among the upstreams that this request was not sent to."""
        accepted = self.accepted
        order = self.state.pool.preference_order(
            accepted.service,
            accepted.object_key,
            accepted.home_regions,
            near_first=accepted.route.kind is RouteKind.UPLOAD,
        )
        service_times = self.service_times
        target_s = accepted.route.target_latency_s
        now = self.state.now()
        urgent_waits = self.state.urgent_waits
        urgent_waits.record(
            accepted.service,
            accepted.route.name,
            accepted.priority,
            service_times.max_wait_s(target_s),
            now,
        )
        selector = UpstreamSelector(
            accepted.object_key,
            self.state.pool.round_trips,
            service_times,
            target_s,
            self.remaining_s,
            accepted.route.is_idempotent,
            now,
            urgent_waits.limit_s(accepted.service, accepted.priority, now),
        )
        untried = [row for row in order if row.record.name not in self.tried]
        return selector.choose(untried)

    async def _attempt(
        self, selected: SelectedUpstream
    ) -> Result[Response, Refusal]:
        """Send the request to an upstream and record the result."""
        state = self.state
        load = selected.load
        record = load.record
        started_at = state.now()
        load.begin(started_at, self.accepted.object_key)
        attempt_result = AttemptResult.cancelled()
        try:
            attempted = await self._call(selected)
            attempt_result = classify_attempt(
                attempted, state.dialect, self.accepted.route
            )
        except asyncio.CancelledError:
            if self.remaining_s <= 0:
                attempt_result = AttemptResult.timed_out()
                state.pool.close_unused_since(load.record.name, self.sent_at)
            raise
        finally:
            now = state.now()
            load.finish(
                attempt_result.observation,
                now,
                started_at,
                attempt_result.load_report,
            )
            state.metrics.attempts.labels(
                self.accepted.service,
                attempt_result.end,
            ).inc()
        if attempt_result.load_report is not None:
            load.record_report(attempt_result.load_report, now)
        if attempt_result.stated_rate is not None:
            state.limits_of_upstreams.record_answer(
                load, attempt_result.stated_rate, now
            )
        _record_requests_of_upstream(state, record, attempt_result, now)
        if attempt_result.handled:
            _record_latency(self, selected, now - self.sent_at)
        self.maybe_run = self.maybe_run or attempt_result.maybe_run
        if attempt_result.response is not None:
            return Ok(attempt_result.response)
        _cut_request(self)
        self.failed_response = attempt_result.failed_response
        return Err(attempt_result.refusal or self._timeout_refusal())

    async def _call(
        self, selected: SelectedUpstream
    ) -> Result[Response, CallFailure]:
        idempotent = self.accepted.route.is_idempotent
        record = selected.load.record
        acquired = await self.state.pool.acquire(
            selected.load,
            self.state.now(),
            min(CONNECT_TIMEOUT_S, max(self.remaining_s, 0)),
            IDEMPOTENT_MAX_IDLE_S if idempotent else ONCE_MAX_IDLE_S,
        )
        if isinstance(acquired, Err):
            return acquired
        connection: ClientConnection = acquired.ok_value
        if not _can_send_to(self, selected.load):
            self.state.pool.release(selected.load, connection)
            self.retry_reserved = self.attempts > 0
            return Err(
                CallFailure(FailureCause.CANCELLED, False, 'no longer eligible')
            )
        self.attempts += 1
        self.tried.add(record.name)
        now = self.state.now()
        self.sent_at = now
        head = self.pending.head
        call = Call(
            head.method,
            head.target,
            _attempt_headers(self, record.name, now),
            self.pending.body,
            self.accepted.deadline_at,
            (self.state.dialect.request_id, self.accepted.request_id),
            head.fields.get(b'content-length'),
        )
        timer = asyncio.get_running_loop().call_at(
            now + max(selected.expected_s * SLOW_ATTEMPT_FACTOR, MIN_ATTEMPT_S),
            self._abandon_slow_upstream,
            connection,
        )
        self.in_flight = True
        try:
            attempted = await connection.send(call)
        finally:
            timer.cancel()
        self.in_flight = False
        if isinstance(attempted, Err):
            self.state.pool.close_unused_since(record.name, now)
        else:
            log_early_answer(self, record.name, connection, attempted.ok_value)
        if connection.sends_rest:
            self.unfinished = connection
        self.state.pool.release(selected.load, connection)
        return attempted

    def _abandon_slow_upstream(self, connection: ClientConnection) -> None:
        """Abandon a slow upstream if another attempt can follow.

        Without another attempt, this would only lose the response. A host that
        is shutting down lets requests in flight finish.
        """
        if self.state.leaving or not self.accepted.route.is_idempotent:
            return
        if (
            self.remaining_s < self.service_times.cold_s
            or not self._can_repeat()
        ):
            return
        if isinstance(
            self._choose_untried(), SelectedUpstream
        ) and self._spend_retry_budget('slow'):
            self.retry_reserved = True
            connection.time_out_call()

    def _can_repeat(self) -> bool:
        """Return whether attempt limit and body allow another attempt."""
        if self.attempts >= self.accepted.route.max_attempts:
            return False
        return self.pending.body.replayable

    def _spend_retry_budget(self, reason: str) -> bool:
        """Count a retry in the fleet's budget; return whether it is allowed."""
        service = self.accepted.service
        allowed = self.state.budget.try_spend(service, self.state.now())
        self.state.metrics.retries.labels(service, str(allowed)).inc()
        log_event(
            events.CATALOGUE.REQUEST_RETRIED,
            request_id=self.accepted.request_id.decode('latin-1'),
            reason=reason,
            attempt=self.attempts,
            allowed=allowed,
            left_ms=int(self.remaining_s * 1000),
        )
        return allowed

    def _reserve_retry(self, refusal: Refusal) -> bool:
        """Return whether to try again after a failure, and count the retry."""
        already_reserved = self.retry_reserved
        self.retry_reserved = False
        if self.maybe_run and not self.accepted.route.is_idempotent:
            return False
        if (
            self.remaining_s < self.service_times.warm_s
            or self.pending.is_caller_disconnected
        ):
            return False
        if not self.attempts:
            # Nothing was sent, so this does not count as a retry.
            return True
        if already_reserved:
            return True
        if not self._can_repeat():
            return False
        return self._spend_retry_budget(
            f'{refusal.kind.value}: {refusal.detail}'
        )

    def _finish_unsuccessfully(
        self, refusal: Refusal
    ) -> Result[Response, Refusal]:
        if self.failed_response is not None:
            return Ok(self.failed_response)
        if not self.maybe_run:
            return Err(refusal)
        kind = refusal.kind
        if kind not in {ErrorKind.UPSTREAM_FAILED, ErrorKind.UPSTREAM_TIMEOUT}:
            kind = ErrorKind.UPSTREAM_FAILED
        return Err(Refusal.unknown(Failure(kind, refusal.detail)))

    def _timeout_refusal(self) -> Refusal:
        if self.maybe_run or self.in_flight:
            failure = Failure(ErrorKind.UPSTREAM_TIMEOUT, 'deadline is past')
            return Refusal.unknown(failure)
        failure = Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline before sending')
        return Refusal.not_run(failure)


async def finish_request(exchange: Exchange) -> None:
    """Send the rest of a body whose request was answered early."""
    if exchange.unfinished is None:
        return
    deadline_at = exchange.accepted.deadline_at
    if not await exchange.unfinished.finish_request(deadline_at):
        log_cut_body(exchange)
    exchange.pending.body.discard()


async def _wait_for_body(exchange: Exchange) -> None:
    """Wait until the body can be sent; no upstream is needed meanwhile."""
    exchange.state.awaited_bodies += 1
    try:
        await exchange.pending.body.wait_until_forwardable()
    finally:
        exchange.state.awaited_bodies -= 1


def _can_send_to(exchange: Exchange, load: UpstreamLoad) -> bool:
    """Return whether a request can still be sent, after connecting."""
    state = exchange.state
    if not exchange.attempts and not state.serves:
        return False
    return state.pool.is_eligible(load)


def _cut_request(exchange: Exchange) -> None:
    """Send no more of a body whose early answer is not passed on."""
    if exchange.unfinished is not None:
        exchange.unfinished.abort()
        exchange.unfinished = None


def _record_latency(
    exchange: Exchange, selected: SelectedUpstream, took_s: float
) -> None:
    """Record the latency for the service times and the upstream's load."""
    now = exchange.state.now()
    if selected.has_free_slot:
        service_s = max(took_s - selected.rtt_s, MIN_SERVICE_TIME_SAMPLE_S)
        exchange.service_times.add(service_s, now, warm=selected.is_warm)
    selected.load.record_response(
        exchange.accepted.object_key,
        took_s,
        selected.expected_s,
        now,
    )


def _record_requests_of_upstream(
    state: HostState,
    record: Upstream,
    attempt_result: AttemptResult,
    now: float,
) -> None:
    """Record that an upstream asks for no more requests, or for a pause."""
    if attempt_result.is_leaving:
        state.on_leaving(record)
    if attempt_result.pause_s:
        state.pool.pauses.record(record, attempt_result.pause_s, now)
        state.metrics.pauses.labels(record.service).inc()


def _attempt_headers(
    exchange: Exchange, upstream: str, now: float
) -> list[Header]:
    """Return the headers of the forwarded request."""
    accepted = exchange.accepted
    left_ms = max(int((accepted.deadline_at - now) * 1000), 1)
    added = headers.AddedHeaders(upstream, accepted.account_name, left_ms)
    return list(
        headers.forwarded_headers(
            exchange.pending.head,
            exchange.state.dialect,
            added,
        ),
    )
