"""Retry budget."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.routing import RetryBudget
from egretmill.placement.retries import WINDOW_S


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0, 0.7), st.integers(0, 3)),
        min_size=1,
        max_size=200,
    ),
)
def test_retries_stay_under_a_tenth_of_requests(steps):
    """Guards against retries that multiply load during a failure."""
    budget = RetryBudget()
    now = 0.0
    requests = []
    retries = []
    for gap_s, attempts in steps:
        now += gap_s
        budget.record_request('board', now)
        requests.append(now)
        for _ in range(attempts):
            if not budget.try_spend('board', now):
                continue
            retries.append(now)
            # The window is aligned to whole seconds, so it spans 9 to 10 s.
            recent_requests = [at for at in requests if at > now - WINDOW_S]
            recent_retries = [at for at in retries if at > now - WINDOW_S + 1]
            assert len(recent_retries) <= 0.1 * len(recent_requests)


def test_services_have_separate_budgets():
    """Guards against a failing service that uses up another's budget."""
    budget = RetryBudget()
    for _ in range(20):
        budget.record_request('board', 1)
    assert not budget.try_spend('ledger', 1)
    assert [budget.try_spend('board', 1) for _ in range(3)] == [
        True,
        True,
        False,
    ]
    assert not budget.try_spend('board', 30)
