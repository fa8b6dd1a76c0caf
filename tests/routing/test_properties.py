"""Invariants that hold for every order of events."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from egretmill.routing import POLICIES, Observation, UpstreamTable
from tests.routing import fleet

KINDS = (
    'ok',
    'shed',
    'refused',
    'failed',
    'timeout',
    'cancelled',
    'draining',
)
NAMES = tuple(record.name for record in fleet.records())
STEP = st.tuples(
    st.sampled_from(['choose', 'finish', 'report', 'list', 'document']),
    st.integers(0, 100),
    st.floats(0.001, 3),
)


class RandomRun:
    """Applies random events and checks each decision."""

    def __init__(self, policy: str, shifts: int) -> None:
        self.table = UpstreamTable()
        self.limits = fleet.FakeLimits(self.table, 5, shifts=shifts)
        self.router = fleet.router(self.table, policy)
        self.leaving: set[str] = set()
        self.drained: set[tuple[str, str]] = set()
        self.announced: set[str] = set()
        self.running: list[str] = []
        self.shifted = 0
        self.now = 0.0
        self.apply()

    def apply(self):
        """Apply the host list and the document to the table."""
        self.environment = fleet.environment(*sorted(self.drained))
        listed = tuple(
            fleet.record(
                record.name,
                record.site,
                state='leaving' if record.name in self.leaving else 'live',
            )
            for record in fleet.records()
        )
        self.table.apply(self.environment, listed, self.now)

    def step(self, action, number, amount):
        """Apply one event."""
        self.now += amount / 10
        name = NAMES[number % len(NAMES)]
        match action:
            case 'choose':
                self.choose()
            case 'finish' if self.running:
                kind = KINDS[number % len(KINDS)]
                self.finish(kind, amount)
            case 'report':
                self.table.record_report(name, number % 9, False, self.now)
            case 'list':
                self.leaving ^= {name}
                self.announced.discard(name)
                self.apply()
            case 'document':
                self.drained ^= {('upstream', name)}
                self.apply()

    def finish(self, kind, latency_s):
        """End the oldest request."""
        name = self.running.pop(0)
        self.table.finish(name, Observation(latency_s, kind), self.now)
        if kind == 'draining':
            self.announced.add(name)

    def choose(self):
        """Choose and check the decision against the known drains and limits."""
        free = {
            site: self.limits.free_slots('board', site, self.now)
            for site in fleet.SITES
        }
        chosen = self.router.choose(
            'board', self.environment, self.limits, self.now
        )
        if not isinstance(chosen, Ok):
            return
        decision = chosen.ok_value
        name = decision.upstream.name
        assert free[decision.site] > 0
        assert name not in self.leaving
        assert name not in self.announced
        assert ('upstream', name) not in self.drained
        assert self.running.count(name) < decision.upstream.slots
        if decision.is_shifted:
            assert self.limits.shifts >= 1
            self.limits.shifts -= 1
            self.shifted += 1
        self.table.begin(name, self.now)
        self.running.append(name)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.sampled_from(sorted(POLICIES)),
    st.integers(0, 20),
    st.lists(STEP, max_size=120),
)
def test_decisions_keep_every_limit(policy, shifts, steps):
    """Guards against requests to draining upstreams and against overload.

    Each decision has a free slot at the site (P2), a shift within the cap
    (P1), and an upstream that has not announced a drain (P8).
    """
    run = RandomRun(policy, shifts)
    for step in steps:
        run.step(*step)
    assert run.shifted <= shifts
    assert run.table.in_flight('board', fleet.LOCAL) <= 5


@pytest.mark.parametrize('policy', sorted(POLICIES))
def test_same_input_same_decision(policy):
    """Guards against hidden state that makes replays differ."""
    generator = random.Random(5)
    actions = ('choose', 'choose', 'finish', 'report')
    steps = [
        (generator.choice(actions), generator.randrange(100), 0.5)
        for _ in range(200)
    ]
    runs = [RandomRun(policy, 50), RandomRun(policy, 50)]
    for step in steps:
        for run in runs:
            run.step(*step)
    assert runs[0].running == runs[1].running
