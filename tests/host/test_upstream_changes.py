"""Changes of upstreams that designated readers send to the other hosts."""

import dataclasses

import pytest
from hypothesis import given, strategies

from egretmill.fleet.view import Topic
from egretmill.fleet.upstreams import UpstreamState
from egretmill.host.heartbeats import HeartbeatService
from egretmill.host.store_read_policy import PUSH_WAIT_S
from egretmill.host.upstream_changes import MAX_CHANGES, ChangeBuffer
from egretmill.host.state_updater import StateUpdater
from egretmill.peers import (
    Heartbeat,
    RemovedUpstream,
    UpstreamChanges,
    decode_datagram,
    encode_datagram,
)
from tests.host.fakes import make_state, upstream

NOW = 1000.0
ADDRESS = ('10.0.0.2', 7740)
VERSION = 7
#: Payload of a packet on an ordinary network.
PACKET_BYTES = 1400


class Link:
    """Records what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, datagram, address):
        """Record a datagram."""
        self.sent.append(datagram)


def make_updater(*records, version=VERSION):
    """Return the updater of a host that has read a store version."""
    updater = StateUpdater(make_state(*records))
    updater.outgoing_changes.version = lambda: version
    return updater


def names(updater):
    """Return the names of the upstreams that may get requests."""
    found = updater.state.view.upstreams.candidates('svc')
    return [record.name for record in found]


def test_others_apply_the_changes_of_a_designated_reader():
    """Guards against hosts that differ after changes and so read the store."""
    reader = make_updater()
    reader.put_upstream(upstream('u1'))
    reader.put_upstream(upstream('u2'))
    reader.remove_upstream('u2', VERSION)
    reader.put_upstream(upstream('u1', beat=3, state=UpstreamState.LEAVING))
    follower = make_updater(upstream('u1'), upstream('u2'), version=VERSION - 1)
    for changes in reader.outgoing_changes.drain():
        follower.apply_changes(
            decode_datagram(encode_datagram(changes)).ok_value
        )
    assert not names(reader)
    assert not names(follower)
    digest = reader.state.digest(Topic.UPSTREAMS)
    assert follower.state.digest(Topic.UPSTREAMS) == digest
    assert not list(follower.outgoing_changes.drain())


@pytest.mark.parametrize('version', [VERSION, VERSION + 1])
def test_outdated_changes_are_ignored(version):
    """Guards against a late datagram that restores a removed upstream."""
    follower = make_updater(upstream('u1'), version=version)
    changes = UpstreamChanges('h2', VERSION, [upstream('u2')])
    follower.apply_changes(changes)
    assert names(follower) == ['u1']


#: Course of one upstream in the store: reports, a lapse, a return, a restart.
COURSE = (
    upstream('u1', beat=1, version=10),
    upstream('u1', beat=2, version=12, cold_s=1),
    RemovedUpstream('u1', 1, 14, 2),
    upstream('u1', beat=6, version=15),
    upstream('u1', beat=7, version=16, state=UpstreamState.LEAVING),
    RemovedUpstream('u1', 1, 18, 7),
    upstream('u1', incarnation=2, beat=1, version=20),
    RemovedUpstream('u1', 2, 23, 1),
)


@given(
    known=strategies.integers(1, len(COURSE)),
    arrivals=strategies.lists(strategies.integers(0, len(COURSE) - 1)),
)
def test_order_of_messages_does_not_decide_what_holds(known, arrivals):
    """Guards against an older record in a late message that is applied.

    Each message has a newer version than the receiver has read, as after an
    outage of its sender.
    """
    course = COURSE[:known]
    follower = make_updater(version=9)
    order = (*arrivals, known - 1, *arrivals)
    for number in order:
        record = course[min(number, known - 1)]
        is_removal = isinstance(record, RemovedUpstream)
        follower.apply_changes(
            UpstreamChanges(
                'h2',
                VERSION + 100,
                [] if is_removal else [record],
                [record] if is_removal else [],
            )
        )
    last = course[-1]
    expected = None if isinstance(last, RemovedUpstream) else last
    assert follower.state.view.upstreams.by_name.get('u1') == expected


def test_record_that_was_read_already_is_ignored():
    """Guards against the return of an upstream that was read as removed."""
    follower = make_updater(version=78)
    changes = UpstreamChanges('h2', 91, [upstream('u1', version=53)])
    follower.apply_changes(changes)
    assert not names(follower)


def test_late_removal_spares_the_next_incarnation():
    """Guards against a late removal that drops a restarted upstream."""
    reader = make_updater()
    reader.put_upstream(upstream('u1'))
    reader.remove_upstream('u1', VERSION)
    reborn = dataclasses.replace(upstream('u1'), incarnation=2)
    follower = make_updater(reborn, version=VERSION - 1)
    for changes in reader.outgoing_changes.drain():
        follower.apply_changes(changes)
    assert names(follower) == ['u1']


def test_changed_end_of_a_cold_start_is_sent():
    """Guards against hosts that treat a cold upstream as warm.

    The digests match while it is cold, so no host would read the new end of
    its cold start.
    """
    reader = make_updater(upstream('u1', beat=1, cold_s=1))
    follower = make_updater(
        upstream('u1', beat=1, cold_s=1), version=VERSION - 1
    )
    reader.put_upstream(upstream('u1', beat=2, cold_s=3))
    for changes in reader.outgoing_changes.drain():
        follower.apply_changes(changes)
    load = follower.state.pool.loads['u1']
    assert load.slow_start.cold_until > follower.state.now() + 2


def test_datagrams_fit_a_packet():
    """Guards against datagrams that are fragmented, and so lost more often."""
    buffer = ChangeBuffer('edge-kut-b-1')
    for number in range(MAX_CHANGES):
        buffer.add_changed(
            upstream(f'i-{number:010x}', address='10.100.200.250')
        )
    sent = list(buffer.drain())
    assert sum(len(changes.changed) for changes in sent) == MAX_CHANGES
    assert max(len(encode_datagram(changes)) for changes in sent) < PACKET_BYTES


def test_first_read_is_not_sent():
    """Guards against a burst of datagrams from every host that starts.

    Its first read finds all upstreams changed.
    """
    buffer = ChangeBuffer('h1')
    for number in range(MAX_CHANGES + 1):
        buffer.add_changed(upstream(f'u{number}'))
    assert not list(buffer.drain())


def make_service(name):
    """Return the heartbeat service of a host in a fleet of eight."""
    state = make_state()
    state.now = lambda: NOW
    state.peers.host = name
    service = HeartbeatService(state, lambda topic: None)
    service.link = Link()
    for number in range(8):
        heartbeat = Heartbeat(
            f'h{number}', 1, '', '', '', True, 1, 0, 0, 0, 0, 0
        )
        state.peers.record_heartbeat(heartbeat, ADDRESS, NOW)
    return service


def test_only_designated_readers_send_changes():
    """Guards against every host sending every other the same changes."""
    senders = []
    for number in range(8):
        service = make_service(f'h{number}')
        buffer = ChangeBuffer(f'h{number}', changed={'u1': upstream()})
        service.broadcast_changes(buffer)
        if any(isinstance(row, UpstreamChanges) for row in service.link.sent):
            senders.append(number)
        assert not list(buffer.drain())
    assert len(senders) == 2


def test_only_designated_readers_reply_at_once():
    """Guards against confirmations that age while they wait for a heartbeat.

    krc-rota-grown quiet-1: 2,050 store calls, most of them from hosts that
    are not designated readers, because their confirmations were too old.
    """
    answers = []
    for number in range(8):
        service = make_service(f'h{number}')
        service.tick()
        service.link.sent.clear()
        service.state.now = lambda: NOW + 0.1
        other = f'h{(number + 1) % 8}'
        for step in range(3):
            heartbeat = Heartbeat(
                other, 1, '', '', '', True, 2 + step, 0, 0, 0, 0, 0
            )
            service.handle_heartbeat(heartbeat, ADDRESS)
        answers.append(len(service.link.sent))
    assert sorted(answers) == [0] * 6 + [1] * 2


def test_unknown_list_is_read_when_no_changes_arrive():
    """Guards against a host that stays outdated after a lost datagram."""
    reads = []
    state = make_state()
    times = [NOW]
    state.now = lambda: times[-1]
    state.view.upstream_freshness.confirmed_at = NOW - 1
    service = HeartbeatService(state, reads.append)
    for step, expected in ((0, 0), (PUSH_WAIT_S + 0.01, 1)):
        times.append(NOW + step)
        heartbeat = Heartbeat(
            'h2', 1, '', '', '', True, times[-1], 0, 0, -1, 0, -1
        )
        fields = {
            key: getattr(heartbeat, key) for key in heartbeat.__struct_fields__
        }
        fields |= {'upstreams': 5, 'upstreams_age': 0.1}
        fields |= {'knowledge': state.digest(Topic.CONFIGURATION)}
        fields |= {'roster': state.digest(Topic.ROSTER)}
        service.handle_heartbeat(Heartbeat(**fields), ADDRESS)
        assert len(reads) == expected
