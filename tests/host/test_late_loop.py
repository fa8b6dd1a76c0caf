"""Requests that are read late because the event loop is busy."""

import asyncio
import time

from egretmill.host.event_loop import BootLoop
from egretmill.host.handler import MAX_ITERATION_S, EntryHandler
from egretmill.http1 import ServerConnection
from tests.host.fakes import make_state
from tests.http1.harness import FakeTransport

REQUEST = b'GET /p/1 HTTP/1.1\r\nHost: h\r\n\r\n'


def test_requests_late_in_an_iteration_are_refused_at_once():
    """Guards against requests sent on after their callers have left."""

    async def read_late():
        handler = EntryHandler(make_state())
        handler.iterations = asyncio.get_running_loop().iterations
        late, timely = (ServerConnection(handler) for _ in range(2))
        transport = FakeTransport(late)
        FakeTransport(timely)
        await asyncio.sleep(0)
        time.sleep(MAX_ITERATION_S * 1.5)
        late.data_received(REQUEST)
        await asyncio.sleep(0)
        timely.data_received(REQUEST)
        requests = len(handler.tasks)
        for task in tuple(handler.tasks):
            task.cancel()
        await asyncio.sleep(0)
        return transport.written, requests

    with asyncio.Runner(loop_factory=BootLoop) as runner:
        answer, requests = runner.run(read_late())
    assert answer.startswith(b'HTTP/1.1 503')
    assert b'x-egretmill-outcome: not-run' in answer.lower()
    assert requests == 1
