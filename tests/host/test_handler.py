"""Limits on the connections of callers."""

import dataclasses

from egretmill.host.handler import EntryHandler
from egretmill.host.state import HostState
from tests.host.fakes import DIALECT, SETTINGS


class FakeConnection:
    """A connection that is idle or busy."""

    def __init__(self, handler, *, busy):
        self.handler = handler
        self.is_busy = busy
        self.ended = False

    def shut_down(self):
        """Close; the handler is notified."""
        self.ended = True
        self.is_busy = True
        self.handler.connection_closed(self)


def make_handler(descriptors):
    """Return a handler with a limit of file descriptors."""
    settings = dataclasses.replace(SETTINGS, descriptors=descriptors)
    return EntryHandler(HostState.from_settings(settings, DIALECT))


def test_oldest_idle_connections_are_closed_at_the_limit():
    """Guards against a host that runs out of descriptors and accepts no one.

    Refused callers come back on new connections; hunt day scale-1, seed
    689761525365, ended with 3,900 of them.
    """
    handler = make_handler(descriptors=20)
    busy = [FakeConnection(handler, busy=True) for _ in range(5)]
    idle = [FakeConnection(handler, busy=False) for _ in range(50)]
    for connection in (*busy, *idle):
        handler.connection_opened(connection)
        assert len(handler.connections) <= 13
    assert not any(connection.ended for connection in busy)
    assert idle[0].ended
    assert not idle[-1].ended


def test_busy_connections_are_never_closed():
    """Guards against requests that are cut off to free descriptors."""
    handler = make_handler(descriptors=10)
    connections = [FakeConnection(handler, busy=True) for _ in range(20)]
    for connection in connections:
        handler.connection_opened(connection)
    assert len(handler.connections) == 20
