"""Passes the configuration's table on between hosts.

A host that the store does not answer learns from heartbeats that its copy is
outdated. It then reads the table from a host that has a newer one.
"""

import asyncio
import dataclasses
import math

from result import Err, Ok, Result

from egretmill import events
from egretmill.host.descriptors import DescriptorPlan
from egretmill.host.pages import PageRequest, Pages
from egretmill.host.settings import Endpoint
from egretmill.host.state import HostState
from egretmill.http1 import Body, Call, Response, connect
from egretmill.logs import log_event
from egretmill.peers.copies import TableCopy, decode_copy, encode_copy
from egretmill.peers.table import Peer
from egretmill.tables.watch import TableWatch

__all__ = ('CopyClient', 'make_copy_pages')

COPY_PATH = '/copy'
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
#: Time for the host's own read of the store, in seconds, before it asks a
#: peer: ten times a read over the longest link between regions. It is half of
#: the time after which a host with an outdated copy refuses requests.
ASK_AFTER_S = 0.5
#: Least time between the starts of two requests, in seconds.
MIN_INTERVAL_S = 0.25
#: Longest request to a peer, with its connection, in seconds.
REQUEST_TIMEOUT_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class CopyPage:
    """Answers other hosts with this host's copy of the table."""

    state: HostState
    watch: TableWatch

    def __call__(self, request: PageRequest) -> Response:
        """Return the copy; 503 if there is none."""
        snapshot = self.watch.snapshot()
        age_s = self.state.view.configuration_age_s()
        if snapshot is None or not math.isfinite(age_s):
            return Response(HTTP_UNAVAILABLE)
        response = Response(HTTP_OK)
        response.add_header(b'Content-Type', b'application/msgpack')
        response.body = encode_copy(TableCopy.from_snapshot(snapshot, age_s))
        return response


def make_copy_pages(state: HostState, watch: TableWatch) -> Pages:
    """Return the pages that other hosts read the copy from."""
    settings = state.settings
    return Pages(
        Endpoint(settings.address, settings.peer_port),
        {COPY_PATH: CopyPage(state, watch)},
        DescriptorPlan.from_limit(settings.descriptors).page_callers,
    )


class CopyClient:
    """Reads the table from a peer while the own read brings nothing."""

    def __init__(self, state: HostState, watch: TableWatch) -> None:
        """Update the copy that a watch keeps."""
        self.state = state
        self.watch = watch
        self.task: asyncio.Task[None] | None = None
        self.asked_at = -math.inf

    def ask_if_behind(self, peer: Peer) -> None:
        """Start a request to a peer with a newer copy, if one is due."""
        now = self.state.now()
        is_busy = self.task is not None and not self.task.done()
        if (
            is_busy
            or self.state.view.configuration_lag_s() < ASK_AFTER_S
            or now - self.asked_at < MIN_INTERVAL_S
        ):
            return
        self.asked_at = now
        self.task = asyncio.create_task(self.update_from(peer))

    async def update_from(self, peer: Peer) -> None:
        """Read the copy of a peer and take it over if it is newer."""
        sent_at = self.state.now()
        received = await self.fetch(peer)
        if isinstance(received, Err):
            log_event(
                events.CATALOGUE.COPY_NOT_RECEIVED,
                peer=peer.name,
                detail=received.err_value,
            )
            return
        copy = received.ok_value
        is_newer = self.watch.apply_copy(
            copy.to_snapshot(), sent_at - max(copy.age_s, 0), peer.name
        )
        log_event(
            events.CATALOGUE.COPY_RECEIVED,
            peer=peer.name,
            version=self.state.view.version,
            used=is_newer,
            stated_age_s=round(copy.age_s, 3),
            sent_before_s=round(self.state.now() - sent_at, 3),
        )

    async def fetch(self, peer: Peer) -> Result[TableCopy, str]:
        """Request the copy of a peer."""
        address, port = peer.address
        deadline_at = self.state.now() + REQUEST_TIMEOUT_S
        opened = await connect(address, port, REQUEST_TIMEOUT_S)
        if isinstance(opened, Err):
            return Err(opened.err_value.detail)
        connection = opened.ok_value
        host = f'{address}:{port}'.encode()
        call = Call(
            b'GET',
            COPY_PATH.encode(),
            [(b'Host', host)],
            Body.from_bytes(b''),
            deadline_at,
        )
        try:
            answer = await connection.send(call)
        finally:
            connection.abort()
        match answer:
            case Ok(response) if response.status == HTTP_OK:
                return decode_copy(response.body)
            case Ok(response):
                return Err(f'status {response.status}')
            case Err(failure):
                return Err(f'{failure.cause.value}: {failure.detail}')
