"""A connection to an upstream carries whole requests, whatever ends first."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.http1 import Body, Call, ClientConnection
from tests.http1.harness import FakeTransport
from tests.virtual_time import run_virtual

MAX_CHUNKS = 3
CHUNK = b'chunk of a body'
DEADLINE_S = 5.0
#: Steps of a call: a chunk or the end of its body arrives from the caller, the
#: upstream answers or takes nothing for a while, the event loop runs.
STEPS = st.lists(
    st.sampled_from(
        ('chunk', 'end', 'success', 'failure', 'pause', 'resume', 'run')
    ),
    max_size=10,
)
CALLS = st.lists(
    st.tuples(st.integers(0, MAX_CHUNKS), st.booleans(), STEPS),
    min_size=1,
    max_size=3,
)


class CallRun:
    """One call, and what its caller and its upstream do meanwhile."""

    def __init__(self, connection, chunks, is_chunked):
        self.connection = connection
        self.body = Body()
        self.chunks = chunks
        self.is_answered = False
        size = chunks * len(CHUNK)
        deadline_at = connection.loop.time() + DEADLINE_S
        declared_length = None if is_chunked else b'%d' % size
        self.call = Call(
            b'POST',
            b'/x',
            [(b'Host', b'h')],
            self.body,
            deadline_at,
            declared_length=declared_length,
        )

    async def run(self, steps):
        """Make the call; return whether it may be followed by another."""
        connection = self.connection
        task = asyncio.create_task(connection.send(self.call))
        await asyncio.sleep(0)
        for step in steps:
            await self.step(step)
        connection.resume_writing()
        self.answer(200)
        await asyncio.sleep(0)
        await task
        if connection.sends_rest:
            await self.finish()
        return connection.is_usable

    async def finish(self):
        """Let the rest of the body arrive behind an early success."""
        while self.chunks:
            self.feed()
        self.body.mark_complete()
        assert await self.connection.finish_request(self.call.deadline_at)

    async def step(self, step):
        """Make one step."""
        match step:
            case 'chunk':
                self.feed()
            case 'end':
                if not self.chunks:
                    self.body.mark_complete()
            case 'success':
                self.answer(200)
            case 'failure':
                self.answer(503)
            case 'pause':
                self.connection.pause_writing()
            case 'resume':
                self.connection.resume_writing()
            case _:
                await asyncio.sleep(0)

    def feed(self):
        """Let the next chunk arrive."""
        if self.chunks:
            self.chunks -= 1
            self.body.feed(CHUNK)

    def answer(self, status):
        """Answer the call once."""
        if not self.is_answered:
            self.is_answered = True
            self.connection.data_received(
                b'HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n' % status
            )


def parse_requests(stream):
    """Return the bodies of the whole requests, and the bytes that are left."""
    bodies = []
    while stream:
        head, end, rest = stream.partition(b'\r\n\r\n')
        assert head.startswith(b'POST /x HTTP/1.1\r\n')
        assert end
        is_chunked = b'Transfer-Encoding: chunked' in head
        body, rest = (read_chunks if is_chunked else read_length)(head, rest)
        if body is None:
            return bodies, stream
        bodies.append(body)
        stream = rest
    return bodies, b''


def read_length(head, rest):
    """Return a body of stated length, ``None`` if it is cut, and the rest."""
    length = int(head.partition(b'Content-Length: ')[2].split(b'\r\n')[0])
    if len(rest) < length:
        return None, rest
    return rest[:length], rest[length:]


def read_chunks(head, rest):
    """Return a body in chunks, ``None`` if it is cut, and the rest."""
    body = b''
    while rest:
        size_line, _, rest = rest.partition(b'\r\n')
        size = int(size_line, 16)
        body += rest[:size]
        assert rest[size : size + 2] == b'\r\n'
        rest = rest[size + 2 :]
        if not size:
            return body, rest
    return None, rest


async def play(calls):
    """Make calls on one connection for as long as it is kept."""
    connection = ClientConnection()
    transport = FakeTransport(connection)
    expected = []
    is_kept = True
    for chunks, is_chunked, steps in calls:
        if is_kept:
            expected.append(CHUNK * chunks)
            is_kept = await CallRun(connection, chunks, is_chunked).run(steps)
    bodies, cut = parse_requests(transport.written)
    assert bodies == expected[: len(bodies)]
    if is_kept:
        assert bodies == expected
        assert not cut
    else:
        assert len(bodies) >= len(expected) - 1


@settings(derandomize=True, max_examples=300, deadline=None)
@given(CALLS)
def test_kept_connection_carries_whole_requests_only(calls):
    """Guards against a request in the place of the rest of an earlier body."""
    run_virtual(play(calls))
