"""Requests beyond what the link of a host can carry."""

import dataclasses

from egretmill.host.capacity import Capacity
from egretmill.host.handler import EntryHandler
from egretmill.host.link_budget import BURST_S, LinkBudget
from egretmill.host.state import HostState
from tests.host.fakes import DIALECT, SETTINGS

LINK_MBPS = 5
LINK_BYTES_PER_S = LINK_MBPS * 125_000
RESPONSE_BYTES = 4000
ARRIVALS_PER_S = 600
DURATION_S = 10


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        """Start at zero."""
        self.time_s = 0.0

    def __call__(self):
        """Return the time."""
        return self.time_s


def take_requests(budget, clock, response_bytes):
    """Offer requests at an even rate; return how many were taken."""
    taken = 0
    for _ in range(ARRIVALS_PER_S * DURATION_S):
        clock.time_s += 1 / ARRIVALS_PER_S
        if budget.try_take():
            taken += 1
            budget.record(response_bytes)
    return taken


def test_requests_taken_leave_room_on_the_link():
    """Guards against handshakes that wait behind the bytes of requests."""
    clock = Clock()
    budget = LinkBudget(LINK_BYTES_PER_S, clock)
    taken = take_requests(budget, clock, RESPONSE_BYTES)
    carried_bytes = LINK_BYTES_PER_S * (DURATION_S + BURST_S)
    assert taken * RESPONSE_BYTES < carried_bytes
    assert taken * RESPONSE_BYTES > carried_bytes / 2


def test_small_responses_are_not_refused_for_the_link():
    """Guards against a fixed estimate that refuses what the link carries."""
    clock = Clock()
    budget = LinkBudget(LINK_BYTES_PER_S, clock)
    take_requests(budget, clock, 0)
    assert take_requests(budget, clock, 0) > 0.8 * 500 * DURATION_S


def test_requests_that_were_not_sent_on_take_nothing():
    """Guards against rejected accounts that use up the link of others."""
    clock = Clock()
    budget = LinkBudget(LINK_BYTES_PER_S, clock)
    for _ in range(ARRIVALS_PER_S):
        assert budget.try_take()
        budget.give_back()


def test_host_limits_requests_by_its_own_link():
    """Guards against a budget that does not know the host's link."""
    settings = dataclasses.replace(
        SETTINGS, capacity=Capacity(link_mbps=LINK_MBPS)
    )
    handler = EntryHandler(HostState.from_settings(settings, DIALECT))
    assert handler.link.bucket.limit.amount < LINK_BYTES_PER_S
