"""The deadline of a call to an upstream."""

import asyncio

from tornado.httputil import HTTPHeaders

from egretmill.entry.body import BufferedBody
from egretmill.entry.upstream_call import UpstreamCall, UpstreamTarget
from egretmill.errors import ErrorKind


async def test_deadline_is_kept_when_the_connect_ends_at_the_same_time():
    """Guards against a call that loses its deadline and never ends.

    It was lost when the deadline passed just as the connect finished.
    """
    server = await asyncio.start_server(
        lambda *_: asyncio.sleep(5),
        '127.0.0.1',
        0,
    )
    port = server.sockets[0].getsockname()[1]
    target = UpstreamTarget('127.0.0.1', port, 'GET', '/')
    call = UpstreamCall(target, None)
    past = asyncio.get_running_loop().time() - 1
    async with asyncio.timeout(1):
        end = await call.run(HTTPHeaders(), BufferedBody(b''), 0.5, past)
    assert (end.kind, end.sent) == (ErrorKind.UPSTREAM_TIMEOUT, False)
    server.close()
