"""Server side of the protocol between programs.

It speaks the protocol of pynng's clients itself: a socket of pynng bounds
neither the connections that it accepts nor what they send together.
"""

import asyncio
import resource
from collections.abc import Awaitable, Callable

from result import Err, Result

from egretmill import events
from egretmill.decoding import DECODE_ERRORS
from egretmill.errors import ErrorKind, Failure
from egretmill.http1 import CallerMemory, Eviction
from egretmill.listening import RefusingSocket
from egretmill.logs import log_event
from egretmill.metrics import Metrics
from egretmill.wire import messages
from egretmill.wire.connection import ReplyConnection

__all__ = ('Handler', 'Server')

#: Processes one message and returns the answer.
Handler = Callable[
    [messages.Message],
    Awaitable[Result[messages.Message, Failure]],
]
#: Length of the queue of new connections.
BACKLOG = 128
#: Largest number of connections, more than twice the hosts of the largest
#: fleet ...
MAX_CONNECTIONS = 2048
#: ... and the fraction of the process's descriptors that they may take.
DESCRIPTOR_FRACTION = 0.25
#: What all connections keep together, requests at work included.
MEMORY_BYTES = 16 << 20
#: Longest time from the first byte of a greeting or of a request to its last,
#: in seconds ...
REQUEST_LIMIT_S = 10.0
#: ... which is checked this often.
CHECK_INTERVAL_S = 1.0


class Server:
    """Answers requests at a TCP address."""

    def __init__(
        self,
        address: str,
        port: int,
        handler: Handler,
        metrics: Metrics,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Bind the address.

        :raises OSError: when the address cannot be used.
        """
        self.handler = handler
        self.metrics = metrics
        self.max_connections = max_connections
        self.memory = CallerMemory(MEMORY_BYTES, record_eviction)
        self.socket = RefusingSocket.open(address, port, BACKLOG)
        #: Open connections, the one that was used last at the end.
        self.connections: dict[ReplyConnection, None] = {}
        self.listener: asyncio.Server | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def room(self) -> int:
        """Return how many more connections the descriptors allow."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limit = min(
            self.max_connections, int(descriptors * DESCRIPTOR_FRACTION)
        )
        return limit - len(self.connections)

    def start(self) -> None:
        """Serve in a background task of the running loop."""
        self.task = asyncio.create_task(self.serve())

    async def serve(self) -> None:
        """Accept connections, and end those that send too slowly."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ReplyConnection(self), sock=self.socket, backlog=BACKLOG
        )
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.close_slow(loop.time())

    def admit(self, connection: ReplyConnection) -> bool:
        """Track a connection, in place of an unused one if there is no room."""
        if self.room <= 0 and not self._close_unused():
            return False
        self.connections[connection] = None
        return True

    def mark_used(self, connection: ReplyConnection) -> None:
        """Record that a connection has sent a request."""
        self.connections[connection] = self.connections.pop(connection, None)

    def forget(self, connection: ReplyConnection) -> None:
        """Stop tracking a closed connection."""
        self.connections.pop(connection, None)

    def close_slow(self, now: float) -> None:
        """End the connections that leave a request incomplete."""
        for connection in tuple(self.connections):
            if connection.is_slow(now, REQUEST_LIMIT_S):
                self.record_malformed('request came too slowly')
                connection.reset()

    def record_malformed(self, reason: str) -> None:
        """Log and count bytes that are no message."""
        self.metrics.count('wire.malformed_frame')
        log_event(events.CATALOGUE.MALFORMED_FRAME, reason=reason)

    async def answer(self, frame: bytes) -> bytes:
        """Decode a message, process it and return the encoded answer."""
        return messages.encode(await self.make_answer(frame))

    async def make_answer(self, frame: bytes) -> messages.Message:
        """Decode a message, process it and return the answer."""
        try:
            message = messages.decode(frame)
        except DECODE_ERRORS as error:
            self.record_malformed(str(error))
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
        """Stop listening and end all connections.

        Running handlers are cancelled.
        """
        if self.task is not None:
            self.task.cancel()
        if self.listener is None:
            self.socket.close()
        else:
            self.listener.close()
        for connection in tuple(self.connections):
            connection.reset()

    def _close_unused(self) -> bool:
        """End the connection that has been unused for longest, if any."""
        for connection in self.connections:
            if not connection.tasks:
                self.forget(connection)
                connection.reset()
                return True
        return False


def record_eviction(eviction: Eviction) -> None:
    """Log connections that were ended for their memory."""
    log_event(
        events.CATALOGUE.CALLERS_EVICTED,
        connections=eviction.connections,
        before_bytes=eviction.before_bytes,
        after_bytes=eviction.after_bytes,
    )
