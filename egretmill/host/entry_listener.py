"""Accepts the connections of callers, also when descriptors are short."""

import asyncio
import functools
import socket

from egretmill import events
from egretmill.host.handler import EntryHandler
from egretmill.host.state import HostState
from egretmill.http1 import ServerConnection
from egretmill.listening import ListeningSocket
from egretmill.logs import log_event

__all__ = ('EntryListener',)

#: Length of the queue of new connections; a full queue costs the caller
#: seconds.
CONNECTION_BACKLOG = 1024
#: Connections that are accepted in one iteration of the event loop, so that
#: other events are handled in between.
MAX_ACCEPTED_AT_ONCE = 64
#: Callers have this time to send a request before their connection counts as
#: idle, in seconds.
MIN_IDLE_S = 0.5
#: Pause in which descriptors become free, in seconds.
ACCEPT_PAUSE_S = 0.05
#: Longest wait for connections that may close or become idle, in seconds.
MAX_WAIT_S = MIN_IDLE_S + ACCEPT_PAUSE_S


class EntryListener:
    """Listens on the entry address; the host is not ready while it fails.

    A reserved descriptor is used to accept and close the connections for which
    no other one is free: their callers turn to another host at once.
    """

    def __init__(self, state: HostState, handler: EntryHandler) -> None:
        """Create a listener whose connections a handler serves."""
        self.state = state
        self.handler = handler
        self.make_connection = functools.partial(ServerConnection, handler)
        self.loop = asyncio.get_running_loop()
        self.socket: ListeningSocket | None = None
        self.starting: set[asyncio.Task[None]] = set()
        #: Since when there has been no room; ``None`` if there is.
        self.full_since: float | None = None

    def open(self) -> None:
        """Listen on the entry address.

        :raises OSError: when the address cannot be used.
        """
        endpoint = self.state.settings.entry
        self.socket = ListeningSocket.open(
            endpoint.address, endpoint.port, CONNECTION_BACKLOG
        )
        self._resume()

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        if self.socket is None:
            return
        self.loop.remove_reader(self.socket)
        self.socket.close()
        self.socket = None

    def accept_waiting(self) -> None:
        """Accept the waiting connections, as many as there is room for.

        Idle connections are closed to make room. The waiting ones stay until
        those without an awaited answer have closed or count as idle; if there
        are none, for a pause, in which connections of refused requests close.
        Then they are closed unserved.
        """
        connections = self.handler.connections
        room = connections.room - len(self.starting)
        closed = 0
        if room < MAX_ACCEPTED_AT_ONCE:
            closed = connections.close_idle(
                MAX_ACCEPTED_AT_ONCE - room,
                MIN_IDLE_S,
                includes_receiving=room <= 0,
            )
        if room <= 0:
            if not closed:
                self._wait_for_room()
            return
        self.full_since = None
        for _ in range(min(room, MAX_ACCEPTED_AT_ONCE)):
            try:
                accepted = self._accept()
            except OSError as error:
                self._handle_failure(error)
                return
            if accepted is None:
                break
            self._start_connection(accepted)
        self.state.accepting = True

    def _accept(self) -> socket.socket | None:
        """Return a waiting connection, if there is one.

        :raises OSError: when a connection cannot be accepted.
        """
        if self.socket is None:
            return None
        try:
            accepted, _ = self.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        accepted.setblocking(False)
        return accepted

    def _start_connection(self, accepted: socket.socket) -> None:
        task = self.loop.create_task(self._connect(accepted))
        self.starting.add(task)
        task.add_done_callback(self.starting.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(
                self.make_connection, accepted
            )
        except OSError as error:
            accepted.close()
            log_event(events.CATALOGUE.ACCEPT_FAILED, error=str(error))

    def _wait_for_room(self) -> None:
        """Pause; refuse those who have waited for as long as they may."""
        now = self.loop.time()
        if self.full_since is None:
            self.full_since = now
        can_close = self.handler.connections.has_unused
        max_wait_s = MAX_WAIT_S if can_close else 0
        if now - self.full_since > max_wait_s:
            refused = self._refuse_waiting()
            if refused:
                self._record_failure('no room for callers', refused)
        self._pause()

    def _handle_failure(self, error: OSError) -> None:
        """Refuse waiting connections, free descriptors and pause."""
        refused = self._refuse_waiting()
        self.handler.free_descriptors()
        self._record_failure(str(error), max(refused, 1))
        self._pause()

    def _record_failure(self, reason: str, count: int) -> None:
        """Record connections that were not served; log the first ones."""
        if self.state.accepting:
            log_event(
                events.CATALOGUE.ACCEPT_FAILED, error=reason, refused=count
            )
        self.state.accepting = False
        self.state.record_accept_failures(count)

    def _refuse_waiting(self) -> int:
        """Close waiting connections unserved; return their number."""
        refused = 0
        try:
            while refused < MAX_ACCEPTED_AT_ONCE and self.socket.refuse_next():
                refused += 1
        except OSError as error:
            log_event(events.CATALOGUE.ACCEPT_FAILED, error=str(error))
        return refused

    def _pause(self) -> None:
        if self.socket is not None:
            self.loop.remove_reader(self.socket)
            self.loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self.socket is not None:
            self.loop.add_reader(self.socket, self.accept_waiting)
            self.accept_waiting()
