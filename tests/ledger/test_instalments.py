"""Scenarios of idempotency keys from the view of callers."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from egretmill.errors import ANSWERS, ErrorKind, Outcome
from egretmill.wire.messages import StoredAnswer
from tests.fakes import FakeTable
from tests.ledger.support import Fleet, claim, record
from tests.virtual_time import VirtualLoop

scenarios('ledger/features/instalments.feature')

SETTLE_S = 10
#: What the entry program answers to decisions other than ``granted``.
KIND_OF_STATUS = {
    'unavailable': ErrorKind.LEDGER_UNAVAILABLE,
    'owner_lost': ErrorKind.OWNER_LOST,
    'in_progress': ErrorKind.IN_PROGRESS,
}


class InstalmentScenario:
    """Callers, two entry hosts and the service that takes instalments."""

    def __init__(self, loop):
        """Start both hosts."""
        self.loop = loop
        self.fleet = Fleet(FakeTable())
        self.services = {}
        self.taken = []
        self.answers = []
        self.outcomes = []

    async def start(self):
        """Start the hosts inside the loop."""
        self.services = {name: self.fleet.start(name) for name in 'ab'}

    def run(self, coroutine):
        """Run one step of a scenario."""
        return self.loop.run_until_complete(coroutine)

    async def send(self, number, host, fails=False):
        """Send an instalment and collect its answer and outcome."""
        message = claim(f'instalment-{number}')
        decision = await self.services[host].claim(message)
        kind = KIND_OF_STATUS.get(decision.status)
        if kind is not None:
            self.outcomes.append(ANSWERS[kind].outcome)
            return
        answer = decision.answer
        if decision.status == 'granted':
            self.taken.append(number)
            answer = StoredAnswer(201, (), f'receipt {self.taken}'.encode())
            if fails:
                self.fleet.live.pop(host)
                return
            await self.services[host].record(record(message, answer=answer))
        self.answers.append(answer)
        self.outcomes.append(Outcome.RAN)

    async def platform(self, down):
        """Stop or restore the platform, and let the hosts recover."""
        for store in self.fleet.stores.values():
            store.switches.down = down
        await asyncio.sleep(0 if down else SETTLE_S)


@pytest.fixture
def scenario():
    """Return a scenario in virtual time."""
    loop = VirtualLoop()
    yield InstalmentScenario(loop)
    loop.close()


@given('two entry hosts')
def two_hosts(scenario):
    """Start the hosts."""
    scenario.run(scenario.start())


@when(parsers.parse('the caller sends instalment {number:d} to host {host}'))
def send(scenario, number, host):
    """Send an instalment."""
    scenario.run(scenario.send(number, host))


@when(parsers.parse('host {host} fails while it takes instalment {number:d}'))
def fail(scenario, number, host):
    """Send an instalment to a host that fails before it answers."""
    scenario.run(scenario.send(number, host, fails=True))


@when(parsers.parse('the platform is {state}'))
def platform(scenario, state):
    """Switch the platform."""
    scenario.run(scenario.platform(state == 'out'))


@then(parsers.re('instalment (?P<number>[0-9]+) was taken (?P<times>.) time'))
def was_taken(scenario, number, times):
    """Guards against an instalment that is taken twice, or never."""
    assert scenario.taken.count(int(number)) == int(times)


@then('both answers are the same')
def answers_are_equal(scenario):
    """Guards against a second receipt."""
    first, second = scenario.answers
    assert first == second


@then('the last answer says that the outcome is unknown')
def outcome_is_unknown(scenario):
    """Guards against reporting a definite outcome that is not known."""
    assert scenario.outcomes[-1] is Outcome.UNKNOWN


@then('the last answer says that the instalment was not taken')
def was_not_taken(scenario):
    """Guards against reporting "not run" for a request that ran."""
    assert scenario.outcomes[-1] is Outcome.NOT_RUN
    assert not scenario.taken
