"""Routing scenarios in the users' terms: workers are upstreams."""

import collections

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from result import Err

from egretmill.routing import Observation, UpstreamTable
from tests.routing import fleet

scenarios('routing/features/routing.feature')


class Board:
    """A host that sends requests of one service."""

    def __init__(self, per_site: int) -> None:
        self.table = UpstreamTable()
        self.environment = fleet.environment()
        self.table.apply(self.environment, fleet.records(per_site), 0)
        self.limits = fleet.FakeLimits(self.table)
        self.router = fleet.router(self.table)
        self.now = 1.0
        self.failed_worker = ''
        self.sites: collections.Counter = collections.Counter()
        self.workers: collections.Counter = collections.Counter()
        self.refused: collections.Counter = collections.Counter()

    def begin(self) -> str:
        """Send a request; return the name of its worker."""
        chosen = self.router.choose(
            'board', self.environment, self.limits, self.now
        )
        if isinstance(chosen, Err):
            self.refused[str(chosen.err_value.kind)] += 1
            return ''
        decision = chosen.ok_value
        if decision.is_shifted:
            self.limits.shifts -= 1
        name = decision.upstream.name
        self.table.begin(name, self.now)
        self.sites[decision.site] += 1
        self.workers[name] += 1
        return name

    def run(self, requests: int) -> None:
        """Send requests one after the other, 20 per second."""
        for _ in range(requests):
            self.now += 0.05
            name = self.begin()
            kind = 'refused' if name == self.failed_worker else 'ok'
            self.table.finish(name, Observation(0.02, kind), self.now)


@pytest.fixture
def context():
    """Return the state shared by the steps of a scenario."""
    return {}


@given(parsers.parse('a rota board with {count:d} workers at each site'))
def _workers(context, count):
    context['board'] = Board(count)


@given(parsers.parse('{slots:d} slots at site "{site}" for this host'))
def _slots(context, slots, site):
    context['board'].limits.shares[site] = slots


@given(parsers.parse('a cap of {count:d} requests that may leave their site'))
def _cap(context, count):
    context['board'].limits.shifts = count


@when(parsers.parse('worker "{name}" answers that it is leaving'))
def _leaves(context, name):
    board = context['board']
    board.table.begin(name, board.now)
    board.table.finish(name, Observation(0.02, 'draining'), board.now)


@when(parsers.parse('{count:d} more requests are sent'))
def _send(context, count):
    context['board'].run(count)


@when(parsers.parse('{count:d} requests arrive and none has finished'))
def _arrive(context, count):
    for _ in range(count):
        context['board'].begin()


@when(parsers.parse('worker "{name}" dies for {seconds:d} seconds'))
def _fails(context, name, seconds):
    board = context['board']
    board.failed_worker = name
    board.run(20 * seconds)
    board.failed_worker = ''
    context['met'] = board.workers.pop(name)


@then(parsers.parse('worker "{name}" got none of them'))
def _got_none(context, name):
    assert not context['board'].workers[name]


@then(parsers.parse('every request was served at site "{site}"'))
def _all_at(context, site):
    assert set(context['board'].sites) == {site}


@then(parsers.parse('{count:d} requests run at site "{site}"'))
def _run_at(context, count, site):
    assert context['board'].sites[site] == count


@then(parsers.parse('{count:d} request is refused as "{kind}"'))
def _refused(context, count, kind):
    assert context['board'].refused == {kind: count}


@then(parsers.parse('at most {count:d} requests met the dead worker'))
def _reached_dead(context, count):
    assert 1 <= context['met'] <= count


@then(
    parsers.parse(
        'worker "{name}" serves requests again within {seconds:d} seconds',
    ),
)
def _serves_again(context, name, seconds):
    context['board'].run(20 * seconds)
    assert context['board'].workers[name] > 1
