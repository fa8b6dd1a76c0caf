"""Graceful shutdown by ``EntryProgram.stop``: no request is cut (P9)."""

import asyncio
import json

import msgspec

from tests.entry.harness import ADDRESS, KEY, running_entry

GET = f'GET /board HTTP/1.1\r\nHost: x\r\nX-Api-Key: {KEY}\r\n\r\n'.encode()
UPLOAD_BYTES = 200000
UPLOAD = (
    f'POST /intake HTTP/1.1\r\nHost: x\r\nX-Api-Key: {KEY}\r\n'
    f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'
).encode()


async def open_connection(entry, data):
    """Open a connection and send bytes."""
    reader, writer = await asyncio.open_connection(ADDRESS, entry.port)
    writer.write(data)
    await writer.drain()
    return reader, writer


def shorten_drain(entry, drain_s):
    """Set a drain time that is shorter than in production."""
    settings = entry.program.settings
    timing = msgspec.structs.replace(settings.timing, drain_s=drain_s)
    entry.program.settings = msgspec.structs.replace(settings, timing=timing)


def assert_answered(received):
    """Check that an answer is complete and closes the connection."""
    first, _, body = received.partition(b'\r\n\r\n')
    assert b' 200 ' in first
    assert b'Connection: close' in first
    assert json.loads(body)['upstream']


async def test_stop_cuts_no_request_and_closes_idle_connections():
    """Guards against requests, uploads and answers cut by a shutdown.

    They begin before or during the drain and end after it.
    """
    async with running_entry() as entry:
        shorten_drain(entry, 0.3)
        entry.set_faults('board', service_s=0.35)
        short = UPLOAD.replace(b'200000', b'4')
        heads = (GET, UPLOAD + b'x' * 100000, short + b'xx')
        callers = [await open_connection(entry, data) for data in heads]
        idle = await open_connection(entry, GET.replace(b'/board', b'/nowhere'))
        assert b' 404 ' in await idle[0].readuntil(b'}\n')
        stopping = asyncio.create_task(entry.program.stop())
        await asyncio.sleep(0.1)
        callers.append(await open_connection(entry, GET))
        await asyncio.sleep(0.4)
        callers[1][1].write(b'x' * 100000)
        callers[2][1].write(b'xx')
        async with asyncio.timeout(2):
            *answers, nothing = await asyncio.gather(
                *(reader.read() for reader, _ in callers),
                idle[0].read(),
            )
            await stopping
        assert nothing == b''
        for answer in answers:
            assert_answered(answer)


async def test_request_on_an_idle_connection_during_the_drain_is_answered():
    """Guards against callers that stay connected to a leaving host."""
    async with running_entry() as entry:
        shorten_drain(entry, 0.3)
        reader, writer = await open_connection(entry, GET)
        await reader.readuntil(b'}')
        stopping = asyncio.create_task(entry.program.stop())
        await asyncio.sleep(0.05)
        writer.write(GET)
        answer = await asyncio.wait_for(reader.read(), 1)
        assert b' 200 ' in answer
        assert b'Connection: close' in answer
        await asyncio.wait_for(stopping, 2)
