"""Listening addresses of a host: the entry, and its pages."""

import asyncio
import dataclasses
import functools
from collections.abc import Iterable

from egretmill.host.entry_listener import EntryListener
from egretmill.host.handler import EntryHandler
from egretmill.host.pages import PageHandler, Pages
from egretmill.host.state import HostState
from egretmill.http1 import ServerConnection
from egretmill.listening import RefusingSocket

__all__ = ('Listeners', 'serve_pages')

#: Length of the queue of new connections to pages. As many are accepted in one
#: iteration of the event loop, before surplus ones are closed.
PAGE_BACKLOG = 32


@dataclasses.dataclass(slots=True)
class Listeners:
    """Open listeners of the host."""

    entry: EntryListener
    page_servers: list[asyncio.Server]

    @classmethod
    async def open(
        cls,
        state: HostState,
        handler: EntryHandler,
        pages: Iterable[Pages],
    ) -> 'Listeners':
        """Listen on all addresses; callers of the entry go to the handler."""
        entry = EntryListener(state, handler)
        entry.open()
        page_servers = [
            await serve_pages(
                PageHandler(state, row, handler.memory, handler.intake)
            )
            for row in pages
        ]
        return cls(entry, page_servers)

    def close(self) -> None:
        """Close the entry listener."""
        self.entry.close()


async def serve_pages(handler: PageHandler) -> asyncio.Server:
    """Listen on the address of pages.

    :raises OSError: when the address cannot be used.
    """
    endpoint = handler.pages.endpoint
    return await asyncio.get_running_loop().create_server(
        functools.partial(ServerConnection, handler),
        sock=RefusingSocket.open(endpoint.address, endpoint.port, PAGE_BACKLOG),
        backlog=PAGE_BACKLOG,
    )
