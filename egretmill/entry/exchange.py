"""One caller's request through one or more attempts at upstreams."""

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
    SheddingSink,
)
from egretmill.entry.state import EntryState
from egretmill.entry.upstream_call import (
    CONNECT_LIMIT_S,
    CallEnd,
    UpstreamCall,
    UpstreamTarget,
)
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.placement.observations import Observation, ObservationKind

__all__ = ('Exchange',)

MAX_ATTEMPTS = 4
# An idempotent request leaves this part of its time for another attempt.
FIRST_ATTEMPT_SHARE = 0.5

OBSERVATIONS = {
    ErrorKind.UPSTREAM_REFUSED: ObservationKind.REFUSED,
    ErrorKind.UPSTREAM_TIMEOUT: ObservationKind.TIMEOUT,
    ErrorKind.UPSTREAM_FAILED: ObservationKind.FAILED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class MeteredBody:
    """A body whose bytes are counted on a link while they are sent."""

    body: Body
    meter: LinkMeter

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body inside the share of the link."""
        async for chunk in self.body.chunks():
            await self.meter.spend(len(chunk))
            yield chunk


class Exchange:
    """Runs attempts until one gives the caller an answer."""

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
    def sent(self) -> bool:
        """Tell whether a byte may have reached an upstream."""
        return any(call.sent for call in self.calls)

    async def run(self) -> Result[None, Refusal]:
        """Serve the request; the answer goes to the sink.

        An error means that the caller has not got a whole answer.
        """
        service = self.caller.route.service
        self.state.budget.record_request(service, self.state.now())
        while True:
            admitted = await self.admission.wait()
            if isinstance(admitted, Err):
                return Err(self.refusal(admitted.err_value))
            ended = await self.attempt(admitted.ok_value)
            if isinstance(ended, Ok):
                return ended
            if not self.may_retry(ended.err_value):
                return Err(self.refusal(ended.err_value))
            self.log_retry(admitted.ok_value, ended.err_value)

    async def attempt(self, grant: Grant) -> Result[None, Failure]:
        """Make one attempt and give back what it held."""
        self.attempts += 1
        self.log_routed(grant)
        started_at = self.state.now()
        observed = ObservationKind.CANCELLED
        self.state.begin(grant)
        try:
            end, shed = await self.call(grant)
            observed = observation_of(end)
        finally:
            took_s = self.state.now() - started_at
            self.state.finish(grant, Observation(took_s, observed))
        if end.kind is not None:
            return Err(failure_of(end))
        if shed:
            return Err(Failure(ErrorKind.UPSTREAM_SHED, grant.upstream.name))
        return Ok(None)

    async def call(self, grant: Grant) -> tuple[CallEnd, bool]:
        """Send the request to the chosen upstream.

        :returns: how the call ended and whether its answer was held back
            because the upstream shed the request.
        """
        if self.caller.deadline_at <= self.state.now():
            # A pause of this program is no failure of the upstream.
            return CallEnd(ErrorKind.QUEUE_TIMEOUT, sent=False), False
        decision = grant.decision
        outward = self.meter(decision.from_region, decision.to_region)
        homeward = self.meter(decision.to_region, decision.from_region)
        sink = SheddingSink(self.sink, homeward)
        sink.hold_shed = self.is_repeatable()
        upstream = grant.upstream
        target = UpstreamTarget(
            upstream.address,
            upstream.port,
            self.caller.method,
            self.caller.uri,
        )
        call = UpstreamCall(target, sink)
        # Kept before the call, which may end by a cancellation.
        self.calls.append(call)
        end = await call.run(
            self.upstream_headers(grant),
            MeteredBody(self.body, outward),
            CONNECT_LIMIT_S,
            self.caller.deadline_at,
            self.first_byte_deadline(),
        )
        return end, sink.dropping

    def meter(self, from_region: str, to_region: str) -> LinkMeter:
        """Return the meter of one direction of a link."""
        return LinkMeter(
            self.state.holdings,
            self.state.environment,
            from_region,
            to_region,
        )

    def upstream_headers(self, grant: Grant):
        """Return the headers of the attempt."""
        upstream = grant.upstream
        return header_names.upstream_headers(
            self.caller.headers,
            f'{upstream.address}:{upstream.port}',
            self.caller.request_id,
            self.caller.remaining_ms(self.state.now()),
            self.body.size,
        )

    def first_byte_deadline(self) -> float:
        """Return when the answer must begin on the loop's clock."""
        deadline_at = self.caller.deadline_at
        if not self.is_repeatable():
            return deadline_at
        now = self.state.now()
        return now + (deadline_at - now) * FIRST_ATTEMPT_SHARE

    def is_repeatable(self) -> bool:
        """Tell whether the request may be sent more than once."""
        if self.attempts >= MAX_ATTEMPTS:
            return False
        if not isinstance(self.body, BufferedBody):
            return False
        return self.caller.route.idempotent

    def may_retry(self, failure: Failure) -> bool:
        """Decide on another attempt after a failed one."""
        if self.sink.started or self.attempts >= MAX_ATTEMPTS:
            return False
        if failure.kind is ErrorKind.UPSTREAM_REFUSED:
            return self.body.replayable
        if not self.is_repeatable():
            return False
        service = self.caller.route.service
        return self.state.budget.try_spend(service, self.state.now())

    def refusal(self, failure: Failure) -> Refusal:
        """Return the error answer for the caller."""
        if self.sent:
            return Refusal.after_sending(failure)
        return Refusal.before_sending(failure)

    def log_routed(self, grant: Grant) -> None:
        """Write the decision of an attempt."""
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

    def log_retry(self, grant: Grant, failure: Failure) -> None:
        """Write that an attempt failed and another one follows."""
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
    """Return the failure of a call; a deadline before the send is no run."""
    if end.kind is ErrorKind.UPSTREAM_TIMEOUT and not end.sent:
        return Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline before the send')
    return Failure(end.kind, end.detail)


def observation_of(end: CallEnd) -> ObservationKind:
    """Return what a call tells about its upstream."""
    if end.caller_gone:
        return ObservationKind.CANCELLED
    if end.kind is not None:
        return OBSERVATIONS.get(end.kind, ObservationKind.CANCELLED)
    if end.draining:
        return ObservationKind.DRAINING
    if end.status == HTTP_UNAVAILABLE:
        return ObservationKind.SHED
    return ObservationKind.OK
