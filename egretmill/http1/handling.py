"""What a listener does with its connections, and requests that it serves."""

import dataclasses
from typing import TYPE_CHECKING, Any, Protocol

from egretmill.http1.body import Body
from egretmill.http1.buffers import CallerMemory
from egretmill.http1.intake import Intake
from egretmill.http1.messages import RequestHead, Response
from egretmill.http1.usage import ConnectionUsage

if TYPE_CHECKING:
    from egretmill.http1.server import ServerConnection

__all__ = ('ConnectionLimits', 'PendingAnswer', 'RequestHandler')


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the size and duration of what a caller sends.

    :param header_bytes: longest request head.
    :param body_bytes: longest request body.
    :param header_s: longest time from the first byte of a head to its end,
        in seconds.
    :param idle_s: longest time without a request, in seconds.
    :param discard_s: longest time for which the rest of a request that was
        answered before its end is read and dropped, in seconds.
    """

    header_bytes: int = 65536
    body_bytes: int = 67108864
    header_s: float = 10
    idle_s: float = 60
    discard_s: float = 60


class RequestHandler(Protocol):
    """Serves the requests of all connections of a listener."""

    #: Current limits; they can change between requests.
    limits: ConnectionLimits
    #: Whether the host shuts down: connections close after their answers.
    leaving: bool
    #: Counts the connections.
    usage: ConnectionUsage
    #: Limits what the connections of all callers keep.
    memory: CallerMemory
    #: Decides when the input of a connection is parsed.
    intake: Intake

    def start_request(self, pending: 'PendingAnswer') -> None:
        """Start to serve a request whose head has arrived."""
        raise NotImplementedError

    def connection_opened(self, connection: 'ServerConnection') -> None:
        """Handle a new connection."""
        raise NotImplementedError

    def connection_closed(self, connection: 'ServerConnection') -> None:
        """Handle the end of a connection."""
        raise NotImplementedError

    def request_rejected(self, status: int, reason: str) -> None:
        """Handle a request that is malformed, too long or too slow."""
        raise NotImplementedError

    def refuse_for_memory(self, pending: 'PendingAnswer') -> None:
        """Refuse a request that has not run and is not received whole."""
        raise NotImplementedError


class PendingAnswer:
    """A request whose answer has not been sent yet."""

    def __init__(
        self,
        connection: 'ServerConnection',
        head: RequestHead,
        body: Body,
    ) -> None:
        self.connection = connection
        self.head = head
        self.body = body
        self.keep_alive = True
        #: Nothing more of the request is read.
        self.is_cut = False
        #: The connection drains, and the request came too late to be served.
        self.is_late = False
        self.response: Response | None = None
        #: Called if the caller disconnects before the answer.
        self.on_disconnect: Any = None

    @property
    def is_caller_disconnected(self) -> bool:
        """Return whether the caller has disconnected."""
        return self.connection.transport is None

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the request and its answer take."""
        kept_bytes = self.head.kept_bytes + self.body.buffered_bytes
        if self.response is not None:
            kept_bytes += len(self.response.body)
        return kept_bytes

    def cancel(self) -> None:
        """Stop serving the request, as if its caller had disconnected."""
        if self.response is None and self.on_disconnect is not None:
            self.on_disconnect()

    def answer(self, response: Response, *, keeps_body: bool = False) -> None:
        """Send the answer once all earlier requests are answered.

        :param keeps_body: the rest of the body is still wanted. Otherwise, it
            is discarded, so that the connection stays usable.
        """
        self.response = response
        if not keeps_body:
            self.body.discard()
        self.connection.flush()
