"""Each request of a connection gets one answer, whatever ends first."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.http1 import Response, ServerConnection, drain
from egretmill.http1.server import FIRST_REQUEST_WAIT_S
from tests.http1.harness import FakeTransport, Recorder
from tests.virtual_time import run_virtual

MAX_REQUESTS = 4
#: Longer than a draining connection waits for a request.
SETTLE_S = 4 * FIRST_REQUEST_WAIT_S
BODY = b'body of a request'
#: Parts in which a request is sent.
HEAD_PARTS = 2
BODY_PARTS = 2
#: Steps of a run: the caller sends so many parts, the host answers the request
#: of that index among the unanswered ones, the host drains, time passes.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('send'), st.integers(1, HEAD_PARTS + BODY_PARTS)),
        st.tuples(st.just('answer'), st.integers(0, MAX_REQUESTS - 1)),
        st.tuples(st.just('keep'), st.integers(0, MAX_REQUESTS - 1)),
        st.tuples(st.just('drain'), st.just(0)),
        st.tuples(st.just('wait'), st.just(0)),
    ),
    max_size=20,
)
FRAMINGS = st.lists(
    st.sampled_from(('none', 'length', 'chunked')),
    min_size=1,
    max_size=MAX_REQUESTS,
)


def encode_request(number, framing):
    """Return the head and the body of a request."""
    line = b'POST /%d HTTP/1.1\r\nHost: h\r\n' % number
    match framing:
        case 'length':
            return line + b'Content-Length: %d\r\n\r\n' % len(BODY), BODY
        case 'chunked':
            chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)
            return line + b'Transfer-Encoding: chunked\r\n\r\n', chunk
        case _:
            return line + b'Content-Length: 0\r\n\r\n', b''


def split(content, parts):
    """Split bytes into parts of about the same size."""
    size = -(-len(content) // parts) or 1
    return [
        content[start : start + size] for start in range(0, len(content), size)
    ]


class Run:
    """A connection, what its caller still sends, and what was answered."""

    def __init__(self, framings):
        self.recorder = Recorder()
        self.connection = ServerConnection(self.recorder)
        self.transport = FakeTransport(self.connection)
        #: Parts that are still to be sent, with the number of requests that
        #: are sent whole with each.
        self.rest = []
        for number, framing in enumerate(framings):
            head, body = encode_request(number, framing)
            parts = split(head, HEAD_PARTS) + split(body, BODY_PARTS)
            self.rest += [(part, number) for part in parts[:-1]]
            self.rest.append((parts[-1], number + 1))
        self.sent_requests = 0

    async def step(self, kind, number):
        """Make one step."""
        match kind:
            case 'send':
                self.send(number)
            case 'answer' | 'keep':
                self.answer(number, keeps_body=kind == 'keep')
            case 'drain':
                self.recorder.leaving = True
                drain(self.connection)
            case _:
                await asyncio.sleep(FIRST_REQUEST_WAIT_S / 2)
        await asyncio.sleep(0)

    def send(self, parts):
        """Send the next parts, as long as the connection is open."""
        for _ in range(min(parts, len(self.rest))):
            if self.transport.closed:
                return
            part, self.sent_requests = self.rest.pop(0)
            self.connection.data_received(part)

    def answer(self, number, *, keeps_body=False):
        """Answer one of the unanswered requests."""
        unanswered = [
            pending
            for pending in self.recorder.requests
            if pending.response is None
        ]
        if unanswered and not self.transport.closed:
            pending = unanswered[number % len(unanswered)]
            response = Response(200, body=pending.head.target)
            pending.answer(response, keeps_body=keeps_body)

    async def finish(self):
        """Send and answer what is left, and let the connection settle."""
        while self.rest and not self.transport.closed:
            self.send(len(self.rest))
            await asyncio.sleep(0)
        while not self.transport.closed and any(
            pending.response is None for pending in self.recorder.requests
        ):
            self.answer(0)
            await asyncio.sleep(0)
        await asyncio.sleep(SETTLE_S)


async def play(framings, steps):
    """Play the steps, and check what the caller got."""
    run = Run(framings)
    for kind, number in steps:
        await run.step(kind, number)
    await run.finish()
    answers = run.transport.written.split(b'HTTP/1.1 200 OK\r\n')[1:]
    targets = [answer.rpartition(b'\r\n\r\n')[2] for answer in answers]
    closes = [b'Connection: close' in answer for answer in answers]
    taken = [pending.head.target for pending in run.recorder.requests]
    assert targets == taken
    assert not any(closes[:-1])
    assert not run.recorder.errors
    if run.recorder.leaving:
        assert run.transport.closed
        assert run.sent_requests <= len(taken) or any(closes)
    else:
        assert not run.transport.closed
        assert len(taken) == len(framings)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(FRAMINGS, STEPS)
def test_each_request_that_is_taken_gets_one_answer(framings, steps):
    """Guards against requests without an answer, or with a second one.

    A connection that drains ends, and takes nothing behind the answer that
    closes it; one that does not drain takes all requests.
    """
    run_virtual(play(framings, steps))
