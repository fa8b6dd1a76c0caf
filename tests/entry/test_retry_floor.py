"""Retries of a service that gets few requests."""

from egretmill.entry.state import LEAST_RETRIES
from egretmill.placement.retries import RetryBudget

NOW = 100.0


def test_requests_in_flight_at_two_lost_upstreams_are_retried():
    """Guards against reads that fail although another site is sound.

    The trace site-lost: 40 requests per second, both upstreams die after
    16 of them; on a busy machine two or three are in flight.
    """
    budget = RetryBudget(allowance=LEAST_RETRIES)
    for _ in range(16):
        budget.record_request('board', NOW)
    assert [budget.try_spend('board', NOW) for _ in range(3)] == [True] * 3
