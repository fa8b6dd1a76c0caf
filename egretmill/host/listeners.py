"""Listening addresses of a host: the entry, and its other endpoints."""

import dataclasses
from collections.abc import Iterable

from tornado import httpserver, web

from egretmill.host.entry_listener import EntryListener
from egretmill.host.handler import EntryHandler
from egretmill.host.settings import Endpoint
from egretmill.host.state import HostState
from egretmill.listening import listen

__all__ = ('Listeners',)

#: Callers of the other endpoints keep an idle connection for this long, in
#: seconds; each holds a descriptor.
IDLE_TIMEOUT_S = 60.0


@dataclasses.dataclass(slots=True)
class Listeners:
    """Open listeners of the host."""

    entry: EntryListener
    http_servers: list[httpserver.HTTPServer]

    @classmethod
    def open(
        cls,
        state: HostState,
        handler: EntryHandler,
        applications: Iterable[tuple[Endpoint, web.Application]],
    ) -> 'Listeners':
        """Listen on all addresses; callers of the entry go to the handler."""
        entry = EntryListener(state, handler)
        entry.open()
        http_servers = []
        for endpoint, application in applications:
            other = httpserver.HTTPServer(
                application, idle_connection_timeout=IDLE_TIMEOUT_S
            )
            listen(other, endpoint.port, endpoint.address)
            http_servers.append(other)
        return cls(entry, http_servers)

    def close(self) -> None:
        """Close the entry listener."""
        self.entry.close()
