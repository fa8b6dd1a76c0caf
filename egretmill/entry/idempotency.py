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
ERROR_BY_DECISION = {
    'not_stored': ErrorKind.ANSWER_NOT_STORED,
    'in_progress': ErrorKind.IN_PROGRESS,
    'owner_lost': ErrorKind.OWNER_LOST,
    'mismatch': ErrorKind.IDEMPOTENCY_KEY_REUSED,
    'unavailable': ErrorKind.LEDGER_UNAVAILABLE,
}


def request_digest(caller: CallerRequest, body: Body) -> str:
    """Return the digest that all requests with one key must share.

    A streamed body contributes its Content-Length only, because the request
    is registered before the body has arrived.
    """
    text = f'{caller.method} {caller.uri} {body.digest}'
    return xxhash.xxh3_128_hexdigest(text.encode())


async def serve_once(
    ledger: RequestLedger,
    exchange: Exchange,
    sink: CallerSink,
) -> Result[None, Refusal]:
    """Register a request, run it if it is the first and record its end."""
    decision = await ledger.register()
    if decision.status == 'granted':
        return await run_granted(ledger, exchange, sink)
    return answer_repeat(decision, sink)


def answer_repeat(
    decision: ClaimDecision,
    sink: CallerSink,
) -> Result[None, Refusal]:
    """Replay the recorded answer or refuse the request; nothing runs."""
    if decision.status == 'repeat' and decision.answer is not None:
        sink.replay(decision.answer)
        return Ok(None)
    failure = Failure(ERROR_BY_DECISION[decision.status], decision.status)
    return Err(Refusal(failure, failure.answer.outcome))


async def run_granted(
    ledger: RequestLedger,
    exchange: Exchange,
    sink: CallerSink,
) -> Result[None, Refusal]:
    """Run a request whose key was granted and record how it ended."""
    try:
        served = await exchange.run()
    except asyncio.CancelledError:
        end_state = (
            'unknown' if exchange.may_have_reached_upstream else 'released'
        )
        exchange.state.spawn(ledger.record_end(end_state, None))
        raise
    if isinstance(served, Ok):
        exchange.state.spawn(ledger.record_end('done', sink.recorded_answer()))
        return served
    not_run = served.err_value.outcome is Outcome.NOT_RUN
    end_state = 'released' if not_run else 'unknown'
    exchange.state.spawn(ledger.record_end(end_state, None))
    return served
