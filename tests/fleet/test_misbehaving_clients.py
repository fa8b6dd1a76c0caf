"""The entry program, whose callers send what no caller should."""

import asyncio
import os
import resource
import struct

import pytest

from tests.fleet.small import KEY
from tests.misbehaving import (
    ENDLESS,
    HOLD_S,
    MIB,
    PIECE_BYTES,
    Behaviour,
    keep_crowd,
    peak_memory_bytes,
    short_headers,
    trickling,
)

#: A third of the users' smallest machine, which has 300 MB for three programs.
MEMORY_MB = 100
CLIENTS = 200
#: Descriptors that the entry program may have open.
DESCRIPTORS = 400
HOLDERS = 500
ANSWER_LIMIT_S = 30.0
KEYED = b'POST /ledger HTTP/1.1\r\nHost: h\r\nX-Api-Key: %b\r\n' % KEY.encode()
UNKEYED = b'POST /ledger HTTP/1.1\r\nHost: h\r\n'
#: Header lines of legal size together with the others.
SHORT_LINES = short_headers(12 << 10)
STALLED = b'Content-Length: 5\r\n\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
BEHAVIOURS = {
    'legal-head-and-stalled-body': Behaviour(KEYED + SHORT_LINES + STALLED),
    'refused-head-and-stalled-body': Behaviour(UNKEYED + SHORT_LINES + STALLED),
    'long-head-and-stalled-body': Behaviour(
        KEYED + short_headers(60000) + STALLED
    ),
    'header-line': Behaviour(KEYED + b'X: ', b'x' * PIECE_BYTES, ENDLESS),
    'body-without-its-end': Behaviour(
        KEYED + b'Content-Length: %d\r\n\r\n' % MIB,
        b'x' * PIECE_BYTES,
        MIB - 1,
    ),
    'two-byte-chunks': Behaviour(
        KEYED + CHUNKED, b'2\r\nab\r\n' * 2000, 256 << 10
    ),
    'pipelined-heads': Behaviour(
        (KEYED + SHORT_LINES + b'Content-Length: 0\r\n\r\n') * 16
    ),
}


#: Start of a connection between programs: protocol version and role.
PEER_HELLO = b'\x00SP\x00\x00\x30\x00\x00'
PEER_CLIENTS = 60
#: The longest message that was accepted when these tests were written.
PEER_MESSAGE_BYTES = 8 * MIB


def announce_message(size):
    """Return the start of a message between programs."""
    return PEER_HELLO + struct.pack('>Q', size)


PEER_BEHAVIOURS = {
    'message-without-its-end': Behaviour(
        announce_message(PEER_MESSAGE_BYTES),
        b'x' * PIECE_BYTES,
        PEER_MESSAGE_BYTES - 1,
    ),
    'short-message-without-its-end': Behaviour(
        announce_message(64 << 10), b'x' * PIECE_BYTES, 64 << 10
    ),
    'hello-without-end': Behaviour(b'', b'x' * PIECE_BYTES, ENDLESS),
    'empty-messages': Behaviour(
        PEER_HELLO, struct.pack('>Q', 0) * 2000, ENDLESS
    ),
}
#: Ports between programs, by program.
PEER_PORTS = {'entry': 'entry_peer_port', 'agent': 'agent_port'}


@pytest.fixture
def entry_pid(fleet):
    """Return the process of the first host's entry program."""
    return find_pid(fleet, 'entry')


def find_pid(fleet, program):
    """Return the process of a program of the first host."""
    return fleet.fleet.processes[f'{fleet.hosts[0].name}/{program}'].pid


async def wait_for_answer(fleet):
    """Wait until an ordinary request gets its answer."""
    await fleet.wait_until(
        lambda: fleet.can_read(fleet.hosts[0]), 'answer', ANSWER_LIMIT_S
    )


def check_bounds(fleet, pid):
    """Check that the process lives, within its memory and descriptors."""
    processes = fleet.fleet.processes.values()
    assert next(row for row in processes if row.pid == pid).poll() is None
    assert peak_memory_bytes(pid) < MEMORY_MB * MIB
    assert len(os.listdir(f'/proc/{pid}/fd')) <= DESCRIPTORS


@pytest.mark.parametrize('name', BEHAVIOURS)
async def test_misbehaving_callers_leave_the_entry_within_its_memory(
    fleet, entry_pid, name
):
    """Guards against clients that end the entry program."""
    host = fleet.hosts[0]
    address = (host.address, host.entry_port)
    await keep_crowd(address, BEHAVIOURS[name], CLIENTS)
    check_bounds(fleet, entry_pid)
    await wait_for_answer(fleet)
    check_bounds(fleet, entry_pid)


@pytest.mark.parametrize(
    ('start', 'piece'),
    [(b'', b''), (UNKEYED + b'Content-Length: 1000\r\n\r\n', b'x')],
    ids=['idle', 'refused-uploads'],
)
async def test_connections_that_are_held_open_keep_no_caller_out_of_the_entry(
    fleet, entry_pid, start, piece
):
    """Guards against clients that take up all descriptors of the program."""
    resource.prlimit(
        entry_pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
    )
    host = fleet.hosts[0]
    address = (host.address, host.entry_port)
    async with trickling(address, start, piece, HOLDERS):
        await asyncio.sleep(HOLD_S)
        await wait_for_answer(fleet)
        check_bounds(fleet, entry_pid)


@pytest.mark.parametrize('program', PEER_PORTS)
@pytest.mark.parametrize('name', PEER_BEHAVIOURS)
async def test_clients_of_a_peer_port_leave_its_program_within_its_memory(
    fleet, program, name
):
    """Guards against clients that end a program by way of its peer port."""
    pid = find_pid(fleet, program)
    host = fleet.hosts[0]
    address = (host.address, getattr(host, PEER_PORTS[program]))
    await keep_crowd(address, PEER_BEHAVIOURS[name], PEER_CLIENTS)
    check_bounds(fleet, pid)
    await wait_for_answer(fleet)
    check_bounds(fleet, pid)


@pytest.mark.parametrize('program', PEER_PORTS)
@pytest.mark.parametrize('start', [b'', PEER_HELLO], ids=['idle', 'hello'])
async def test_connections_to_a_peer_port_keep_no_caller_out(
    fleet, program, start
):
    """Guards against clients that take up all descriptors of a program."""
    pid = find_pid(fleet, program)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    host = fleet.hosts[0]
    address = (host.address, getattr(host, PEER_PORTS[program]))
    async with trickling(address, start, b'', HOLDERS):
        await asyncio.sleep(HOLD_S)
        await wait_for_answer(fleet)
        check_bounds(fleet, pid)
