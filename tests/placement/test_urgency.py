"""Waits that leave room for more urgent requests."""

import math

import pytest

from egretmill.placement import UrgentWaits
from egretmill.placement.urgency import (
    EQUALLY_URGENT_RATIO,
    MORE_URGENT_RATIO,
    TIME_CONSTANT_S,
)

NOW = 100.0
URGENT_WAIT_S = 0.1
PATIENT_WAIT_S = 0.4


def make_waits(urgent=10, patient=10):
    """Return the waits of an urgent and a patient route after requests."""
    waits = UrgentWaits()
    for _ in range(urgent):
        waits.record('s', 'urgent', 1, URGENT_WAIT_S, NOW)
    for _ in range(patient):
        waits.record('s', 'patient', 2, PATIENT_WAIT_S, NOW)
    return waits


def test_less_urgent_request_leaves_room_for_an_urgent_one():
    """Guards against a queue of patient requests before urgent ones."""
    limit_s = make_waits().limit_s('s', 2, NOW)
    assert limit_s == pytest.approx(URGENT_WAIT_S * MORE_URGENT_RATIO)


def test_urgent_request_does_not_leave_room_for_less_urgent_ones():
    """Guards against limits by requests that can wait."""
    limit_s = make_waits().limit_s('s', 1, NOW)
    assert limit_s == pytest.approx(URGENT_WAIT_S * EQUALLY_URGENT_RATIO)


def test_rare_route_does_not_limit_equally_urgent_ones():
    """Guards against refusing most requests for the sake of a few."""
    waits = make_waits(urgent=200)
    waits.record('s', 'rare', 1, 0.001, NOW)
    limit_s = waits.limit_s('s', 1, NOW)
    assert limit_s == pytest.approx(URGENT_WAIT_S * EQUALLY_URGENT_RATIO)


def test_limit_ends_with_the_urgent_requests():
    """Guards against refusals for urgent requests that no longer come."""
    waits = make_waits()
    later = NOW + 10 * TIME_CONSTANT_S
    assert waits.limit_s('s', 2, later) == math.inf


def test_unused_routes_are_forgotten():
    """Guards against memory that grows with each change of the routes."""
    waits = make_waits()
    later = NOW + 10 * TIME_CONSTANT_S
    waits.record('s', 'new', 2, PATIENT_WAIT_S, later)
    assert list(waits.by_service['s']) == [('new', 2)]


def test_other_services_do_not_count():
    """Guards against limits by requests that wait in other queues."""
    assert make_waits().limit_s('other', 2, NOW) == math.inf
