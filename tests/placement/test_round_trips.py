"""Observed round trips."""

import pytest

from egretmill.placement import RoundTrips


def test_shortest_connect_time_is_the_round_trip():
    """Guards against counting the wait of a busy upstream as distance."""
    round_trips = RoundTrips()
    for sample_s in (0.3, 0.04, 0.06):
        round_trips.add('east', sample_s)
    assert round_trips.seconds_to('east') == pytest.approx(0.04, rel=0.02)


def test_round_trip_follows_a_longer_way():
    """Guards against an estimate that never rises again."""
    round_trips = RoundTrips()
    round_trips.add('east', 0.01)
    for _ in range(300):
        round_trips.add('east', 0.1)
    assert round_trips.seconds_to('east') == pytest.approx(0.1, rel=0.02)


def test_unknown_region_has_no_round_trip_yet():
    """Guards against assumed distances."""
    assert RoundTrips().seconds_to('east') == 0
