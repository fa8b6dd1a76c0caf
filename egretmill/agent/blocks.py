"""Serves client blocks from the object store to the steer program."""

import dataclasses

import msgspec
from result import Err, Ok, Result

from egretmill.decoding import DECODE_ERRORS
from egretmill.agent.state import AgentState
from egretmill.errors import ErrorKind, Failure
from egretmill.store import StoreClient
from egretmill.wire.messages import BlocksBody, FetchBlocks

__all__ = ('BlocksServer', 'DeltaIndex', 'delta_index_key')

# A message between programs may have 8 MiB; smaller parts keep the event
# loop of the agent free for heartbeats.
PART_BYTES = 1048576
# The steer program fetches all parts in a row; then the object is evicted
# soon, as a table of 3.2 million blocks takes half the agent's memory
# budget of 32 MB.
CACHE_TTL_S = 5.0


class DeltaIndex(msgspec.Struct, frozen=True):
    """Row ``blocks/<digest>``: object digests of deltas by base table."""

    deltas: dict[str, str] = {}


@dataclasses.dataclass(slots=True)
class CachedObject:
    """An object of which parts are being sent, and its last use."""

    digest: str
    body: bytes
    last_used_at: float


def delta_index_key(digest: str) -> str:
    """Return the key of the row that lists the deltas to a table."""
    return f'blocks/{digest}'


class BlocksServer:
    """Reads objects from the platform and serves them in parts."""

    def __init__(self, state: AgentState, store: StoreClient) -> None:
        """Start without a cached object."""
        self.state = state
        self.store = store
        self.cached: CachedObject | None = None

    async def read_part(
        self,
        request: FetchBlocks,
    ) -> Result[BlocksBody, Failure]:
        """Return one part of a delta if there is one, else of the table."""
        delta = ''
        if request.base:
            delta = await self.find_delta(request)
        loaded = await self.read_object(delta or request.digest)
        if isinstance(loaded, Err):
            return loaded
        body = loaded.ok_value
        if request.offset >= len(body):
            detail = f'offset {request.offset} of {len(body)}'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        return Ok(
            BlocksBody(
                digest=request.digest,
                kind='delta' if delta else 'table',
                offset=request.offset,
                size=len(body),
                part=body[request.offset : request.offset + PART_BYTES],
            ),
        )

    async def find_delta(self, request: FetchBlocks) -> str:
        """Return the object digest of a delta, empty when there is none."""
        read = await self.store.get_row(delta_index_key(request.digest))
        row = read.unwrap_or(None)
        if row is None:
            return ''
        try:
            index = msgspec.json.decode(row.body, type=DeltaIndex)
        except DECODE_ERRORS:
            return ''
        return index.deltas.get(request.base, '')

    async def read_object(self, digest: str) -> Result[bytes, Failure]:
        """Return an object, from the cache while its parts are being sent."""
        now = self.state.now()
        if self.cached is not None and self.cached.digest == digest:
            self.cached.last_used_at = now
            return Ok(self.cached.body)
        read = await self.store.get_object(digest)
        if isinstance(read, Ok):
            self.cached = CachedObject(digest, read.ok_value, now)
        return read

    def evict_unused(self) -> None:
        """Evict the cached object if it was not used for a while."""
        if self.cached is None:
            return
        if self.state.now() - self.cached.last_used_at > CACHE_TTL_S:
            self.cached = None
