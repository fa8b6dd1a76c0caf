"""Connections of the server side of the protocol between programs."""

import asyncio
from typing import TYPE_CHECKING, Any

from egretmill.http1.transport import ConnectionTransport
from egretmill.wire.framing import (
    REPLY_GREETING,
    MalformedFrameError,
    RequestBuffer,
    encode_reply,
)

if TYPE_CHECKING:
    from egretmill.wire.server import Server

__all__ = ('ReplyConnection',)

#: Requests of one connection that are served at the same time, so that a long
#: poll or a claim that waits for the platform does not delay heartbeats.
CONCURRENT_REQUESTS = 32
#: Memory that a request at work takes beside its bytes.
REQUEST_OVERHEAD_BYTES = 8 << 10


class ReplyConnection(ConnectionTransport):
    """Receives requests of one program and sends the replies as they come.

    :param part_since: loop time since which the rest of a request is due.
    """

    def __init__(self, server: 'Server') -> None:
        """Serve requests with the handler of a server."""
        super().__init__()
        self.server = server
        self.requests = RequestBuffer()
        self.tasks: set[asyncio.Task[None]] = set()
        self.request_bytes = 0
        self.part_since = self.loop.time()

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the connection keeps now."""
        kept_bytes = self.request_bytes
        kept_bytes += len(self.tasks) * REQUEST_OVERHEAD_BYTES
        if self.transport is None:
            return kept_bytes
        kept_bytes += self.transport.get_write_buffer_size()
        return kept_bytes + len(self.requests)

    @property
    def has_room(self) -> bool:
        """Return whether another request can be taken."""
        return len(self.tasks) < CONCURRENT_REQUESTS and self.writable.is_set()

    def connection_made(self, transport: Any) -> None:
        """Greet the client, if there is room for it."""
        super().connection_made(transport)
        if self.server.admit(self):
            self.write(REPLY_GREETING)
        else:
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests at work: their replies cannot be sent."""
        super().connection_lost(exc)
        self.server.forget(self)
        for task in self.tasks:
            task.cancel()
        self.requests = RequestBuffer()
        self.server.memory.record(self, self.kept_bytes)

    def data_received(self, data: bytes) -> None:
        """Take the requests that are complete."""
        super().data_received(data)
        if self.is_closed:
            return
        if not self.requests.has_part:
            self.part_since = self.loop.time()
        self.requests.feed(data)
        self.take_requests()

    def resume_writing(self) -> None:
        """Take further requests when the client reads its replies again."""
        super().resume_writing()
        self._resume()

    def take_requests(self) -> None:
        """Start complete requests while there is room, and read on."""
        try:
            self._start_requests()
        except MalformedFrameError as error:
            self.server.record_malformed(str(error))
            self.reset()
            return
        self.set_reading(enabled=self.has_room)
        self.server.memory.record(self, self.kept_bytes)

    def is_slow(self, now: float, limit_s: float) -> bool:
        """Return whether the rest of a request has been due for too long."""
        if not self.has_room or not self.requests.has_part:
            return False
        return now - self.part_since > limit_s

    def release_memory(self) -> None:
        """End the connection."""
        self.reset()

    def _start_requests(self) -> None:
        while self.has_room and not self.is_closed:
            request = self.requests.take_request()
            if request is None:
                return
            self.part_since = self.loop.time()
            self.server.mark_used(self)
            identifiers, message = request
            self._start(identifiers, message)

    def _start(self, identifiers: bytes, message: bytes) -> None:
        self.request_bytes += len(message)
        task = self.loop.create_task(self._serve(identifiers, message))
        self.tasks.add(task)
        task.add_done_callback(lambda done: self._end(done, len(message)))

    async def _serve(self, identifiers: bytes, message: bytes) -> None:
        """Answer a request; the reply is lost if the client has gone."""
        reply = await self.server.answer(message)
        if self.is_closed:
            self.server.metrics.count('wire.reply_lost')
            return
        self.write(encode_reply(identifiers, reply))

    def _end(self, task: asyncio.Task[None], size: int) -> None:
        had_room = self.has_room
        self.tasks.discard(task)
        self.request_bytes -= size
        if self.is_closed:
            self.server.memory.record(self, self.kept_bytes)
        elif had_room:
            self.take_requests()
        else:
            self._resume()

    def _resume(self) -> None:
        """Take further requests; their rest could not arrive meanwhile."""
        self.part_since = self.loop.time()
        self.take_requests()
