"""Tokens of small accounts, asked from other hosts."""

import asyncio
import dataclasses

from egretmill.fleet.configuration import ClientAccount
from egretmill.fleet.freshness import boot_time
from egretmill.host.program import BootLoop
from egretmill.host.state import HostState
from egretmill.peers import Beat, TokenAnswer, TokenAsk
from egretmill.shares.accounts import Admitted, Limited
from egretmill.shares.roster import owners_of
from tests.host.fakes import DIALECT, SETTINGS

SMALL = ClientAccount('small', 6, 6)
NAMES = tuple(f'h{number}' for number in range(8))
REFUSED = Limited(0.5)
#: Bound of a question without an answer, with room for a busy machine.
LONGEST_S = 0.5


class Network:
    """Passes questions and answers between desks; drops on request."""

    def __init__(self, states):
        self.states = states
        self.drops_answers = False
        self.asked = []

    def link_of(self, host):
        """Return the link of one host."""
        return Link(self, host)

    def deliver(self, sender, datagram, receiver):
        """Pass a datagram on."""
        if isinstance(datagram, TokenAsk):
            self.asked.append(receiver)
            answer = self.states[receiver].tokens.answer(datagram)
            self.deliver(receiver, answer, sender)
        elif isinstance(datagram, TokenAnswer) and not self.drops_answers:
            self.states[receiver].tokens.take(datagram)


@dataclasses.dataclass
class Link:
    """One end of the network; addresses are host names."""

    network: Network
    host: str

    def send(self, datagram, address):
        """Send at once."""
        self.network.deliver(self.host, datagram, address[0])


def make_fleet():
    """Return hosts that hear each other, with tokens accrued."""
    now = boot_time()
    states = {}
    for name in NAMES:
        settings = dataclasses.replace(SETTINGS, name=name)
        state = HostState.from_settings(settings, DIALECT)
        state.share.record_joined(now - 60, 0, is_new=False)
        state.share.apply_roster(NAMES, now, now)
        state.accounts.apply({'small': SMALL}, now - 5)
        state.accounts.refresh(now - 4)
        state.accounts.refresh(now)
        states[name] = state
    network = Network(states)
    for name, state in states.items():
        state.tokens.link = network.link_of(name)
        for other in NAMES:
            state.peers.hear(beat(other, now), (other, 1), now)
    return network


def beat(name, now):
    """Return a beat."""
    return Beat(name, 1, 'e', 'd', 'west', True, now, 0, 0, 0, 0, 0)


def stranger():
    """Return a host that does not own the account."""
    owners = owners_of('small', 3, frozenset(NAMES))
    return next(name for name in NAMES if name not in owners)


def run(scenario):
    """Run a scenario on a fleet."""
    with asyncio.Runner(loop_factory=BootLoop) as runner:
        return runner.run(scenario(make_fleet()))


def test_host_without_a_part_gets_tokens_from_owners():
    """Guards against refusing small accounts on most hosts."""

    async def scenario(network):
        desk = network.states[stranger()].tokens
        return await desk.borrow('small', REFUSED, 0.1)

    assert isinstance(run(scenario), Admitted)


def test_fleet_grants_no_more_than_the_account_has():
    """Guards against tokens that are granted twice."""

    async def scenario(network):
        desk = network.states[stranger()].tokens
        granted = [await desk.borrow('small', REFUSED, 0.1) for _ in range(60)]
        return sum(isinstance(row, Admitted) for row in granted)

    # Burst and tolerance of all owners, and what accrues in a short wait.
    assert run(scenario) <= SMALL.burst + 6


def test_refusal_tells_when_an_owner_has_a_token():
    """Guards against a Retry-After that does not hold."""

    async def scenario(network):
        desk = network.states[stranger()].tokens
        answers = [await desk.borrow('small', REFUSED, 0.1) for _ in range(60)]
        return answers[-1]

    refused = run(scenario)
    assert isinstance(refused, Limited)
    assert 0 < refused.retry_after_s <= 1


def test_lost_answer_costs_a_bounded_time():
    """Guards against requests that wait for a lost datagram."""

    async def scenario(network):
        network.drops_answers = True
        desk = network.states[stranger()].tokens
        started_at = boot_time()
        refused = await desk.borrow('small', REFUSED, 0.1)
        return refused, boot_time() - started_at, desk.waiting

    refused, took_s, waiting = run(scenario)
    assert (refused, waiting) == (REFUSED, {})
    assert took_s < LONGEST_S


def test_dead_owners_are_not_asked():
    """Guards against waiting for hosts that have gone."""

    async def scenario(network):
        desk = network.states[stranger()].tokens
        for peer in desk.peers.peers.values():
            peer.heard_at -= 60
        return await desk.borrow('small', REFUSED, 0.1), network.asked

    assert run(scenario) == (REFUSED, [])
