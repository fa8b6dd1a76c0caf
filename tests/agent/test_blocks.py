"""Tests of client blocks from the object store to the steer program."""

import msgspec
import pytest
from result import Err, Ok

from egretmill.agent.blocks import (
    PART_BYTES,
    BlocksServer,
    DeltaIndex,
    delta_index_key,
)
from egretmill.document.environment import body_digest
from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.blocks import Change, ClientBlocks, Delta
from egretmill.lookup.blocks_file import encode_blocks
from egretmill.metrics import Metrics
from egretmill.steer.blocks import BlocksFetch
from egretmill.steer.state import SteerState
from egretmill.store.ports import Row
from egretmill.wire.messages import FetchBlocks


class FakeStore:
    """Objects and rows in memory; counts the reads of objects."""

    def __init__(self):
        self.objects = {}
        self.rows = {}
        self.reads = 0

    def put(self, body):
        """Store an object and return its digest."""
        digest = body_digest(body)
        self.objects[digest] = body
        return digest

    async def get_object(self, digest):
        """Return an object or ``not_found``."""
        self.reads += 1
        if digest not in self.objects:
            return Err(Failure(ErrorKind.NOT_FOUND, digest))
        return Ok(self.objects[digest])

    async def get_row(self, key):
        """Return a row, ``None`` when absent."""
        return Ok(self.rows.get(key))


class Clock:
    """Replaces the agent's state, of which only the time is used."""

    time = 0.0

    def now(self):
        """Return the time."""
        return self.time


class InProcessLink:
    """A connection that calls the blocks server in this process."""

    def __init__(self, server):
        self.server = server

    async def call(self, message, timeout_s):
        """Return the answer to a message."""
        return await self.server.read_part(message)


def table(*networks):
    """Return blocks and the bytes of their file."""
    changes = [Change.from_network(net, site) for net, site in networks]
    blocks = ClientBlocks.from_changes(changes).unwrap()
    return blocks, b''.join(encode_blocks(blocks))


@pytest.fixture
def objects():
    """Return an empty object store."""
    return FakeStore()


@pytest.fixture
def server(objects):
    """Return a blocks server over the objects."""
    return BlocksServer(Clock(), objects)


async def test_table_and_delta_reach_steer(objects, server):
    """Guards against outdated client blocks in the steer program.

    The first fetch gets a whole table, the second a delta.
    """
    _, body = table(('10.0.0.0/8', 'site-a'), ('192.0.2.0/24', 'site-b'))
    first = objects.put(body)
    state = SteerState(Metrics(None))
    fetch = BlocksFetch(InProcessLink(server), state)
    assert isinstance(await fetch.run(first), Ok)
    assert state.blocks.site_of('10.1.2.3') == 'site-a'
    changes = (Change.from_network('10.0.0.0/8', 'site-b'),)
    blocks, _ = table(('10.0.0.0/8', 'site-a'), ('192.0.2.0/24', 'site-b'))
    for _ in blocks.apply(Delta(first, '', changes)).unwrap():
        assert blocks.site_of('192.0.2.1') == 'site-b'
    second = objects.put(b''.join(encode_blocks(blocks)))
    delta = msgspec.msgpack.encode(Delta(first, second, changes))
    index = DeltaIndex({first: objects.put(delta)})
    row = Row(1, msgspec.json.encode(index).decode())
    objects.rows[delta_index_key(second)] = row
    assert isinstance(await fetch.run(second), Ok)
    assert state.blocks.site_of('10.1.2.3') == 'site-b'
    assert state.blocks_digest == second


async def test_large_object_is_read_once_and_then_dropped(objects, server):
    """Guards against a read per part, and against 16 MB kept in memory."""
    digest = objects.put(b'x' * (2 * PART_BYTES + 1))
    sizes = []
    for offset in (0, PART_BYTES, 2 * PART_BYTES):
        part = (
            await server.read_part(FetchBlocks(digest, '', offset))
        ).unwrap()
        sizes.append(len(part.part))
    assert sizes == [PART_BYTES, PART_BYTES, 1]
    assert objects.reads == 1
    server.state.time = 60.0
    server.evict_unused()
    assert server.cached is None


async def test_offset_past_the_end_is_refused(objects, server):
    """Guards against empty parts, with which a fetch would never end."""
    digest = objects.put(b'x')
    answer = await server.read_part(FetchBlocks(digest, '', 1))
    assert answer.unwrap_err().kind is ErrorKind.BAD_REQUEST
