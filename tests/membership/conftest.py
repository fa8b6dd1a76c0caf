"""Fixtures: host records and heartbeats."""

import pytest

from egretmill.wire.messages import Heartbeat, HostRecord


@pytest.fixture
def make_host():
    """Return a function that builds host records."""

    def make(name, address='127.0.0.1', state='live'):
        return HostRecord(name, 'fd-1', address, 1, 2, 3, 4, state)

    return make


@pytest.fixture
def make_heartbeat():
    """Return a function that builds heartbeats."""

    def make(host='b', incarnation=1, version=1, **fields):
        defaults = {
            'confirmation_age_s': 0.0,
            'platform_age_s': 0.0,
            'leaving': False,
            'entry_ready': True,
        }
        return Heartbeat(host, incarnation, version, **(defaults | fields))

    return make
