"""Calls between programs after malformed frames and silent servers."""

import asyncio
import socket

import pynng
from result import Err, Ok

from egretmill.errors import ErrorKind
from egretmill.metrics import Metrics
from egretmill.wire import PeerClient, Server, messages

ADDRESS = '127.0.0.1'


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.socket() as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


async def acknowledge(message):
    """Acknowledge every message."""
    return Ok(messages.Acknowledged())


async def test_malformed_frame_gets_an_error_reply():
    """Guards against a server that fails after a malformed frame."""
    port = free_port()
    server = Server(ADDRESS, port, acknowledge, Metrics(None))
    server.start()
    # A dial that waits would hold up the loop in which the server accepts.
    url = f'tcp://{ADDRESS}:{port}'
    with pynng.Req0(dial=url, block_on_dial=False) as client:
        await client.asend(b'\xc1 not msgpack')
        reply = messages.decode(await client.arecv())
    assert reply.kind == ErrorKind.MALFORMED_FRAME
    peer = PeerClient(ADDRESS, port)
    assert await peer.call(messages.FetchDocument(1), 1) == Ok(
        messages.Acknowledged(),
    )
    peer.close()
    server.close()


async def test_silent_server_is_reconnected():
    """Guards against later calls on a connection that hangs."""
    port = free_port()
    silent = await asyncio.start_server(
        lambda reader, writer: asyncio.sleep(60),
        ADDRESS,
        port,
    )
    peer = PeerClient(ADDRESS, port)
    answer = await peer.call(messages.FetchDocument(1), 0.2)
    assert isinstance(answer, Err)
    assert answer.err_value.kind is ErrorKind.PEER_UNREACHABLE
    silent.close()
    server = Server(ADDRESS, port, acknowledge, Metrics(None))
    server.start()
    assert isinstance(await peer.call(messages.FetchDocument(1), 2), Ok)
    peer.close()
    server.close()


async def test_cancelled_call_ends_its_task():
    """Guards against a shutdown that waits for ever for a cancelled task.

    pynng drops a cancellation that arrives when an operation has just
    finished, so a cancelled poll loop went on.
    """
    port = free_port()
    server = Server(ADDRESS, port, acknowledge, Metrics(None))
    server.start()
    peer = PeerClient(ADDRESS, port)

    async def poll():
        while True:
            await peer.call(messages.FetchDocument(1), 0.5)

    for turn in range(200):
        polling = asyncio.create_task(poll())
        await asyncio.sleep(turn % 20 * 0.0001)
        polling.cancel()
        await asyncio.wait({polling}, timeout=2)
        assert polling.cancelled()
    peer.close()
    server.close()
