"""Listening sockets that keep a descriptor in reserve."""

import errno
import os
import socket
from typing import Any, Self

from tornado.httpserver import HTTPServer

from egretmill import events
from egretmill.logs import log_event

__all__ = (
    'ListeningSocket',
    'RefusingSocket',
    'listen',
)

#: Length of the queue of new connections of an HTTP server.
BACKLOG = 128
#: Errors of an accept that has no descriptor or memory for the connection.
NO_DESCRIPTOR_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)


class ListeningSocket(socket.socket):
    """Can close waiting connections for which no descriptor is free.

    Their callers turn to another host at once, instead of waiting.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create a socket as :class:`socket.socket` does."""
        super().__init__(*arguments, **options)
        self.reserved: int | None = os.open(os.devnull, os.O_RDONLY)

    @classmethod
    def open(cls, address: str, port: int, backlog: int) -> Self:
        """Listen on an address.

        :param backlog: length of the queue of new connections.
        :raises OSError: when the address cannot be used.
        """
        family = socket.AF_INET6 if ':' in address else socket.AF_INET
        opened = cls(family, socket.SOCK_STREAM)
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            opened.bind((address, port))
            opened.listen(backlog)
        except OSError:
            opened.close()
            raise
        opened.setblocking(False)
        return opened

    def close(self) -> None:
        """Stop listening."""
        super().close()
        self._release()

    def refuse_next(self) -> bool:
        """Accept and close a waiting connection; return whether one waited.

        :raises OSError: when that fails, too.
        """
        self._release()
        try:
            accepted, _ = socket.socket.accept(self)
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        else:
            accepted.close()
            return True
        finally:
            self._reserve()

    def _release(self) -> None:
        if self.reserved is not None:
            os.close(self.reserved)
            self.reserved = None

    def _reserve(self) -> None:
        try:
            self.reserved = os.open(os.devnull, os.O_RDONLY)
        except OSError as error:
            log_event(events.CATALOGUE.ACCEPT_FAILED, error=str(error))


class RefusingSocket(ListeningSocket):
    """Closes waiting connections by itself when no descriptor is free.

    For servers that would try again at once, and for ever.
    """

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection.

        :raises ConnectionAbortedError: when it was closed instead.
        """
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in NO_DESCRIPTOR_ERRORS:
                raise
            reason = str(error)
        if not self.refuse_next():
            raise BlockingIOError(errno.EAGAIN, reason)
        log_event(events.CATALOGUE.ACCEPT_FAILED, error=reason, refused=1)
        raise ConnectionAbortedError(errno.ECONNABORTED, reason)


def listen(server: HTTPServer, port: int, address: str) -> None:
    """Let an HTTP server listen on an address.

    :raises OSError: when the address cannot be used.
    """
    server.add_socket(RefusingSocket.open(address, port, BACKLOG))
