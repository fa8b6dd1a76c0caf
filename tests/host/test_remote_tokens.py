"""Tokens of small accounts, requested from other hosts."""

import asyncio
import dataclasses

from egretmill.fleet.configuration import ClientAccount
from egretmill.fleet.freshness import boot_time
from egretmill.host.event_loop import BootLoop
from egretmill.host.state import HostState
from egretmill.peers import Heartbeat, TokenResponse, TokenRequest
from egretmill.shares.accounts import Admitted, Limited
from egretmill.shares.roster import owners_of
from tests.host.fakes import DIALECT, SETTINGS

SMALL = ClientAccount('small', 6, 6)
NAMES = tuple(f'h{number}' for number in range(8))
REFUSED = Limited(0.5)
#: Limit for a request without a response, with a margin for a busy machine.
MAX_WAIT_S = 0.5


class Network:
    """Delivers token requests and responses; drops responses on request."""

    def __init__(self, states):
        self.states = states
        self.drops_responses = False
        self.asked = []

    def link_of(self, host):
        """Return the link of a host."""
        return Link(self, host)

    def deliver(self, sender, datagram, receiver):
        """Deliver a datagram."""
        if isinstance(datagram, TokenRequest):
            self.asked.append(receiver)
            response = self.states[receiver].tokens.handle_request(datagram)
            self.deliver(receiver, response, sender)
        elif isinstance(datagram, TokenResponse) and not self.drops_responses:
            self.states[receiver].tokens.handle_response(datagram)


@dataclasses.dataclass
class Link:
    """A host's end of the network; addresses are host names."""

    network: Network
    host: str

    def send(self, datagram, address):
        """Deliver at once."""
        self.network.deliver(self.host, datagram, address[0])


def make_fleet():
    """Return hosts that know each other, with tokens accrued."""
    now = boot_time()
    states = {}
    for name in NAMES:
        settings = dataclasses.replace(SETTINGS, name=name)
        state = HostState.from_settings(settings, DIALECT)
        state.share.record_joined(now - 60, 0)
        state.share.apply_roster(NAMES, now, now)
        state.accounts.apply({'small': SMALL}, now - 5)
        state.accounts.refresh(now - 4)
        state.accounts.refresh(now)
        states[name] = state
    network = Network(states)
    for name, state in states.items():
        state.tokens.link = network.link_of(name)
        for other in NAMES:
            state.peers.record_heartbeat(heartbeat(other, now), (other, 1), now)
    return network


def heartbeat(name, now):
    """Return a heartbeat."""
    return Heartbeat(name, 1, 'e', 'd', 'west', True, now, 0, 0, 0, 0, 0)


def non_owner():
    """Return a host that does not own the account."""
    owners = owners_of('small', 3, frozenset(NAMES))
    return next(name for name in NAMES if name not in owners)


def run(scenario):
    """Run a scenario on a fleet."""
    with asyncio.Runner(loop_factory=BootLoop) as runner:
        return runner.run(scenario(make_fleet()))


def test_host_without_a_share_gets_tokens_from_owners():
    """Guards against refusing requests of small accounts on most hosts."""

    async def scenario(network):
        tokens = network.states[non_owner()].tokens
        return await tokens.acquire('small', REFUSED, 0.1)

    assert isinstance(run(scenario), Admitted)


def test_fleet_grants_no_more_than_the_account_has():
    """Guards against granting a token twice."""

    async def scenario(network):
        tokens = network.states[non_owner()].tokens
        granted = [
            await tokens.acquire('small', REFUSED, 0.1) for _ in range(60)
        ]
        return sum(isinstance(row, Admitted) for row in granted)

    # Burst and tolerance of all owners, and what accrues in a short wait.
    assert run(scenario) <= SMALL.burst + 6


def test_refusal_states_when_an_owner_has_a_token():
    """Guards against a Retry-After that is too short or too long."""

    async def scenario(network):
        tokens = network.states[non_owner()].tokens
        answers = [
            await tokens.acquire('small', REFUSED, 0.1) for _ in range(60)
        ]
        return answers[-1]

    refused = run(scenario)
    assert isinstance(refused, Limited)
    assert 0 < refused.retry_after_s <= 1


def test_lost_answer_costs_a_bounded_time():
    """Guards against requests that wait long for a lost datagram."""

    async def scenario(network):
        network.drops_responses = True
        tokens = network.states[non_owner()].tokens
        started_at = boot_time()
        refused = await tokens.acquire('small', REFUSED, 0.1)
        return refused, boot_time() - started_at, tokens.pending

    refused, took_s, waiting = run(scenario)
    assert (refused, waiting) == (REFUSED, {})
    assert took_s < MAX_WAIT_S


def test_dead_owners_are_not_asked():
    """Guards against requests to dead owners."""

    async def scenario(network):
        tokens = network.states[non_owner()].tokens
        for peer in tokens.peers.peers.values():
            peer.last_received_at -= 60
        return await tokens.acquire('small', REFUSED, 0.1), network.asked

    assert run(scenario) == (REFUSED, [])
