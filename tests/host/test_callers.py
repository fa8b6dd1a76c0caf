"""Which connections are closed to make room for other callers."""

import pytest

from egretmill.host.callers import CallerConnections


class FakeConnection:
    """A connection in one of the states that matter for closing it."""

    def __init__(self, *, receiving=False, waiting=False):
        self.is_busy = receiving or waiting
        self.queue = [object()] if waiting else []
        self.is_closed = False

    def give_up(self):
        """Close."""
        self.is_closed = True


@pytest.fixture
def connections():
    """Return connections with one in each state, the oldest first."""
    tracked = CallerConnections(3, lambda: 100.0)
    for connection in (
        FakeConnection(waiting=True),
        FakeConnection(receiving=True),
        FakeConnection(),
    ):
        tracked.add(connection)
    return tracked


def test_idle_connections_are_closed_first(connections):
    """Guards against requests that are cut while others are idle."""
    _, receiving, idle = connections
    assert connections.close_idle(1, includes_receiving=True) == 1
    assert idle.is_closed
    assert not receiving.is_closed


def test_caller_that_sends_slowly_makes_room(connections):
    """Guards against partial requests that take up all descriptors."""
    waiting, receiving, _ = connections
    assert connections.close_idle(3, includes_receiving=True) == 2
    assert receiving.is_closed
    assert not waiting.is_closed


def test_partial_requests_stay_while_there_is_room(connections):
    """Guards against slow callers that are cut off without need."""
    _, receiving, _ = connections
    assert connections.close_idle(3) == 1
    assert not receiving.is_closed


def test_connection_with_the_rest_of_an_answered_request_is_unused(connections):
    """Guards against uploads that hold a descriptor after their answer."""
    waiting, _, _ = connections
    connections.mark_busy(waiting)
    waiting.queue.clear()
    connections.mark_idle(waiting)
    connections.close_idle(3, includes_receiving=True)
    assert waiting.is_closed
