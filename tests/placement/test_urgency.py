"""Waits that leave room for more urgent requests."""

import math

from egretmill.placement import AcceptedWait, UrgentWaits
from egretmill.placement.urgency import (
    ACTIVE_S,
    EQUALLY_URGENT_RATIO,
    MORE_URGENT_RATIO,
)

NOW = 100.0


def make_waits():
    """Return the waits of an urgent and a less urgent route."""
    waits = UrgentWaits()
    waits.record('s', 'urgent', AcceptedWait(1, 0.1, NOW))
    waits.record('s', 'patient', AcceptedWait(2, 0.4, NOW))
    return waits


def test_less_urgent_request_leaves_room_for_an_urgent_one():
    """Guards against a queue of patient requests before urgent ones."""
    limit_s = make_waits().limit_s('s', 2, NOW)
    assert limit_s == 0.1 * MORE_URGENT_RATIO


def test_urgent_request_does_not_leave_room_for_less_urgent_ones():
    """Guards against limits by requests that can wait."""
    assert make_waits().limit_s('s', 1, NOW) == 0.1 * EQUALLY_URGENT_RATIO


def test_limit_ends_with_the_urgent_requests():
    """Guards against refusals for urgent requests that no longer come."""
    later = NOW + ACTIVE_S + 1
    assert make_waits().limit_s('s', 2, later) == math.inf


def test_other_services_do_not_count():
    """Guards against limits by requests that wait in other queues."""
    assert make_waits().limit_s('other', 2, NOW) == math.inf
