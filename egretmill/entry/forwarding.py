"""Forwards a request with a ticket to the entry host that issued it."""

import dataclasses

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from egretmill.entry import headers as header_names
from egretmill.entry.body import Body
from egretmill.entry.refusal import Refusal
from egretmill.entry.request import CallerRequest
from egretmill.entry.sink import CallerSink
from egretmill.entry.state import EntryState
from egretmill.entry.upstream_call import (
    CONNECT_TIMEOUT_S,
    UpstreamCall,
    UpstreamTarget,
)
from egretmill.errors import ErrorKind, Failure, Outcome
from egretmill.ledger.tickets import Ticket
from egretmill.wire.messages import PeerState

__all__ = ('forward',)


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingSink:
    """Passes on the answer of another entry host with its outcome header."""

    inner: CallerSink

    async def start(self, status: int, headers: HTTPHeaders) -> None:
        """Pass on status, headers and outcome."""
        outcome = headers.get(header_names.OUTCOME, Outcome.UNKNOWN.value)
        await self.inner.start(status, headers, outcome)

    async def write(self, chunk: bytes) -> None:
        """Pass on a part of the body."""
        await self.inner.write(chunk)


async def forward(
    state: EntryState,
    ticket: Ticket,
    caller: CallerRequest,
    body: Body,
    sink: CallerSink,
) -> Result[None, Refusal]:
    """Forward a request to the host that issued its ticket, without retry.

    The outcome is unknown when that host has restarted or cannot be
    reached, because an earlier copy of the request may have run there.
    """
    issuer = find_issuer(state, ticket)
    if isinstance(issuer, Err):
        return Err(Refusal(issuer.err_value, Outcome.UNKNOWN))
    host = issuer.ok_value.host
    target = UpstreamTarget(
        host.address,
        host.entry_port,
        caller.method,
        caller.uri,
    )
    call = UpstreamCall(target, ForwardingSink(sink))
    end = await call.run(
        forwarded_headers(state, caller, body, issuer.ok_value),
        body,
        CONNECT_TIMEOUT_S,
        caller.deadline_at,
    )
    if end.kind is None:
        return Ok(None)
    failure = Failure(ErrorKind.PEER_UNREACHABLE, f'{host.name}: {end.detail}')
    return Err(Refusal(failure, Outcome.UNKNOWN))


def find_issuer(
    state: EntryState,
    ticket: Ticket,
) -> Result[PeerState, Failure]:
    """Return the host that issued a ticket if it has not restarted since."""
    for peer in state.peers():
        if peer.host.name != ticket.host:
            continue
        if peer.entry_incarnation == ticket.incarnation:
            return Ok(peer)
    detail = f'{ticket.host} no longer knows this ticket'
    return Err(Failure(ErrorKind.OWNER_LOST, detail))


def forwarded_headers(
    state: EntryState,
    caller: CallerRequest,
    body: Body,
    issuer: PeerState,
) -> HTTPHeaders:
    """Return the headers for the other entry host, with the caller's key."""
    forwarded = header_names.upstream_headers(
        caller.headers,
        f'{issuer.host.address}:{issuer.host.entry_port}',
        caller.request_id,
        caller.remaining_ms(state.now()),
        body.size,
    )
    forwarded[header_names.FORWARDED_BY] = state.settings.name
    key = caller.headers.get(header_names.API_KEY)
    if key is not None:
        forwarded[header_names.API_KEY] = key
    return forwarded
