"""Serves client blocks to the steer program, from the object store."""

import dataclasses

import msgspec
from result import Err, Ok, Result

from egretmill.agent.state import AgentState
from egretmill.errors import ErrorKind, Failure
from egretmill.store import StoreClient
from egretmill.wire.messages import BlocksBody, FetchBlocks

__all__ = ('BlocksServer', 'DeltaIndex', 'deltas_key')

# A frame between programs may have 8 MiB; smaller parts keep the loop of
# the agent free for heartbeats.
PART_BYTES = 1048576
# The steer program fetches all parts in a row. The bytes are dropped soon
# afterwards: a table of 3.2 million blocks has half the agent's memory
# budget of 32 MB.
KEEP_S = 5.0


class DeltaIndex(msgspec.Struct, frozen=True):
    """Row ``blocks/<digest>``: object digests of deltas by base digest."""

    deltas: dict[str, str] = {}


@dataclasses.dataclass(slots=True)
class Kept:
    """The object that is being sent, and when it was last asked for."""

    digest: str
    body: bytes
    used_at: float


def deltas_key(digest: str) -> str:
    """Return the key of the row with the deltas that lead to a table."""
    return f'blocks/{digest}'


class BlocksServer:
    """Reads objects from the platform and cuts them into parts."""

    def __init__(self, state: AgentState, store: StoreClient) -> None:
        """Hold no object."""
        self.state = state
        self.store = store
        self.kept: Kept | None = None

    async def part(
        self,
        asked: FetchBlocks,
    ) -> Result[BlocksBody, Failure]:
        """Return one part of a table, or of a delta if there is one."""
        delta = ''
        if asked.base:
            delta = await self.find_delta(asked)
        found = await self.load(delta or asked.digest)
        if isinstance(found, Err):
            return found
        body = found.ok_value
        if asked.offset >= len(body):
            detail = f'offset {asked.offset} of {len(body)}'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        return Ok(
            BlocksBody(
                digest=asked.digest,
                kind='delta' if delta else 'table',
                offset=asked.offset,
                size=len(body),
                part=body[asked.offset : asked.offset + PART_BYTES],
            ),
        )

    async def find_delta(self, asked: FetchBlocks) -> str:
        """Return the object digest of a delta, empty when there is none."""
        read = await self.store.get_row(deltas_key(asked.digest))
        row = read.unwrap_or(None)
        if row is None:
            return ''
        try:
            index = msgspec.json.decode(row.body, type=DeltaIndex)
        except msgspec.DecodeError:
            return ''
        return index.deltas.get(asked.base, '')

    async def load(self, digest: str) -> Result[bytes, Failure]:
        """Return an object, from memory while it is being sent."""
        now = self.state.now()
        if self.kept is not None and self.kept.digest == digest:
            self.kept.used_at = now
            return Ok(self.kept.body)
        read = await self.store.get_object(digest)
        if isinstance(read, Ok):
            self.kept = Kept(digest, read.ok_value, now)
        return read

    def drop_unused(self) -> None:
        """Free an object that is not asked for any more."""
        if self.kept is None:
            return
        if self.state.now() - self.kept.used_at > KEEP_S:
            self.kept = None
