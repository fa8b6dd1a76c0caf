"""Log lines on the attempts of a request."""

from typing import TYPE_CHECKING

from egretmill import events
from egretmill.http1 import ClientConnection, Response
from egretmill.logs import log_event
from egretmill.placement import SelectedUpstream

if TYPE_CHECKING:
    from egretmill.host.exchange import Exchange

__all__ = (
    'log_caller_gone',
    'log_cut_body',
    'log_early_answer',
    'log_routing_decision',
)


def log_routing_decision(
    exchange: 'Exchange', selected: SelectedUpstream
) -> None:
    """Log the choice of an upstream with its inputs and their age."""
    accepted = exchange.accepted
    load = selected.load
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
        knowledge_age_s=round(exchange.state.view.configuration_age_s(), 3),
        confirmed_by=exchange.state.view.configuration_freshness.source,
        load=round(load.estimated_requests(now), 1),
        report_age_s=round(min(now - load.reported_at, 999), 3),
        slots=load.record.slots,
        stated_rate_per_s=load.stated_limit.rate_per_s,
        warm=selected.is_warm,
        expected_ms=int(selected.expected_s * 1000),
        left_ms=int(exchange.remaining_s * 1000),
    )


def log_early_answer(
    exchange: 'Exchange',
    upstream: str,
    connection: ClientConnection,
    response: Response,
) -> None:
    """Log an answer if it came before the request was sent whole."""
    writer = connection.writer
    if writer is None:
        return
    body = exchange.pending.body
    log_event(
        events.CATALOGUE.REQUEST_ANSWERED_EARLY,
        request_id=exchange.accepted.request_id.decode('latin-1'),
        upstream=upstream,
        status=response.status,
        body_arrived=body.complete,
        arrived_bytes=body.received_bytes,
        unwritten_bytes=writer.unwritten_bytes,
        continued=connection.sends_rest,
    )


def log_caller_gone(exchange: 'Exchange') -> None:
    """Log that a caller left before its request was answered."""
    log_event(
        events.CATALOGUE.CALLER_GONE,
        request_id=exchange.accepted.request_id.decode('latin-1'),
        attempts=exchange.attempts,
        maybe_run=exchange.maybe_run or exchange.in_flight,
    )


def log_cut_body(exchange: 'Exchange') -> None:
    """Log that an upstream did not get the rest of an answered request."""
    body = exchange.pending.body
    log_event(
        events.CATALOGUE.REQUEST_BODY_CUT,
        request_id=exchange.accepted.request_id.decode('latin-1'),
        body_arrived=body.complete,
        arrived_bytes=body.received_bytes,
        left_ms=int(exchange.remaining_s * 1000),
    )
