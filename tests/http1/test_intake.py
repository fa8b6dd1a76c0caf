"""Parsing the input of many connections without holding up others."""

import pytest

from egretmill.http1.intake import PARSE_BURST_S, TURN_S, Intake

SLICE_S = 0.005


class FakeLoop:
    """Runs scheduled functions when the test says so."""

    def __init__(self):
        self.scheduled = []

    def call_soon(self, function):
        """Keep a function for the next iteration."""
        self.scheduled.append(function)

    def run_iteration(self):
        """Run what was scheduled before."""
        scheduled, self.scheduled = self.scheduled, []
        for function in scheduled:
            function()


class Clock:
    """Advances when a slice is parsed."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        """Return the time."""
        return self.now


class FakeOwner:
    """A connection with a number of slices."""

    def __init__(self, clock, loop, slices, log, name=''):
        self.clock = clock
        self.loop = loop
        self.slices = slices
        self.log = log
        self.name = name
        self.has_ended = False

    @property
    def can_parse(self):
        """Return whether there are slices."""
        return self.slices > 0

    def parse_slice(self):
        """Take the time of a slice."""
        self.slices -= 1
        self.clock.now += SLICE_S
        self.log.append(self.name)

    def input_parsed(self):
        """Record the end."""
        self.has_ended = True


@pytest.fixture
def setting():
    """Return intake, loop, and a function that makes owners."""
    clock = Clock()
    loop = FakeLoop()
    log = []
    intake = Intake(clock)

    def make(slices, name=''):
        return FakeOwner(clock, loop, slices, log, name)

    return intake, loop, make, log


def test_ordinary_request_is_parsed_at_once_while_others_wait(setting):
    """Guards against callers that wait behind expensive input."""
    intake, loop, make, _ = setting
    intake.parse(make(1000))
    assert loop.scheduled
    ordinary = make(1)
    intake.parse(ordinary)
    assert ordinary.has_ended


def test_iteration_of_the_loop_is_bounded(setting):
    """Guards against a loop that is busy with one caller for seconds."""
    intake, loop, make, log = setting
    owners = [make(50) for _ in range(20)]
    for owner in owners:
        intake.parse(owner)
    at_once = PARSE_BURST_S + TURN_S * len(owners)
    assert len(log) * SLICE_S <= at_once + SLICE_S * len(owners)
    before = len(log)
    loop.run_iteration()
    assert (len(log) - before) * SLICE_S <= TURN_S + SLICE_S
    while loop.scheduled:
        loop.run_iteration()
    assert all(owner.has_ended for owner in owners)


def test_connection_with_the_fewest_slices_comes_first(setting):
    """Guards against short input that waits for all of a long one."""
    intake, loop, make, log = setting
    intake.parse(make(1000, 'long'))
    short = make(3, 'short')
    intake.parse(short)
    log.clear()
    while not short.has_ended:
        loop.run_iteration()
    assert log.count('long') <= 2
