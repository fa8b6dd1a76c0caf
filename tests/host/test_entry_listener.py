"""Accepting connections of callers, with and without free descriptors."""

import asyncio
import contextlib
import dataclasses
import errno
import re
import socket

import pytest

from egretmill.host.entry_listener import (
    ACCEPT_PAUSE_S,
    MAX_ACCEPTED_AT_ONCE,
    MIN_IDLE_S,
    EntryListener,
)
from egretmill.host.handler import EntryHandler
from egretmill.host.settings import Endpoint
from egretmill.listening import ListeningSocket
from tests.host.fakes import make_state
from tests.http1.harness import ADDRESS, wait_until
from tests.misbehaving import keep_tasks

CALLERS = 3 * MAX_ACCEPTED_AT_ONCE
ANSWER_S = 5
CONTENT_LENGTH = re.compile(rb'Content-Length: (\d+)')
REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


class ExhaustedSocket(ListeningSocket):
    """A listening socket for which no descriptor is free, on demand."""

    def __init__(self, *arguments):
        """Create a socket that accepts."""
        super().__init__(*arguments)
        self.is_exhausted = False
        self.accepts = 0

    def accept(self):
        """Accept a connection, or fail."""
        self.accepts += 1
        if self.is_exhausted:
            raise OSError(errno.EMFILE, 'too many open files')
        return super().accept()


def leave_unanswered(pending):
    """Serve a request for ever."""


@pytest.fixture
async def listener(monkeypatch):
    """Return an open listener on a free port."""
    monkeypatch.setattr(
        'egretmill.host.entry_listener.ListeningSocket', ExhaustedSocket
    )
    state = make_state()
    state.settings = dataclasses.replace(
        state.settings, entry=Endpoint(ADDRESS, 0)
    )
    opened = EntryListener(state, EntryHandler(state))
    opened.open()
    yield opened
    opened.close()
    for connection in tuple(opened.handler.connections):
        connection.reset()
    await asyncio.sleep(0)


@contextlib.contextmanager
def connect_callers(listener, count):
    """Connect callers to a listener; yield their sockets."""
    address = listener.socket.getsockname()
    with contextlib.ExitStack() as stack:
        callers = []
        for _ in range(count):
            caller = socket.create_connection(address)
            stack.enter_context(caller)
            caller.setblocking(False)
            callers.append(caller)
        yield callers


async def test_crowd_is_accepted_in_parts(listener):
    """Guards against accepts that keep other events of the loop waiting."""
    connections = listener.handler.connections
    with connect_callers(listener, CALLERS):
        listener.accept_waiting()
        assert len(listener.starting) == MAX_ACCEPTED_AT_ONCE
        await wait_until(lambda: len(connections) == CALLERS)


async def test_host_is_not_ready_while_no_descriptor_is_free(listener):
    """Guards against a readiness check that promises what accepts break."""
    state = listener.state
    listener.socket.is_exhausted = True
    with connect_callers(listener, 1):
        assert state.is_ready
        await wait_until(lambda: not state.is_ready)
        assert state.accept_failures > 0
    listener.socket.is_exhausted = False
    with connect_callers(listener, 1):
        await wait_until(lambda: len(listener.handler.connections) == 1)
        assert state.is_ready


async def test_failed_accepts_are_not_repeated_without_pause(listener):
    """Guards against a processor that is busy with failing accepts."""
    listener.socket.is_exhausted = True
    with connect_callers(listener, CALLERS):
        await asyncio.sleep(10 * ACCEPT_PAUSE_S)
    assert 0 < listener.socket.accepts <= 30


async def test_full_host_closes_new_connections_and_is_not_ready(
    listener, monkeypatch
):
    """Guards against callers that wait in the queue of a full host."""
    state = listener.state
    connections = listener.handler.connections
    connections.limit = 1
    monkeypatch.setattr(listener.handler, 'start_request', leave_unanswered)
    address = listener.socket.getsockname()
    with connect_callers(listener, 1) as callers:
        callers[0].sendall(REQUEST)
        await wait_until(lambda: any(row.queue for row in connections))
        reader, writer = await asyncio.open_connection(*address)
        async with asyncio.timeout(1):
            assert not await reader.read()
        assert not state.is_ready
        writer.close()
    await wait_until(lambda: state.is_ready)


async def test_new_caller_is_not_reset_while_others_have_yet_to_send(listener):
    """Guards against resets of new callers by a host that will have room."""
    listener.handler.connections.limit = CALLERS
    address = listener.socket.getsockname()
    with connect_callers(listener, CALLERS):
        await wait_until(lambda: len(listener.handler.connections) == CALLERS)
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        async with asyncio.timeout(ANSWER_S):
            head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 404 ')
        assert listener.state.accept_failures == 0
        writer.close()


async def test_connections_in_use_keep_no_new_caller_waiting(listener):
    """Guards against callers that wait behind connections without a pause."""
    connections = listener.handler.connections
    connections.limit = 1
    address = listener.socket.getsockname()
    reader, writer = await asyncio.open_connection(*address)

    async def keep_asking():
        while True:
            writer.write(REQUEST)
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(int(CONTENT_LENGTH.search(head)[1]))
            for connection in connections:
                connections.mark_idle(connection)
            await asyncio.sleep(MIN_IDLE_S / 5)

    asking = asyncio.create_task(keep_asking())
    await wait_until(lambda: connections.room == 0)
    late_reader, late_writer = await asyncio.open_connection(*address)
    async with keep_tasks([asking]), asyncio.timeout(ANSWER_S):
        assert not await late_reader.read()
    late_writer.close()
    writer.close()


async def test_new_caller_is_not_reset_while_answered_ones_may_close(listener):
    """Guards against resets of new callers while others read their answers."""
    connections = listener.handler.connections
    connections.limit = 1
    address = listener.socket.getsockname()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(REQUEST)
    await reader.readuntil(b'\r\n\r\n')
    late_reader, late_writer = await asyncio.open_connection(*address)
    late_writer.write(REQUEST)
    await asyncio.sleep(4 * ACCEPT_PAUSE_S)
    writer.close()
    async with asyncio.timeout(ANSWER_S):
        head = await late_reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 404 ')
    late_writer.close()
