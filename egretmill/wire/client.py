"""Client side of the protocol between programs."""

import asyncio
import contextlib

import pynng
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.errors import ErrorKind, Failure
from egretmill.wire import messages

__all__ = ('PeerClient',)

MILLISECONDS = 1000
MAX_FRAME_BYTES = 8388608


class PeerClient:
    """Calls one program at a TCP address.

    The socket is closed after a missed deadline and opened again by the
    next call, so a connection that hangs is not used again. Calls run
    concurrently, each in its own pynng context.
    """

    def __init__(self, address: str, port: int) -> None:
        """Store the address; the first call connects."""
        self.url = f'tcp://{address}:{port}'
        self.socket: pynng.Req0 | None = None
        self.exchanges: set[asyncio.Task[bytes]] = set()

    async def call(
        self,
        message: messages.Message,
        timeout_s: float,
    ) -> Result[messages.Message, Failure]:
        """Send a message and return the answer.

        An :class:`~egretmill.wire.messages.ErrorReply` becomes a failure of
        its kind. A missed deadline is ``peer_unreachable``: the message may
        have been carried out.
        """
        # pynng loses a cancellation that arrives when an operation has just
        # finished, so an exchange is never cancelled: its own time limits
        # end it.
        exchange = asyncio.create_task(
            self.exchange(messages.encode(message), timeout_s),
        )
        self.exchanges.add(exchange)
        exchange.add_done_callback(self.discard_exchange)
        await asyncio.wait({exchange}, timeout=timeout_s)
        if not exchange.done():
            self.close()
            detail = f'{self.url}: no answer within {timeout_s:.3f} s'
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, detail))
        error = exchange.exception()
        if error is None:
            return decode_reply(exchange.result())
        if not isinstance(error, pynng.NNGException):
            raise error
        self.close()
        detail = f'{self.url}: {type(error).__name__}'
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, detail))

    def discard_exchange(self, exchange: asyncio.Task[bytes]) -> None:
        """Discard an exchange that has ended.

        Reading its exception keeps asyncio from logging it when the call
        has already missed its deadline.
        """
        self.exchanges.discard(exchange)
        if not exchange.cancelled():
            exchange.exception()

    async def exchange(self, frame: bytes, timeout_s: float) -> bytes:
        """Send one frame and wait for its answer."""
        socket = self.socket or self.open()
        limit_ms = int(timeout_s * MILLISECONDS) + 1
        with contextlib.closing(socket.new_context()) as context:
            context.send_timeout = limit_ms
            context.recv_timeout = limit_ms
            await context.asend(frame)
            return await context.arecv()

    def open(self) -> pynng.Req0:
        """Open the socket; the connection is made in the background."""
        socket = pynng.Req0(
            recv_max_size=MAX_FRAME_BYTES,
            reconnect_time_min=20,
            reconnect_time_max=200,
        )
        socket.dial(self.url, block=False)
        self.socket = socket
        return socket

    def close(self) -> None:
        """Close the socket; pending calls fail as unreachable."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None


def decode_reply(frame: bytes) -> Result[messages.Message, Failure]:
    """Decode an answer and turn error replies into failures."""
    try:
        reply = messages.decode(frame)
    except DECODE_ERRORS as error:
        return Err(Failure(ErrorKind.MALFORMED_FRAME, str(error)))
    if isinstance(reply, messages.ErrorReply):
        return Err(Failure(ErrorKind(reply.kind), reply.detail))
    return Ok(reply)
