"""Runs a request with an idempotency key at most once."""

import asyncio

import xxhash
from result import Err, Ok, Result

from egretmill.entry.body import Body
from egretmill.entry.exchange import Exchange
from egretmill.entry.ledgers import RequestLedger
from egretmill.entry.refusal import Refusal
from egretmill.entry.request import CallerRequest
from egretmill.entry.sink import CallerSink
from egretmill.errors import ErrorKind, Failure, Outcome
from egretmill.wire.messages import ClaimDecision

__all__ = ('request_digest', 'serve_once')

#: Error kinds of the decisions that refuse a request.
REFUSALS = {
    'not_stored': ErrorKind.ANSWER_NOT_STORED,
    'in_progress': ErrorKind.IN_PROGRESS,
    'owner_lost': ErrorKind.OWNER_LOST,
    'mismatch': ErrorKind.IDEMPOTENCY_KEY_REUSED,
    'unavailable': ErrorKind.LEDGER_UNAVAILABLE,
}


def request_digest(caller: CallerRequest, body: Body) -> str:
    """Return what two requests of one key must have in common.

    A streamed body counts by its announced size, because the request is
    registered before the body has arrived.
    """
    text = f'{caller.method} {caller.uri} {body.digest}'
    return xxhash.xxh3_128_hexdigest(text.encode())


async def serve_once(
    ledger: RequestLedger,
    exchange: Exchange,
    sink: CallerSink,
) -> Result[None, Refusal]:
    """Register a request, run it if it is the first and note its end."""
    decision = await ledger.begin()
    if decision.status == 'granted':
        return await run_granted(ledger, exchange, sink)
    return repeat(decision, sink)


def repeat(
    decision: ClaimDecision,
    sink: CallerSink,
) -> Result[None, Refusal]:
    """Answer a request that does not run."""
    if decision.status == 'repeat' and decision.answer is not None:
        sink.replay(decision.answer)
        return Ok(None)
    failure = Failure(REFUSALS[decision.status], decision.status)
    return Err(Refusal(failure, failure.answer.outcome))


async def run_granted(
    ledger: RequestLedger,
    exchange: Exchange,
    sink: CallerSink,
) -> Result[None, Refusal]:
    """Run the first request of a key."""
    try:
        served = await exchange.run()
    except asyncio.CancelledError:
        end = 'unknown' if exchange.sent else 'released'
        exchange.state.spawn(ledger.end(end, None))
        raise
    if isinstance(served, Ok):
        exchange.state.spawn(ledger.end('done', sink.stored()))
        return served
    not_run = served.err_value.outcome is Outcome.NOT_RUN
    end = 'released' if not_run else 'unknown'
    exchange.state.spawn(ledger.end(end, None))
    return served
