"""Request bodies: buffered when small, streamed when large."""

import asyncio
from collections.abc import AsyncIterator

import xxhash

__all__ = (
    'Body',
    'BufferedBody',
    'StreamedBody',
    'is_buffered',
    'memory_of_body',
)

# Bodies up to this size are read before the request is admitted, so that
# an attempt that reached no upstream can be repeated on another one.
BUFFERED_BODY_BYTES = 65536
# With tornado's chunks of 64 KiB this bounds an upload to 256 KiB of memory.
MAX_QUEUED_CHUNKS = 4
# Memory of an upload: its queue, and the buffer of its connection.
STREAM_BYTES = 393216


def memory_of_body(size: int | None) -> int:
    """Return the memory that a body of a size takes, at most.

    :param size: its length, ``None`` if it is not known.
    """
    if is_buffered(size):
        # The received bytes are copied once.
        return 2 * (size or 0)
    return STREAM_BYTES


def is_buffered(size: int | None) -> bool:
    """Return whether a body is read before the request is admitted."""
    return size is not None and size <= BUFFERED_BODY_BYTES


class Body:
    """A request body; ``size`` is ``None`` without a Content-Length."""

    size: int | None = 0

    @property
    def is_replayable(self) -> bool:
        """Return whether the body can be sent from its start."""
        return False

    @property
    def digest(self) -> str:
        """Return a digest that repeats of the same request share."""
        return str(self.size)

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; callable again while it is replayable."""
        raise NotImplementedError


class BufferedBody(Body):
    """A body that was read into memory before the request is admitted."""

    def __init__(self, content: bytes) -> None:
        """Keep the bytes."""
        self.content = content
        self.size = len(content)

    @property
    def is_replayable(self) -> bool:
        """Return true: a buffered body can be sent any number of times."""
        return True

    @property
    def digest(self) -> str:
        """Return a hash of the bytes."""
        return xxhash.xxh3_128_hexdigest(self.content)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield all bytes as one chunk."""
        if self.content:
            yield self.content


class StreamedBody(Body):
    """A body that is forwarded while it arrives, in bounded memory."""

    def __init__(self, size: int | None) -> None:
        """Start empty; ``size`` is the Content-Length, if there is one."""
        self.size = size
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        self.was_read = False
        self.abandoned = asyncio.Event()

    @property
    def is_replayable(self) -> bool:
        """Return whether no chunk has been read yet."""
        return not self.was_read

    async def feed(self, chunk: bytes) -> None:
        """Add a chunk; waits while the queue is full (backpressure).

        Chunks are dropped after :meth:`abandon`. An empty chunk ends the
        body.
        """
        if self.abandoned.is_set():
            return
        put = asyncio.ensure_future(self.queue.put(chunk))
        abandonment = asyncio.ensure_future(self.abandoned.wait())
        await asyncio.wait(
            (put, abandonment),
            return_when=asyncio.FIRST_COMPLETED,
        )
        put.cancel()
        abandonment.cancel()

    def abandon(self) -> None:
        """Drop further chunks, because no attempt will read them."""
        self.abandoned.set()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks until the end of the body."""
        self.was_read = True
        while chunk := await self.queue.get():
            yield chunk
