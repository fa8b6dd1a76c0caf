"""Listening addresses of a host: the entry, and its other endpoints."""

import asyncio
import dataclasses
import socket
from collections.abc import Iterable

from tornado import httpserver, web

from egretmill.host.settings import Endpoint
from egretmill.http1 import RequestHandler, ServerConnection

__all__ = ('Listeners',)

#: Length of the queue of new connections; a full queue costs the caller
#: seconds.
CONNECTION_BACKLOG = 1024


@dataclasses.dataclass(slots=True)
class Listeners:
    """Open listeners of the host."""

    entry: asyncio.Server
    http_servers: list[httpserver.HTTPServer]

    @classmethod
    async def open(
        cls,
        entry: Endpoint,
        handler: RequestHandler,
        applications: Iterable[tuple[Endpoint, web.Application]],
    ) -> 'Listeners':
        """Listen on all addresses; callers of the entry go to the handler."""
        server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(handler),
            entry.address,
            entry.port,
            family=socket.AF_INET,
            backlog=CONNECTION_BACKLOG,
            reuse_address=True,
        )
        http_servers = []
        for endpoint, application in applications:
            other = httpserver.HTTPServer(application)
            other.listen(endpoint.port, endpoint.address)
            http_servers.append(other)
        return cls(server, http_servers)

    def close(self) -> None:
        """Close the entry listener."""
        self.entry.close()
