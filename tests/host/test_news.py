"""Changed upstreams on their way from a host on duty to the others."""

import dataclasses

import pytest

from egretmill.fleet.knowledge import Topic
from egretmill.fleet.upstreams import UpstreamState
from egretmill.host.beats import Beats
from egretmill.host.differences import SETTLE_S
from egretmill.host.news import MOST_CHANGES, NewsDesk
from egretmill.host.updates import Updates
from egretmill.peers import Beat, UpstreamNews, decode_datagram, encode_datagram
from tests.host.fakes import make_state, upstream

NOW = 1000.0
ADDRESS = ('10.0.0.2', 7740)
VERSION = 7
#: Payload of a packet on an ordinary network.
PACKET_BYTES = 1400


class Link:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, datagram, address):
        """Keep a datagram."""
        self.sent.append(datagram)


def make_updates(*records, version=VERSION):
    """Return the updates of a host that has read a version."""
    updates = Updates(make_state(*records))
    updates.news.version = lambda: version
    return updates


def names(updates):
    """Return the upstreams that may get requests."""
    found = updates.state.knowledge.upstreams.candidates('svc')
    return [record.name for record in found]


def test_others_follow_the_host_on_duty():
    """Guards against hosts that differ after news, and so read the store."""
    reader = make_updates()
    reader.upstream(upstream('u1'))
    reader.upstream(upstream('u2'))
    reader.drop('u2')
    reader.upstream(upstream('u1', beat=3, state=UpstreamState.LEAVING))
    follower = make_updates(upstream('u1'), upstream('u2'), version=VERSION - 1)
    for news in reader.news.take():
        follower.hear(decode_datagram(encode_datagram(news)).ok_value)
    assert not names(reader)
    assert not names(follower)
    digest = reader.state.digest(Topic.UPSTREAMS)
    assert follower.state.digest(Topic.UPSTREAMS) == digest
    assert not list(follower.news.take())


@pytest.mark.parametrize('version', [VERSION, VERSION + 1])
def test_news_older_than_the_own_list_change_nothing(version):
    """Guards against an upstream that comes back out of a late datagram."""
    follower = make_updates(upstream('u1'), version=version)
    news = UpstreamNews('h2', VERSION, [upstream('u2')])
    follower.hear(news)
    assert names(follower) == ['u1']


def test_late_news_of_an_end_spare_the_next_incarnation():
    """Guards against dropping an upstream that has restarted."""
    reader = make_updates()
    reader.upstream(upstream('u1'))
    reader.drop('u1')
    reborn = dataclasses.replace(upstream('u1'), incarnation=2)
    follower = make_updates(reborn, version=VERSION - 1)
    for news in reader.news.take():
        follower.hear(news)
    assert names(follower) == ['u1']


def test_cold_time_that_moves_is_passed_on():
    """Guards against hosts that treat a cold upstream as warm.

    The lists agree while it is cold, so no host would read the new end.
    """
    reader = make_updates(upstream('u1', beat=1, cold_s=1))
    follower = make_updates(
        upstream('u1', beat=1, cold_s=1), version=VERSION - 1
    )
    reader.upstream(upstream('u1', beat=2, cold_s=3))
    for news in reader.news.take():
        follower.hear(news)
    load = follower.state.pool.loads['u1']
    assert load.slow_start.cold_until > follower.state.now() + 2


def test_datagrams_fit_a_packet():
    """Guards against datagrams that are lost because they are split."""
    desk = NewsDesk('edge-kut-b-1')
    for number in range(MOST_CHANGES):
        desk.put(upstream(f'i-{number:010x}', address='10.100.200.250'))
    sent = list(desk.take())
    assert sum(len(news.changed) for news in sent) == MOST_CHANGES
    assert max(len(encode_datagram(news)) for news in sent) < PACKET_BYTES


def test_first_read_is_no_news():
    """Guards against a burst of datagrams from every host that starts."""
    desk = NewsDesk('h1')
    for number in range(MOST_CHANGES + 1):
        desk.put(upstream(f'u{number}'))
    assert not list(desk.take())


def make_beats(name):
    """Return the beats of a host of a fleet, with its link."""
    state = make_state()
    state.now = lambda: NOW
    state.peers.host = name
    beats = Beats(state, lambda topic: None)
    beats.link = Link()
    for number in range(8):
        beat = Beat(f'h{number}', 1, '', '', '', True, 1, 0, 0, 0, 0, 0)
        state.peers.hear(beat, ADDRESS, NOW)
    return beats


def test_only_hosts_on_duty_pass_changes_on():
    """Guards against every host telling every other the same."""
    senders = []
    for number in range(8):
        beats = make_beats(f'h{number}')
        desk = NewsDesk(f'h{number}', changed={'u1': upstream()})
        beats.announce(desk)
        if any(isinstance(row, UpstreamNews) for row in beats.link.sent):
            senders.append(number)
        assert not list(desk.take())
    assert len(senders) == 2


def test_beat_is_answered_at_once_on_duty_only():
    """Guards against proofs that age for an interval before they arrive.

    krc-rota-grown quiet-1: 2,050 calls, most of hosts off duty whose proofs
    were older than their pace.
    """
    answers = []
    for number in range(8):
        beats = make_beats(f'h{number}')
        beats.tick()
        beats.link.sent.clear()
        beats.state.now = lambda: NOW + 0.1
        other = f'h{(number + 1) % 8}'
        for step in range(3):
            beat = Beat(other, 1, '', '', '', True, 2 + step, 0, 0, 0, 0, 0)
            beats.hear(beat, ADDRESS)
        answers.append(len(beats.link.sent))
    assert sorted(answers) == [0] * 6 + [1] * 2


def test_unknown_list_is_looked_for_when_no_news_have_come():
    """Guards against a lost datagram that leaves a host behind."""
    looks = []
    state = make_state()
    times = [NOW]
    state.now = lambda: times[-1]
    state.knowledge.upstream_proof.at = NOW - 1
    beats = Beats(state, looks.append)
    for step, expected in ((0, 0), (SETTLE_S + 0.01, 1)):
        times.append(NOW + step)
        beat = Beat('h2', 1, '', '', '', True, times[-1], 0, 0, -1, 0, -1)
        fields = {key: getattr(beat, key) for key in beat.__struct_fields__}
        fields |= {'upstreams': 5, 'upstreams_age': 0.1}
        fields |= {'knowledge': state.digest(Topic.CONFIGURATION)}
        fields |= {'roster': state.digest(Topic.ROSTER)}
        beats.hear(Beat(**fields), ADDRESS)
        assert len(looks) == expected
