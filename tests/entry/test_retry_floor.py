"""The minimum of retries for a service that gets few requests."""

from egretmill.entry.state import MIN_RETRIES
from egretmill.placement.retries import RetryBudget

NOW = 100.0


def test_requests_in_flight_at_two_lost_upstreams_are_retried():
    """Guards against reads that fail although another site is healthy.

    In the trace site-lost both upstreams die after 16 requests at 40 per
    second. On a busy machine two or three requests are in flight then,
    which is more than a budget that is only a fraction of 16 allows.
    """
    budget = RetryBudget(allowance=MIN_RETRIES)
    for _ in range(16):
        budget.record_request('board', NOW)
    assert [budget.try_spend('board', NOW) for _ in range(3)] == [True] * 3
