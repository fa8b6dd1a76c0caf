"""Tests of the hosts in an answer to a look-up, and of their order."""

import pytest

from egretmill.document import Environment
from egretmill.errors import ErrorKind
from egretmill.lookup.answer import Directory
from egretmill.lookup.placement import MAX_HOSTS
from egretmill.wire.messages import HostRecord, PeerState

DOCUMENT = """
regions = [{ name = "east" }, { name = "west" }]
failure_domains = [
  { name = "ea", region = "east", share_slots = 1 },
  { name = "wa", region = "west", share_slots = 1 },
  { name = "wb", region = "west", share_slots = 1 },
]
sites = [{ name = "wa-1", failure_domain = "wa" }]
services = [{ name = "rota-board", sites = ["wa-1"] }]
routes = [{ path = "/rota", service = "rota-board", methods = ["GET"] }]
"""


@pytest.fixture
def environment():
    """Return the environment of the tests."""
    return Environment.from_bytes(DOCUMENT.encode()).unwrap()


def peer(name, domain, **fields):
    """Return the state of an entry host that is usable by default."""
    host = HostRecord(name, domain, '127.0.0.1', 1, 2, 3, 4)
    defaults = {'reachable': True, 'leaving': False, 'entry_ready': True}
    return PeerState(host, 1, 1, **(defaults | fields))


PEERS = (peer('e-1', 'ea'), peer('w-1', 'wa'), peer('w-2', 'wb'))


def ask(environment, peers, service='rota-board', site='wa-1'):
    """Return the answer for one caller."""
    directory = Directory.from_state(environment, peers).unwrap()
    return directory.answer(service, '10.0.0.1', site)


def names(answer):
    """Return the names of the hosts in order."""
    return [host.name for host in answer.hosts]


def test_domain_then_region_then_others(environment):
    """Guards against callers that cross regions without need."""
    answer = ask(environment, PEERS).unwrap()
    assert names(answer) == ['w-1', 'w-2', 'e-1']
    assert (answer.tier, answer.domain) == ('domain', 'wa')
    assert not answer.degraded


@pytest.mark.parametrize(
    'fields',
    [{'reachable': False}, {'leaving': True}, {'entry_ready': False}],
)
def test_unusable_host_is_left_out(environment, fields):
    """Guards against callers sent to a host that is down or not ready."""
    peers = (PEERS[0], peer('w-1', 'wa', **fields), PEERS[2])
    assert 'w-1' not in names(ask(environment, peers).unwrap())


def test_host_drained_by_the_document_is_left_out():
    """Guards against look-ups that ignore a drain in the document."""
    drained = f'drains = [{{ kind = "host", name = "w-1" }}]\n{DOCUMENT}'
    environment = Environment.from_bytes(drained.encode()).unwrap()
    assert names(ask(environment, PEERS).unwrap()) != []
    assert 'w-1' not in names(ask(environment, PEERS).unwrap())


def test_all_hosts_are_named_when_none_is_usable(environment):
    """Guards against an empty answer when all hosts seem unusable.

    The agent may be wrong about them, for example when it is cut off.
    """
    peers = tuple(
        peer(state.host.name, state.host.failure_domain, reachable=False)
        for state in PEERS
    )
    answer = ask(environment, peers).unwrap()
    assert sorted(names(answer)) == ['e-1', 'w-1', 'w-2']
    assert answer.degraded


def test_caller_of_unknown_site_is_placed(environment):
    """Guards against no answer for callers outside all client blocks."""
    for site in (None, 'gone-1'):
        answer = ask(environment, PEERS, site=site).unwrap()
        assert len(answer.hosts) == 3
        assert answer.tier == 'unplaced'


def test_unknown_service_and_no_hosts(environment):
    """Guards against an answer for a misspelt service or without hosts."""
    refused = ask(environment, PEERS, service='rota').unwrap_err()
    assert refused.kind is ErrorKind.UNKNOWN_SERVICE
    unready = Directory.from_state(environment, ()).unwrap_err()
    assert unready.kind is ErrorKind.NOT_READY


def test_answer_is_bounded_and_survives_the_loss_of_a_region(environment):
    """Guards against answers with all 870 hosts or with one region only."""
    peers = tuple(
        peer(f'{domain}-{index}', domain)
        for domain in ('ea', 'wa', 'wb')
        for index in range(20)
    )
    answer = ask(environment, peers).unwrap()
    assert len(answer.hosts) == MAX_HOSTS
    domains = ' '.join(host.failure_domain for host in answer.hosts)
    assert domains == 'wa wa wa wa wb wb ea ea'
