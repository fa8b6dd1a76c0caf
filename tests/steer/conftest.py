"""Fixtures of the steer tests: a fake agent and free ports."""

import pathlib
import socket

import msgspec
import pytest
from result import Err, Ok

from egretmill.errors import ErrorKind, Failure
from egretmill.lookup.blocks import Change, ClientBlocks
from egretmill.lookup.blocks_file import digest_steps, encode_blocks
from egretmill.metrics import Metrics
from egretmill.wire import Server, messages

ADDRESS = '127.0.0.1'
PART_BYTES = 100
DOCUMENT = pathlib.Path(__file__).parent / 'document.toml'


class FakeAgent:
    """Answers the messages of the steer program from a given state."""

    def __init__(self, port, body):
        """Start with three hosts, one per failure domain, and one block."""
        self.port = port
        self.body = body
        self.version = 1
        self.pulls = []
        self.peers = tuple(make_peer(index) for index in (1, 2, 3))
        blocks = ClientBlocks.from_changes(
            [Change.from_network('10.0.0.0/8', 'batumi-1')],
        ).unwrap()
        self.tables = {}
        self.deltas = {}
        self.publish(blocks)
        self.server = None

    def publish(self, blocks):
        """Announce a table as the current one."""
        self.digest = list(digest_steps(blocks))[-1]
        self.tables[self.digest] = b''.join(encode_blocks(blocks))

    def publish_delta(self, delta):
        """Announce the result of a delta, and serve only the delta."""
        self.digest = delta.digest
        self.deltas[delta.base, delta.digest] = msgspec.msgpack.encode(delta)

    def start(self):
        """Listen in the running event loop."""
        metrics = Metrics(None)
        self.server = Server(ADDRESS, self.port, self.handle, metrics)
        self.server.start()

    def close(self):
        """Stop answering."""
        self.server.close()

    async def handle(self, message):
        """Answer one message."""
        if isinstance(message, messages.PullState):
            self.pulls.append(message)
            return Ok(self.host_state(message))
        return self.read_part(message)

    def read_part(self, message):
        """Return one part of a delta or a table."""
        digest = message.digest
        kind = 'delta'
        body = self.deltas.get((message.base, digest))
        if body is None:
            kind = 'table'
            body = self.tables.get(digest)
        if body is None:
            return Err(Failure(ErrorKind.NOT_FOUND, digest))
        offset = message.offset
        part = body[offset : offset + PART_BYTES]
        return Ok(messages.BlocksBody(digest, kind, offset, len(body), part))

    def host_state(self, pull):
        """Return the state of the host."""
        known = pull.known_version == self.version
        return messages.HostState(
            host='entry-1',
            version=self.version,
            document=b'' if known else self.body,
            confirmed_at=0,
            settled_version=self.version,
            slot=None,
            peers=self.peers,
            upstreams=(),
            blocks_digest=self.digest,
        )


def make_peer(index, **fields):
    """Return the state of one entry host."""
    domain = ('tbilisi-a', 'kutaisi-a', 'batumi-a')[index - 1]
    host = messages.HostRecord(
        f'entry-{index}',
        domain,
        f'127.0.0.{index}',
        8080,
        8081,
        8090,
        8091,
    )
    defaults = {'reachable': True, 'leaving': False, 'entry_ready': True}
    return messages.PeerState(host, 1, 1, **(defaults | fields))


@pytest.fixture
def free_port():
    """Return a function that returns a free TCP port."""

    def find():
        with socket.socket() as probe:
            probe.bind((ADDRESS, 0))
            return probe.getsockname()[1]

    return find


@pytest.fixture
async def agent(free_port):
    """Return a running fake agent."""
    fake = FakeAgent(free_port(), DOCUMENT.read_bytes())
    fake.start()
    yield fake
    fake.close()
