"""Answers on the addresses of a host other than its entry."""

import dataclasses
from collections.abc import Callable, Mapping
from urllib.parse import parse_qs

from egretmill import events
from egretmill.host.callers import CallerConnections
from egretmill.host.settings import Endpoint
from egretmill.host.state import HostState
from egretmill.http1 import (
    CallerMemory,
    ConnectionLimits,
    ConnectionUsage,
    Intake,
    PendingAnswer,
    Response,
    ServerConnection,
)
from egretmill.logs import log_event

__all__ = ('Page', 'PageHandler', 'PageRequest', 'Pages')

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_METHOD_NOT_ALLOWED = 405
HTTP_INTERNAL_ERROR = 500
HTTP_UNAVAILABLE = 503
READING_METHODS = frozenset((b'GET', b'HEAD'))
#: Callers that are closed to accept another one.
CLOSED_AT_ONCE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class PageRequest:
    """A request for a page.

    :param arguments: the last value of each argument of the query.
    """

    path: str
    arguments: Mapping[str, str]

    @classmethod
    def from_target(cls, target: bytes) -> 'PageRequest':
        """Parse the target of a request."""
        path, _, query = target.decode('latin-1').partition('?')
        arguments = {
            name: values[-1].strip() for name, values in parse_qs(query).items()
        }
        return cls(path, arguments)


#: Makes the answer to a request.
Page = Callable[[PageRequest], Response]


@dataclasses.dataclass(frozen=True, slots=True)
class Pages:
    """The pages of one address, by their path.

    :param max_callers: largest number of open connections.
    """

    endpoint: Endpoint
    by_path: Mapping[str, Page]
    max_callers: int


class PageHandler:
    """Answers requests from the state of the host, without waiting.

    A request is answered when its head has arrived; a body is dropped.
    """

    leaving = False

    def __init__(
        self,
        state: HostState,
        pages: Pages,
        memory: CallerMemory,
        intake: Intake,
    ) -> None:
        """Serve pages; memory and processor time are shared with others."""
        self.state = state
        self.pages = pages
        self.memory = memory
        self.intake = intake
        self.usage = ConnectionUsage()
        self.connections = CallerConnections(pages.max_callers, state.now)

    @property
    def limits(self) -> ConnectionLimits:
        """Return the current limits of connections."""
        return self.state.limits

    def connection_opened(self, connection: ServerConnection) -> None:
        """Track a connection; close the oldest one if there are too many."""
        if self.connections.room <= 0:
            self.connections.close_idle(CLOSED_AT_ONCE, includes_receiving=True)
        self.connections.add(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Stop tracking a closed connection."""
        self.connections.remove(connection)

    def request_rejected(self, status: int, reason: str) -> None:
        """Log a request that could not be parsed."""
        log_event(
            events.CATALOGUE.REQUEST_UNREADABLE, status=status, reason=reason
        )

    def refuse_for_memory(self, pending: PendingAnswer) -> None:
        """Refuse a request that is received."""
        pending.answer(Response(HTTP_UNAVAILABLE))

    def start_request(self, pending: PendingAnswer) -> None:
        """Answer a request."""
        try:
            response = self._answer(pending)
        except Exception as error:  # noqa: BLE001
            log_event(
                events.CATALOGUE.HANDLER_FAILED,
                part=str(self.pages.endpoint),
                error=repr(error),
            )
            response = Response(HTTP_INTERNAL_ERROR)
        pending.answer(response)
        self.connections.mark_idle(pending.connection)

    def _answer(self, pending: PendingAnswer) -> Response:
        request = PageRequest.from_target(pending.head.target)
        page = self.pages.by_path.get(request.path)
        if page is None:
            return Response(HTTP_NOT_FOUND)
        if pending.head.method not in READING_METHODS:
            return Response(HTTP_METHOD_NOT_ALLOWED)
        return page(request)
