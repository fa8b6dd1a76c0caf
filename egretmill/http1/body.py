"""Request bodies, which are held in memory or forwarded while they arrive."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable

__all__ = ('BODY_BUFFER_BYTES', 'Body', 'TruncatedBodyError')

#: Bodies up to this size are held in memory, so that they can be sent again.
#: Of a longer body, at most this much is buffered for the receiver.
BODY_BUFFER_BYTES = 1 << 20
#: Shorter chunks are joined up to this size: the object of a chunk can take far
#: more memory than its bytes.
JOINED_CHUNK_BYTES = 16 << 10


class TruncatedBodyError(Exception):
    """A body has no end: its sender disconnected, or it was discarded."""


class Body:
    """A request body that is received from a caller.

    A body up to :data:`BODY_BUFFER_BYTES` is buffered as a whole. A longer
    one is forwarded while it arrives and can be sent only once.

    :param resume_reading: called when a full buffer has room again.
    """

    def __init__(
        self, resume_reading: Callable[[], None] | None = None
    ) -> None:
        self.chunks: collections.deque[bytes | bytearray] = collections.deque()
        self.buffered_bytes = 0
        self.received_bytes = 0
        self.complete = False
        self.truncated = False
        self.replayable = True
        self.discarded = False
        self.resume_reading = resume_reading
        self.state_changed: asyncio.Event | None = None

    @classmethod
    def from_bytes(cls, content: bytes) -> 'Body':
        """Return a complete body."""
        body = cls()
        if content:
            body.feed(content)
        body.mark_complete()
        return body

    @property
    def is_buffer_full(self) -> bool:
        """Return whether reading from the sender should pause."""
        return self.buffered_bytes >= BODY_BUFFER_BYTES

    @property
    def is_forwardable(self) -> bool:
        """Return whether the body is complete, truncated or fills the buffer.

        Until then, forwarding waits, so that a short body is replayable.
        """
        return self.complete or self.truncated or self.is_buffer_full

    def feed(self, chunk: bytes) -> None:
        """Append a received chunk, unless the body is discarded."""
        self.received_bytes += len(chunk)
        if self.discarded:
            return
        last = self.chunks[-1] if self.chunks else None
        if isinstance(last, bytearray) and len(last) < JOINED_CHUNK_BYTES:
            last += chunk
        elif len(chunk) < JOINED_CHUNK_BYTES:
            self.chunks.append(bytearray(chunk))
        else:
            self.chunks.append(chunk)
        self.buffered_bytes += len(chunk)
        self._notify_change()

    def discard(self) -> None:
        """Drop what is buffered and what will still be received."""
        self.discarded = True
        self.chunks.clear()
        self.buffered_bytes = 0
        self._notify_change()
        if self.resume_reading is not None:
            self.resume_reading()

    def mark_complete(self) -> None:
        """Record that the whole body has arrived."""
        self.complete = True
        self._notify_change()

    def mark_truncated(self) -> None:
        """Record that the rest of an incomplete body will not arrive."""
        self.truncated = not self.complete
        self._notify_change()

    async def wait_until_forwardable(self) -> None:
        """Wait until the body is complete, truncated or fills the buffer."""
        while not self.is_forwardable:
            await self._wait_for_change()

    async def iter_chunks(self) -> AsyncIterator[bytes | bytearray]:
        """Yield the chunks; those of a body that streams are discarded.

        :raises TruncatedBodyError: when the sender has disconnected, or the
            rest was discarded.
        """
        if not self.complete:
            self.replayable = False
        position = 0
        while True:
            while position < len(self.chunks):
                yield self._take_chunk(position)
                position += int(self.replayable)
            if self.truncated or self.discarded:
                raise TruncatedBodyError
            if self.complete:
                return
            await self._wait_for_change()

    def _take_chunk(self, position: int) -> bytes | bytearray:
        """Return a chunk; one that will not be sent again is dropped."""
        if self.replayable:
            return self.chunks[position]
        was_buffer_full = self.is_buffer_full
        chunk = self.chunks.popleft()
        self.buffered_bytes -= len(chunk)
        if (
            was_buffer_full
            and not self.is_buffer_full
            and self.resume_reading is not None
        ):
            self.resume_reading()
        return chunk

    async def _wait_for_change(self) -> None:
        if self.state_changed is None:
            self.state_changed = asyncio.Event()
        self.state_changed.clear()
        await self.state_changed.wait()

    def _notify_change(self) -> None:
        if self.state_changed is not None:
            self.state_changed.set()
