"""Tests of the state that the steer program takes from its agent."""

import msgspec
import pytest

from egretmill.metrics import Metrics
from egretmill.steer.state import SteerState
from egretmill.wire.messages import PullState

OTHER_DOCUMENT = b'regions = []'


@pytest.fixture
def pull():
    """Return the first poll message of a steer program."""
    return PullState('steer', 1, 0)


def test_older_document_is_not_put_in_force(agent, pull):
    """Guards against an agent that restarted with an older document."""
    state = SteerState(Metrics(None))
    newer = msgspec.structs.replace(agent.host_state(pull), version=2)
    state.apply_state(newer)
    state.apply_state(agent.host_state(pull))
    assert state.version == 2


def test_damaged_document_changes_nothing(agent, pull):
    """Guards against look-ups that use an invalid document."""
    state = SteerState(Metrics(None))
    state.apply_state(agent.host_state(pull))
    directory = state.directory
    damaged = msgspec.structs.replace(
        agent.host_state(pull),
        version=2,
        document=OTHER_DOCUMENT,
    )
    state.apply_state(damaged)
    assert (state.version, state.directory) == (1, directory)


def test_empty_host_list_keeps_the_last_hosts(agent, pull):
    """Guards against hosts lost when a restarted agent knows none yet."""
    state = SteerState(Metrics(None))
    state.apply_state(agent.host_state(pull))
    directory = state.directory
    state.apply_state(msgspec.structs.replace(agent.host_state(pull), peers=()))
    assert state.directory is directory


def test_unchanged_hosts_are_not_placed_again(agent, pull):
    """Guards against a new placement at each poll."""
    state = SteerState(Metrics(None))
    state.apply_state(agent.host_state(pull))
    directory = state.directory
    agent.peers = tuple(
        msgspec.structs.replace(peer, version=9) for peer in agent.peers
    )
    state.apply_state(agent.host_state(pull))
    assert state.directory is directory
