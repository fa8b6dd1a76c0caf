"""What the steer program takes over from its agent."""

import msgspec
import pytest

from egretmill.metrics import Metrics
from egretmill.steer.state import SteerState
from egretmill.wire.messages import PullState

OTHER_DOCUMENT = b'regions = []'


@pytest.fixture
def pull():
    """Return the first message of a steer program."""
    return PullState('steer', 1, 0)


def test_older_document_is_not_put_in_force(agent, pull):
    """Guards against an agent that restarted with an older document."""
    state = SteerState(Metrics(None))
    newer = msgspec.structs.replace(agent.host_state(pull), version=2)
    state.apply(newer)
    state.apply(agent.host_state(pull))
    assert state.version == 2


def test_damaged_document_changes_nothing(agent, pull):
    """Guards against look-ups from a document that breaks the rules."""
    state = SteerState(Metrics(None))
    state.apply(agent.host_state(pull))
    directory = state.directory
    damaged = msgspec.structs.replace(
        agent.host_state(pull),
        version=2,
        document=OTHER_DOCUMENT,
    )
    state.apply(damaged)
    assert (state.version, state.directory) == (1, directory)


def test_no_host_at_all_keeps_the_last_hosts(agent, pull):
    """Guards against an agent that starts anew and knows no host yet."""
    state = SteerState(Metrics(None))
    state.apply(agent.host_state(pull))
    directory = state.directory
    state.apply(msgspec.structs.replace(agent.host_state(pull), peers=()))
    assert state.directory is directory


def test_unchanged_hosts_are_not_placed_again(agent, pull):
    """Guards against placement work at each poll."""
    state = SteerState(Metrics(None))
    state.apply(agent.host_state(pull))
    directory = state.directory
    agent.peers = tuple(
        msgspec.structs.replace(peer, version=9) for peer in agent.peers
    )
    state.apply(agent.host_state(pull))
    assert state.directory is directory
