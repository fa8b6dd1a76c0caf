"""Confirmations and store reads that heartbeats of peers cause."""

import random

import pytest

from egretmill.errors import ErrorKind
from egretmill.fleet.freshness import boot_time
from egretmill.fleet.lag import OUTDATED_AFTER_S
from egretmill.fleet.view import Topic
from egretmill.host.heartbeats import HeartbeatService
from egretmill.host.request_check import check_request
from egretmill.host.store_read_policy import PUSH_WAIT_S
from egretmill.fleet.upstreams import UpstreamState
from egretmill.peers import Heartbeat, PeerTable, UpstreamChanges
from egretmill.peers.datagrams import LimitReport
from egretmill.peers.table import DESIGNATED_READERS
from egretmill.shares.roster import ROSTER_LEASE_S
from tests.host.fakes import (
    configuration,
    make_head,
    make_state,
    upstream,
)

NOW = 1000.0
ADDRESS = ('10.0.0.2', 7000)
#: Least age of a confirmation that was set four seconds ago.
MIN_AGE_S = 3.9


def make_service():
    """Return a heartbeat service and a list of the reads that it causes."""
    reads = []
    return HeartbeatService(make_state(), reads.append), reads


def matching_heartbeat(service, **changes):
    """Return a heartbeat of a peer whose data equals the host's."""
    state = service.state
    now = boot_time()
    heartbeat = Heartbeat(
        'h2',
        1,
        '10.0.0.2:80',
        'west-a',
        'west',
        True,
        now,
        now - 0.1,
        state.digest(Topic.CONFIGURATION),
        0.2,
        state.digest(Topic.ROSTER),
        0.2,
        upstreams=state.digest(Topic.UPSTREAMS),
        upstreams_age=0.2,
    )
    return changed_heartbeat(heartbeat, **changes)


def changed_heartbeat(heartbeat, **changes):
    """Return a changed copy of a heartbeat."""
    fields = {
        name: getattr(heartbeat, name) for name in heartbeat.__struct_fields__
    }
    return Heartbeat(**{**fields, **changes})


def test_confirmation_by_a_peer_counts_from_the_own_heartbeat():
    """Guards against a confirmation that is newer than the data it confirms.

    A peer's answer shows its data as of some time after the own heartbeat.
    """
    service, _ = make_service()
    freshness = service.state.view.configuration_freshness
    freshness.confirmed_at = boot_time() - 4
    request_sent_at = boot_time() - 0.5
    service.handle_heartbeat(
        matching_heartbeat(service, answers=request_sent_at), ADDRESS
    )
    assert freshness.confirmed_at == pytest.approx(request_sent_at - 0.2)


@pytest.mark.parametrize(
    'changes',
    [
        {'answers': 0.0},
        {'knowledge': 1},
        {'knowledge_age': float('inf')},
    ],
)
def test_heartbeat_that_confirms_nothing(changes):
    """Guards against confirmation by other data or by stale answers."""
    service, _ = make_service()
    freshness = service.state.view.configuration_freshness
    freshness.confirmed_at = boot_time() - 4
    service.handle_heartbeat(matching_heartbeat(service, **changes), ADDRESS)
    assert freshness.age(boot_time()) > MIN_AGE_S


def test_newer_data_of_a_peer_causes_a_read():
    """Guards against waiting for the next periodic read of a new version."""
    service, reads = make_service()
    service.state.view.configuration_freshness.confirmed_at = boot_time() - 1
    service.handle_heartbeat(matching_heartbeat(service, knowledge=1), ADDRESS)
    assert reads == [Topic.CONFIGURATION]


@pytest.mark.parametrize(
    ('version', 'is_outdated'), [(2, True), (1, False), (0, False)]
)
def test_later_version_of_a_peer_is_newer_whatever_its_age(
    version, is_outdated
):
    """Guards against an older configuration that a restored store confirms."""
    service, _ = make_service()
    asked = []
    service.on_newer_configuration = asked.append
    state = service.state
    start = state.now()
    for tick in range(8):
        now = start + tick * 0.25
        state.now = lambda now=now: now
        state.view.now = state.now
        state.view.configuration_freshness.confirm(now)
        heartbeat = matching_heartbeat(
            service,
            knowledge=1,
            knowledge_age=5.0,
            configuration_version=version,
            sent_at=now,
            answers=now - 0.1,
        )
        service.handle_heartbeat(heartbeat, ADDRESS)
    assert bool(asked) is is_outdated
    assert state.view.is_configuration_outdated() is is_outdated
    state.apply_configuration(configuration(version=2))
    assert not state.view.is_configuration_outdated()


def test_earlier_version_of_a_peer_is_not_newer_though_confirmed_later():
    """Guards against refusals for the sake of an older configuration."""
    service, _ = make_service()
    state = service.state
    state.apply_configuration(configuration(version=3))
    state.view.configuration_freshness.confirmed_at = state.now() - 4
    for tick in range(8):
        now = boot_time() + tick * 0.25
        state.now = lambda now=now: now
        heartbeat = matching_heartbeat(
            service,
            knowledge=1,
            knowledge_age=0.1,
            configuration_version=2,
            sent_at=now,
            answers=now - 0.1,
        )
        service.handle_heartbeat(heartbeat, ADDRESS)
    state.view.now = state.now
    assert not state.view.is_configuration_outdated()


def test_outdated_peer_causes_no_read():
    """Guards against all hosts reading the store because one is partitioned."""
    service, reads = make_service()
    outdated = {'knowledge': 1, 'knowledge_age': 9.0, 'roster_age': 9.0}
    service.handle_heartbeat(matching_heartbeat(service, **outdated), ADDRESS)
    assert not reads


def test_host_that_shuts_down_is_not_ready():
    """Guards against a directory that names a host that is shutting down."""
    service, _ = make_service()
    state = service.state
    service.handle_heartbeat(matching_heartbeat(service), ADDRESS)
    peer = state.peers.peers['h2']
    assert service.make_heartbeat(peer, {}, {}, boot_time()).ready
    state.leaving = True
    assert not service.make_heartbeat(peer, {}, {}, boot_time()).ready


def test_change_causes_a_read_although_its_confirmation_is_older():
    """Guards against a change that waits for the next read of each host.

    The data of a long call can be newer than its confirmation, which counts
    from when the call was sent.
    """
    service, reads = make_service()
    service.state.view.configuration_freshness.confirm(boot_time())
    changed = matching_heartbeat(service, knowledge=1, knowledge_age=0.6)
    service.handle_heartbeat(changed, ADDRESS)
    assert reads == [Topic.CONFIGURATION]


def test_peer_that_is_behind_causes_no_read():
    """Guards against a read per host and heartbeat after each change."""
    service, reads = make_service()
    service.read_policy.update_own_digests()
    behind = matching_heartbeat(service, knowledge_age=0.6)
    service.state.view.apply_evacuations(frozenset(('west-a',)))
    service.state.view.configuration_freshness.confirm(boot_time())
    service.handle_heartbeat(behind, ADDRESS)
    assert not reads


def test_peer_confirms_the_list_of_upstreams():
    """Guards against 32 hosts that all read the same list.

    A peer with an equal digest confirms the list; one with another digest
    does not.
    """
    service, _ = make_service()
    freshness = service.state.view.upstream_freshness
    service.handle_heartbeat(matching_heartbeat(service), ADDRESS)
    assert freshness.age(boot_time()) < 1
    freshness.confirmed_at = 0
    service.state.view.put_upstream(upstream())
    outdated = matching_heartbeat(service, sent_at=boot_time() + 1, upstreams=1)
    service.handle_heartbeat(outdated, ADDRESS)
    assert freshness.confirmed_at == 0


def test_report_that_changes_nothing_keeps_the_digest():
    """Guards against digests that differ because upstreams send reports."""
    view = make_state(upstream()).view
    before = view.upstreams.digest
    view.put_upstream(upstream(beat=5))
    assert view.upstreams.digest == before
    view.put_upstream(upstream(beat=6, cold_s=2))
    cold = view.upstreams.digest
    assert cold != before
    view.put_upstream(upstream(beat=7, state=UpstreamState.LEAVING))
    assert view.upstreams.digest not in {before, cold}
    view.upstreams.remove('u1')
    assert view.upstreams.digest not in {before, cold}


def test_few_hosts_are_designated_readers():
    """Guards against a fleet in which none or all hosts read the store."""
    names = [f'h{number}' for number in range(32)]
    is_reader = []
    for name in names:
        table = PeerTable(name)
        for other in names:
            heartbeat = Heartbeat(other, 1, '', '', '', True, 1, 0, 0, 0, 0, 0)
            table.record_heartbeat(heartbeat, ADDRESS, NOW)
        is_reader.append(table.is_designated_reader(NOW))
        assert table.is_designated_reader(NOW + 60)
    assert sum(is_reader) == DESIGNATED_READERS


def test_lasting_difference_causes_few_reads():
    """Guards against a burst of store reads while hosts differ.

    krc-rota-grown trouble-1: half of the hosts could not reach the store and
    read it for the others' changes at every heartbeat.
    """
    service, reads = make_service()
    state = service.state
    for step in range(40):
        now = NOW + step * 0.05
        state.now = lambda at=now: at
        state.view.configuration_freshness.confirmed_at = now - 1
        differing = matching_heartbeat(
            service, sent_at=now, answers=0.0, knowledge=1
        )
        service.handle_heartbeat(differing, ADDRESS)
    assert len(reads) == 2


class RecordingLink:
    """Keeps the datagrams that are sent."""

    def __init__(self):
        """Start without datagrams."""
        self.sent = []

    def send(self, datagram, address):
        """Keep a datagram."""
        self.sent.append(datagram)


def read_configuration(state):
    """Apply a newer version, as a read of the store does."""
    state.apply_configuration(configuration(version=2))


def read_roster(state):
    """Apply a roster with one more host, as a read of the store does."""
    now = boot_time()
    state.share.apply_roster(('h1', 'h9'), now, now)


def read_upstreams(state):
    """Apply a new upstream, as a read of the store does."""
    state.view.put_upstream(upstream('u9'))


@pytest.mark.parametrize(
    ('topic', 'read', 'field'),
    [
        (Topic.CONFIGURATION, read_configuration, 'knowledge'),
        (Topic.ROSTER, read_roster, 'roster'),
        (Topic.UPSTREAMS, read_upstreams, 'upstreams'),
    ],
)
def test_reply_states_the_age_of_the_data_that_it_names(topic, read, field):
    """Guards against confirming the data of before a read by its time."""
    service, _ = make_service()
    service.link = RecordingLink()
    service.is_designated_reader = True
    service.tick()
    read(service.state)
    service.state.freshness(topic).confirm(boot_time())
    service.handle_heartbeat(matching_heartbeat(service), ADDRESS)
    assert [getattr(reply, field) for reply in service.link.sent] == [
        service.state.digest(topic),
    ]


def test_missed_push_is_made_up_for_while_peers_differ(monkeypatch):
    """Guards against a wait that each further digest starts anew."""
    service, reads = make_service()
    freshness = service.state.freshness(Topic.UPSTREAMS)
    started_at = boot_time()
    freshness.confirmed_at = started_at - 1
    for number in range(20):
        now = started_at + number * PUSH_WAIT_S / 4
        monkeypatch.setattr(service.state, 'now', lambda at=now: at)
        heartbeat = matching_heartbeat(
            service, upstreams=number + 1, sent_at=now, answers=now - 0.1
        )
        service.handle_heartbeat(heartbeat, ADDRESS)
        if reads:
            break
    assert reads == [Topic.UPSTREAMS]
    assert now - started_at < 2 * PUSH_WAIT_S


@pytest.mark.parametrize(
    ('heard_for_s', 'peer_age_s', 'caught_up', 'outcome'),
    [
        (OUTDATED_AFTER_S + 0.1, 0.2, False, ErrorKind.UNCONFIRMED),
        (OUTDATED_AFTER_S - 0.1, 0.2, False, None),
        (OUTDATED_AFTER_S + 0.1, 9.0, False, None),
        (OUTDATED_AFTER_S + 0.1, 0.2, True, None),
    ],
)
@pytest.mark.parametrize('path', [b'/p/1', b'/r/1', b'/x/'])
def test_no_request_is_decided_by_a_version_that_peers_have_replaced(
    monkeypatch, heard_for_s, peer_age_s, caught_up, outcome, path
):
    """Guards against an old version at a host that cannot read the store."""
    service, _ = make_service()
    view = service.state.view
    started_at = boot_time()
    view.configuration_freshness.confirmed_at = started_at - 1
    service.handle_heartbeat(
        matching_heartbeat(service, knowledge=1, knowledge_age=peer_age_s),
        ADDRESS,
    )
    if caught_up:
        view.configuration_freshness.confirm(boot_time())
    monkeypatch.setattr(view, 'now', lambda: started_at + heard_for_s)
    checked = check_request(make_head(path), service.state, random.Random(1))
    refusal = checked.err_value if checked.is_err() else None
    if outcome is None and path == b'/x/':
        outcome = ErrorKind.UNKNOWN_ROUTE
    assert (refusal and refusal.kind) == outcome


@pytest.mark.parametrize(
    ('age_s', 'incarnation', 'is_limited'),
    [(0.2, 1, True), (9.0, 1, False), (0.2, 2, False)],
)
def test_limit_of_an_earlier_time_is_not_applied(
    age_s, incarnation, is_limited
):
    """Guards against limits from before a suspension or a restart."""
    service, _ = make_service()
    service.state.view.put_upstream(upstream('u0'))
    heartbeat = matching_heartbeat(
        service,
        answers=boot_time() - age_s,
        limits={'u0': LimitReport(4.0, 0.1, incarnation)},
    )
    service.handle_heartbeat(heartbeat, ADDRESS)
    assert service.state.pool.loads['u0'].is_limited is is_limited


FORGED_ADDRESS = ('10.0.0.9', 7000)


def share_roster(service, **addresses):
    """Let the roster name hosts, as just read."""
    service.state.peers.apply_roster(addresses)
    service.state.share.freshness.confirmed_at = boot_time()


@pytest.mark.parametrize(
    ('roster_age_s', 'host', 'address', 'is_applied'),
    [
        (0, 'h2', ADDRESS, True),
        (0, 'h2', FORGED_ADDRESS, False),
        (0, 'forged', FORGED_ADDRESS, False),
        (ROSTER_LEASE_S + 1, 'h3', ADDRESS, True),
        (ROSTER_LEASE_S + 1, 'forged', FORGED_ADDRESS, False),
    ],
)
def test_changes_are_taken_from_hosts_of_the_fleet_only(
    roster_age_s, host, address, is_applied
):
    """Guards against upstreams that any sender can add."""
    service, _ = make_service()
    share_roster(service, h2=ADDRESS)
    applied = []
    service.on_changes = applied.append
    service.receive(matching_heartbeat(service, host='h2'), ADDRESS)
    service.receive(matching_heartbeat(service, host='h3'), ADDRESS)
    service.state.share.freshness.confirmed_at = boot_time() - roster_age_s
    service.receive(UpstreamChanges(host, 99, [upstream()]), address)
    assert bool(applied) is is_applied


def test_joining_host_sends_no_changes_before_the_roster_names_it():
    """Guards against senders that name themselves in a heartbeat first."""
    service, _ = make_service()
    share_roster(service, h2=ADDRESS)
    applied = []
    service.on_changes = applied.append
    heartbeat = matching_heartbeat(service, host='forged')
    service.receive(heartbeat, FORGED_ADDRESS)
    changes = UpstreamChanges('forged', 99, [upstream()])
    service.receive(changes, FORGED_ADDRESS)
    assert not applied
    share_roster(service, forged=FORGED_ADDRESS)
    service.receive(changes, FORGED_ADDRESS)
    assert applied == [changes]
