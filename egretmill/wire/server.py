"""Server side of the protocol between programs."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pynng
from result import Err, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill import events
from egretmill.errors import ErrorKind, Failure
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.wire import messages
from egretmill.wire.client import MAX_FRAME_BYTES

__all__ = ('Handler', 'Server')

#: Processes one message and returns the answer.
Handler = Callable[
    [messages.Message],
    Awaitable[Result[messages.Message, Failure]],
]
# Maximum number of requests served concurrently, so that a long poll or a
# claim that waits for the platform does not delay heartbeats.
CONCURRENT_REQUESTS = 32


class Server:
    """Answers requests at a TCP address."""

    def __init__(
        self,
        address: str,
        port: int,
        handler: Handler,
        metrics: Metrics,
    ) -> None:
        """Bind the address.

        :raises pynng.AddressInUse: another process holds the port.
        """
        self.handler = handler
        self.metrics = metrics
        self.socket = pynng.Rep0(recv_max_size=MAX_FRAME_BYTES)
        self.socket.listen(f'tcp://{address}:{port}')
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Serve in background tasks of the running loop."""
        self.tasks = [
            asyncio.create_task(self.serve())
            for _ in range(CONCURRENT_REQUESTS)
        ]

    async def serve(self) -> None:
        """Answer requests one at a time in a pynng context of its own."""
        with contextlib.suppress(pynng.Closed):
            with contextlib.closing(self.socket.new_context()) as context:
                while True:
                    await self.serve_request(context)

    async def serve_request(self, context: pynng.Context) -> None:
        """Answer one request; the answer is lost if the caller has gone."""
        reply = await self.answer(await context.arecv())
        try:
            await context.asend(messages.encode(reply))
        except pynng.NNGException:
            self.metrics.count('wire.reply_lost')

    async def answer(self, frame: bytes) -> messages.Message:
        """Decode a frame, process its message and return the answer."""
        try:
            message = messages.decode(frame)
        except DECODE_ERRORS as error:
            self.metrics.count('wire.malformed_frame')
            log_event(events.CATALOGUE.MALFORMED_FRAME, reason=str(error))
            kind = ErrorKind.MALFORMED_FRAME
            return messages.ErrorReply(kind.value, str(error))
        try:
            outcome = await self.handler(message)
        except Exception as error:
            return self.make_internal_error(message, error)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            return messages.ErrorReply(failure.kind.value, failure.detail)
        return outcome.ok_value

    def make_internal_error(
        self,
        message: messages.Message,
        error: Exception,
    ) -> messages.Message:
        """Log an exception of the handler and return an error reply."""
        self.metrics.count('wire.handler_failed')
        log_event(
            events.CATALOGUE.HANDLER_FAILED,
            message=type(message).__name__,
            error=repr(error),
        )
        return messages.ErrorReply(ErrorKind.INTERNAL.value, repr(error))

    def close(self) -> None:
        """Close the socket, which ends all waits for requests.

        Running handlers are cancelled.
        """
        self.socket.close()
        for task in self.tasks:
            task.cancel()
