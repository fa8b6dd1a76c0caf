"""Serves one caller's request by one or more attempts at upstreams."""

import dataclasses
from collections.abc import AsyncIterator

from result import Err, Ok, Result

from egretmill import events
from egretmill.entry import headers as header_names
from egretmill.entry.admission import Admission, Grant
from egretmill.entry.body import Body, BufferedBody
from egretmill.entry.limits import LinkMeter
from egretmill.entry.refusal import Refusal
from egretmill.entry.request import CallerRequest
from egretmill.entry.sink import (
    HTTP_UNAVAILABLE,
    CallerSink,
    ShedFilterSink,
)
from egretmill.entry.state import EntryState
from egretmill.entry.upstream_call import (
    CONNECT_TIMEOUT_S,
    CallEnd,
    UpstreamCall,
    UpstreamTarget,
)
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.placement.observations import Observation, ObservationKind

__all__ = ('Exchange',)

MAX_ATTEMPTS = 4
# An idempotent request waits for the first byte for this fraction of its
# remaining time; the rest is left for another attempt.
FIRST_BYTE_TIME_FRACTION = 0.5

OBSERVATION_BY_ERROR = {
    ErrorKind.UPSTREAM_REFUSED: ObservationKind.REFUSED,
    ErrorKind.UPSTREAM_TIMEOUT: ObservationKind.TIMEOUT,
    ErrorKind.UPSTREAM_FAILED: ObservationKind.FAILED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class MeteredBody:
    """A body that is sent within the link's bandwidth share."""

    body: Body
    meter: LinkMeter

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks as the link share allows."""
        async for chunk in self.body.chunks():
            await self.meter.spend(len(chunk))
            yield chunk


class Exchange:
    """Makes attempts until one answers the caller or none may follow."""

    def __init__(
        self,
        state: EntryState,
        caller: CallerRequest,
        body: Body,
        sink: CallerSink,
    ) -> None:
        """Prepare to serve a request."""
        self.state = state
        self.caller = caller
        self.body = body
        self.sink = sink
        self.admission = Admission(state, caller)
        self.attempts = 0
        self.calls: list[UpstreamCall] = []

    @property
    def may_have_reached_upstream(self) -> bool:
        """Return whether a byte of the request may have reached an upstream."""
        return any(call.sent for call in self.calls)

    async def run(self) -> Result[None, Refusal]:
        """Serve the request; the answer goes to the sink.

        An error means that the caller has not received a complete answer.
        """
        service = self.caller.route.service
        self.state.retry_budget.record_request(service, self.state.now())
        while True:
            admitted = await self.admission.wait_for_grant()
            if isinstance(admitted, Err):
                return Err(self.make_refusal(admitted.err_value))
            ended = await self.run_attempt(admitted.ok_value)
            if isinstance(ended, Ok):
                return ended
            if not self.may_retry(ended.err_value):
                return Err(self.make_refusal(ended.err_value))
            self.prepare_retry(admitted.ok_value, ended.err_value)

    async def run_attempt(self, grant: Grant) -> Result[None, Failure]:
        """Make one attempt, then release its slot and record how it ended."""
        self.attempts += 1
        self.log_decision(grant)
        started_at = self.state.now()
        observed = ObservationKind.CANCELLED
        self.state.begin_attempt(grant)
        try:
            end, is_shed = await self.call_upstream(grant)
            observed = observation_of(end)
        finally:
            duration_s = self.state.now() - started_at
            self.state.end_attempt(grant, Observation(duration_s, observed))
        if end.kind is not None:
            return Err(failure_of(end))
        if is_shed:
            return Err(Failure(ErrorKind.UPSTREAM_SHED, grant.upstream.name))
        return Ok(None)

    async def call_upstream(self, grant: Grant) -> tuple[CallEnd, bool]:
        """Send the request to the chosen upstream.

        :returns: how the call ended and whether its answer was dropped
            because the upstream shed the request.
        """
        if self.caller.deadline_at <= self.state.now():
            # This program was paused past the deadline (for example
            # stopped); that does not count against the upstream.
            return CallEnd(ErrorKind.QUEUE_TIMEOUT, sent=False), False
        decision = grant.decision
        request_meter = self.make_meter(
            decision.from_region, decision.to_region
        )
        answer_meter = self.make_meter(decision.to_region, decision.from_region)
        sink = ShedFilterSink(self.sink, answer_meter)
        sink.drops_shed = self.is_repeatable()
        upstream = grant.upstream
        target = UpstreamTarget(
            upstream.address,
            upstream.port,
            self.caller.method,
            self.caller.uri,
        )
        call = UpstreamCall(target, sink)
        # Added before the call, which may end by a cancellation.
        self.calls.append(call)
        end = await call.run(
            self.upstream_headers(grant),
            MeteredBody(self.body, request_meter),
            CONNECT_TIMEOUT_S,
            self.caller.deadline_at,
            self.first_byte_deadline(),
        )
        return end, sink.is_dropping

    def make_meter(self, from_region: str, to_region: str) -> LinkMeter:
        """Return a meter for one direction of a link."""
        return LinkMeter(
            self.state.holdings,
            self.state.environment,
            from_region,
            to_region,
        )

    def upstream_headers(self, grant: Grant):
        """Return the request headers of an attempt."""
        upstream = grant.upstream
        return header_names.upstream_headers(
            self.caller.headers,
            f'{upstream.address}:{upstream.port}',
            self.caller.request_id,
            self.caller.remaining_ms(self.state.now()),
            self.body.size,
        )

    def first_byte_deadline(self) -> float:
        """Return the time on the loop's clock by which the answer begins."""
        deadline_at = self.caller.deadline_at
        if not self.is_repeatable():
            return deadline_at
        now = self.state.now()
        return now + (deadline_at - now) * FIRST_BYTE_TIME_FRACTION

    def is_repeatable(self) -> bool:
        """Return whether another attempt may follow one that was sent."""
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if not isinstance(self.body, BufferedBody):
            return False
        return self.caller.route.idempotent

    def may_retry(self, failure: Failure) -> bool:
        """Return whether to make another attempt after a failed one.

        A refused connection costs nothing, because no byte was sent. Any
        other retry is taken from the retry budget of the service.
        """
        if self.sink.started or self.attempts >= MAX_ATTEMPTS:
            return False
        if failure.kind is ErrorKind.UPSTREAM_REFUSED:
            return self.body.is_replayable
        if not self.is_repeatable():
            return False
        service = self.caller.route.service
        return self.state.retry_budget.try_spend(service, self.state.now())

    def make_refusal(self, failure: Failure) -> Refusal:
        """Return the refusal that becomes the caller's error answer."""
        if self.may_have_reached_upstream:
            return Refusal.after_sending(failure)
        return Refusal.before_sending(failure)

    def log_decision(self, grant: Grant) -> None:
        """Log and count the routing decision of an attempt."""
        decision = grant.decision
        self.state.metrics.count(f'routed.{decision.service}')
        log_event(
            events.CATALOGUE.REQUEST_ROUTED,
            request_id=self.caller.request_id,
            account=self.caller.account_name,
            service=decision.service,
            site=decision.site,
            upstream=decision.upstream.name,
            policy=decision.policy,
            attempt=self.attempts,
            reasons='; '.join(decision.reasons),
        )

    def prepare_retry(self, grant: Grant, failure: Failure) -> None:
        """Exclude the failed upstream; log and count the retry."""
        self.admission.exclude(grant.upstream.name)
        self.state.metrics.count(f'retried.{self.caller.route.service}')
        log_event(
            events.CATALOGUE.REQUEST_RETRIED,
            request_id=self.caller.request_id,
            upstream=grant.upstream.name,
            kind=failure.kind.value,
            detail=failure.detail,
        )


def failure_of(end: CallEnd) -> Failure:
    """Return the failure of a call.

    A deadline that passes before the send gives an outcome of "not run".
    """
    if end.kind is ErrorKind.UPSTREAM_TIMEOUT and not end.sent:
        return Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline before the send')
    return Failure(end.kind, end.detail)


def observation_of(end: CallEnd) -> ObservationKind:
    """Return what a call shows about the state of its upstream."""
    if end.caller_gone:
        return ObservationKind.CANCELLED
    if end.kind is not None:
        return OBSERVATION_BY_ERROR.get(end.kind, ObservationKind.CANCELLED)
    if end.draining:
        return ObservationKind.DRAINING
    if end.status == HTTP_UNAVAILABLE:
        return ObservationKind.SHED
    return ObservationKind.OK
