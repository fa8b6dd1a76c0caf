"""Limits on the connections of callers."""

import dataclasses

from egretmill.host.handler import EntryHandler
from egretmill.host.state import HostState
from tests.host.fakes import DIALECT, SETTINGS, make_head


class FakeConnection:
    """A connection that is idle or busy."""

    def __init__(self, handler, *, busy):
        self.handler = handler
        self.is_busy = busy
        self.queue = [object()] if busy else []
        self.ended = False

    @property
    def is_closed(self):
        """Return whether the connection is closed."""
        return self.ended

    def give_up(self):
        """Close; the handler is notified."""
        self.ended = True
        self.is_busy = True
        self.handler.connection_closed(self)


class FakePending:
    """A request that came too late to a host that is leaving."""

    def __init__(self):
        self.head = make_head()
        self.is_late = True
        self.response = None

    def answer(self, response):
        """Record the answer."""
        self.response = response


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


def test_late_request_in_a_stop_is_refused_with_a_promise():
    """Guards against requests that a stop would cut off at their upstream."""
    handler = make_handler(descriptors=20)
    pending = FakePending()
    handler.start_request(pending)
    response = pending.response
    assert response.status == 503
    assert response.fields[b'x-egretmill-outcome'] == b'not-run'
    assert float(response.fields[b'retry-after']) < 1
    assert not handler.tasks
