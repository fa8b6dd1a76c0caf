"""Log lines from which a late or outdated copy can be explained."""

import logging

import pytest

from egretmill.fleet.freshness import Freshness
from egretmill.host.copy_log import CopyLog
from tests.host.fakes import make_state, upstream
from tests.host.test_heartbeats import make_service, matching_heartbeat

NOW = 1000.0
#: Age of the peer's copy in the heartbeats of these tests.
STATED_AGE_S = 0.2


def logged_fields(caplog, event):
    """Return the fields of the logged lines of one event."""
    return [row.fields for row in caplog.records if row.getMessage() == event]


def test_log_names_the_peer_that_confirmed_a_copy_and_its_age(caplog):
    """Guards against a false confirmation that no log line shows."""
    caplog.set_level(logging.INFO, 'egretmill')
    service, _ = make_service()
    service.state.view.configuration_freshness = Freshness()
    service.handle_heartbeat(matching_heartbeat(service), ('10.0.0.2', 7000))
    service.copy_log.log_if_due(service.state.now())
    copy = logged_fields(caplog, 'copies_confirmed')[0]['configuration']
    assert copy['confirmed_by'] == 'h2'
    assert copy['stated_age_s'] == pytest.approx(STATED_AGE_S)
    assert STATED_AGE_S < copy['age_s'] < 1


def test_copies_are_logged_once_per_interval(caplog):
    """Guards against a line for each heartbeat of dozens of peers."""
    caplog.set_level(logging.INFO, 'egretmill')
    copy_log = CopyLog(make_state())
    for tick in range(21):
        copy_log.log_if_due(NOW + tick / 10)
    assert len(logged_fields(caplog, 'copies_confirmed')) == 3


def test_log_counts_the_peers_whose_data_differs(caplog):
    """Guards against hosts that differ for good without a trace in the logs."""
    caplog.set_level(logging.INFO, 'egretmill')
    service, _ = make_service()
    service.handle_heartbeat(matching_heartbeat(service), ('10.0.0.2', 7000))
    service.state.view.put_upstream(upstream('u9'))
    service.copy_log.log_if_due(service.state.now())
    logged = logged_fields(caplog, 'copies_confirmed')[0]
    assert logged['upstreams']['differing_peers'] == 1
    assert logged['roster']['differing_peers'] == 0


def test_older_confirmation_does_not_replace_its_source():
    """Guards against a logged source that did not confirm the copy."""
    freshness = Freshness()
    freshness.confirm(2.0)
    freshness.confirm(1.0, 'h2', 0.5)
    assert (freshness.confirmed_at, freshness.source) == (2.0, 'store')
