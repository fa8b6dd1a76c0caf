"""Request bodies: kept in memory when small, streamed when large."""

import asyncio
from collections.abc import AsyncIterator

import xxhash

__all__ = ('BUFFERED_BODY_BYTES', 'Body', 'BufferedBody', 'StreamedBody')

# Bodies up to this size are read before the request is admitted, so that
# an attempt that reached no upstream can be repeated on another one.
BUFFERED_BODY_BYTES = 65536
# With tornado's chunks of 64 KiB this bounds an upload to 256 KiB.
QUEUED_CHUNKS = 4


class Body:
    """A request body; ``size`` is ``None`` when it is not announced."""

    size: int | None = 0

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent again from its start."""
        return False

    @property
    def digest(self) -> str:
        """Return what identifies the body for repeated requests."""
        return str(self.size)

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; may be called again when replayable."""
        raise NotImplementedError


class BufferedBody(Body):
    """A body that was read completely."""

    def __init__(self, content: bytes) -> None:
        """Keep the bytes."""
        self.content = content
        self.size = len(content)

    @property
    def replayable(self) -> bool:
        """A buffered body can be sent any number of times."""
        return True

    @property
    def digest(self) -> str:
        """Return a hash of the bytes."""
        return xxhash.xxh3_128_hexdigest(self.content)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes at once."""
        if self.content:
            yield self.content


class StreamedBody(Body):
    """A body that arrives while it is sent on, in bounded memory."""

    def __init__(self, size: int | None) -> None:
        """Start empty; ``size`` is the announced number of bytes."""
        self.size = size
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUED_CHUNKS)
        self.consumed = False
        self.abandoned = asyncio.Event()

    @property
    def replayable(self) -> bool:
        """A streamed body can be sent as long as nobody has read of it."""
        return not self.consumed

    async def feed(self, chunk: bytes) -> None:
        """Add a chunk; waits while the upstream is slower than the caller.

        Chunks are dropped after :meth:`abandon`. An empty chunk is the end.
        """
        if self.abandoned.is_set():
            return
        putting = asyncio.ensure_future(self.queue.put(chunk))
        leaving = asyncio.ensure_future(self.abandoned.wait())
        await asyncio.wait(
            (putting, leaving),
            return_when=asyncio.FIRST_COMPLETED,
        )
        putting.cancel()
        leaving.cancel()

    def abandon(self) -> None:
        """Stop taking chunks because nobody will read them."""
        self.abandoned.set()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks until the end of the body."""
        self.consumed = True
        while chunk := await self.queue.get():
            yield chunk
