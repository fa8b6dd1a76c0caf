"""Incarnations rise with each start."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.membership.incarnation import next_incarnation


@settings(derandomize=True)
@given(st.lists(st.floats(0, 4e9), min_size=2, max_size=9))
def test_rises_whatever_the_wall_clock_does(clocks):
    """Guards against a restart that looks like the earlier run."""
    known = 0
    for clock in clocks:
        started = next_incarnation(clock, known)
        assert started > known
        known = started
