"""Clients that send what no client should, and keep connections open."""

import asyncio
import contextlib
import dataclasses
import pathlib

KIB = 1 << 10
MIB = 1 << 20
#: Time for which the clients keep their connections open, in seconds.
HOLD_S = 3.0
#: Longest time for sending to a program that reads nothing more, in seconds.
SEND_LIMIT_S = 20.0
PIECE_BYTES = 16 * KIB
TRICKLE_INTERVAL_S = 0.5
#: Pause of a client whose connection was closed, in seconds.
RECONNECT_S = 0.05
#: Bytes of a behaviour that goes on until the connection is closed.
ENDLESS = 4 * MIB


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """What a client sends before it keeps its connection open.

    :param repeated: sent again and again behind the start.
    :param size: bytes to send, if the connection is not closed.
    """

    start: bytes
    repeated: bytes = b''
    size: int = 0


def short_headers(size):
    """Return header lines with many different names, up to a size."""
    lines = b''.join(b'%x:\r\n' % number for number in range(size // 4))
    return lines[: lines.rindex(b'\n', 0, size) + 1]


def unread_bytes(port):
    """Return what the kernel has received on a port and nobody has read."""
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        local_port = int(fields[1].partition(':')[2], 16)
        is_listening = fields[3] == '0A'
        if local_port == port and not is_listening:
            total += int(fields[4].partition(':')[2], 16)
    return total


def memory_bytes(pid):
    """Return the memory of a process now."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('VmRSS:')[2].split()[0]) << 10


def peak_memory_bytes(pid):
    """Return the peak memory of a process."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0]) << 10


async def misbehave(address, behaviour):
    """Send as a client does that misbehaves; return its connection."""
    reader, writer = await asyncio.open_connection(*address, limit=PIECE_BYTES)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_LIMIT_S):
            await send(reader, writer, behaviour)
    return writer


async def send(reader, writer, behaviour):
    """Send until the end of the behaviour or of the connection."""
    writer.write(behaviour.start)
    sent = len(behaviour.start)
    while sent < behaviour.size and not reader.at_eof():
        piece = behaviour.repeated[: behaviour.size - sent]
        writer.write(piece)
        sent += len(piece)
        await writer.drain()
    await writer.drain()


async def keep_crowd(address, behaviour, clients):
    """Let clients misbehave at once, and close their connections."""
    writers = await asyncio.gather(
        *(misbehave(address, behaviour) for _ in range(clients)),
        return_exceptions=True,
    )
    await asyncio.sleep(HOLD_S)
    for writer in writers:
        if isinstance(writer, asyncio.StreamWriter):
            writer.transport.abort()


async def flood(address, content):
    """Send without end and drop the answers, again after each close."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await asyncio.gather(
                    send_all(reader, writer, content), drop_answers(reader)
                )
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_S)


async def send_all(reader, writer, content):
    """Send without end, until the connection is closed."""
    while not reader.at_eof():
        writer.write(content)
        await writer.drain()
        # Draining does not wait while the program reads all.
        await asyncio.sleep(0)


async def drop_answers(reader):
    """Read until the connection is closed."""
    while await reader.read(MIB):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def keep_tasks(tasks):
    """Keep clients at work."""
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def flooding(address, content, clients):
    """Keep clients connected that send without end."""
    return keep_tasks(
        [asyncio.create_task(flood(address, content)) for _ in range(clients)]
    )


async def trickle(address, start, piece):
    """Connect and send a piece now and then, again after each close."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await send_slowly(reader, writer, start, piece)
            finally:
                writer.transport.abort()
        await asyncio.sleep(TRICKLE_INTERVAL_S)


async def send_slowly(reader, writer, start, piece):
    """Send a piece now and then, until the connection is closed."""
    writer.write(start)
    while not reader.at_eof():
        await asyncio.sleep(TRICKLE_INTERVAL_S)
        writer.write(piece)
        await writer.drain()


def trickling(address, start, piece, clients):
    """Keep clients connected that send slowly."""
    return keep_tasks(
        [
            asyncio.create_task(trickle(address, start, piece))
            for _ in range(clients)
        ]
    )
