"""What a host learns from the beats of its peers."""

import pytest

from egretmill.fleet.freshness import boot_time
from egretmill.fleet.knowledge import Topic
from egretmill.host.beats import Beats
from egretmill.fleet.upstreams import UpstreamState
from egretmill.peers import Beat, PeerTable
from egretmill.peers.table import DUTY_HOSTS
from tests.host.fakes import make_state, upstream

NOW = 1000.0
ADDRESS = ('10.0.0.2', 7000)
#: Of a proof that was set four seconds ago.
LEAST_AGE_S = 3.9


def make_beats():
    """Return beats of a host, with a list of its looks for changes."""
    looks = []
    return Beats(make_state(), looks.append), looks


def beat_like(beats, **changes):
    """Return a beat of a peer that knows what the host knows."""
    state = beats.state
    now = boot_time()
    beat = Beat(
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
    return changed_beat(beat, **changes)


def changed_beat(beat, **changes):
    """Return a changed copy of a beat."""
    fields = {name: getattr(beat, name) for name in beat.__struct_fields__}
    return Beat(**{**fields, **changes})


def test_proof_of_a_peer_counts_from_the_own_question():
    """Guards against a proof that is younger than its knowledge."""
    beats, _ = make_beats()
    proof = beats.state.knowledge.configuration_proof
    proof.at = boot_time() - 4
    asked_at = boot_time() - 0.5
    beats.hear(beat_like(beats, answers=asked_at), ADDRESS)
    assert proof.at == pytest.approx(asked_at - 0.2)


@pytest.mark.parametrize(
    'changes',
    [
        {'answers': 0.0},
        {'knowledge': 1},
        {'knowledge_age': float('inf')},
    ],
)
def test_beat_that_proves_nothing(changes):
    """Guards against proofs out of other knowledge or stale answers."""
    beats, _ = make_beats()
    proof = beats.state.knowledge.configuration_proof
    proof.at = boot_time() - 4
    beats.hear(beat_like(beats, **changes), ADDRESS)
    assert proof.age(boot_time()) > LEAST_AGE_S


def test_younger_knowledge_of_a_peer_leads_to_a_look():
    """Guards against a version that is noticed only with the next call."""
    beats, looks = make_beats()
    beats.state.knowledge.configuration_proof.at = boot_time() - 1
    beats.hear(beat_like(beats, knowledge=1), ADDRESS)
    assert looks == [Topic.CONFIGURATION]


def test_outdated_peer_leads_to_no_look():
    """Guards against calls of all hosts because one is cut off."""
    beats, looks = make_beats()
    outdated = {'knowledge': 1, 'knowledge_age': 9.0, 'roster_age': 9.0}
    beats.hear(beat_like(beats, **outdated), ADDRESS)
    assert not looks


def test_beat_of_a_leaving_host_says_so():
    """Guards against a directory that names a leaving host."""
    beats, _ = make_beats()
    state = beats.state
    beats.hear(beat_like(beats), ADDRESS)
    peer = state.peers.peers['h2']
    assert beats.beat(peer, {}, {}, boot_time()).ready
    state.leaving = True
    assert not beats.beat(peer, {}, {}, boot_time()).ready


def test_news_is_looked_for_although_its_proof_is_older():
    """Guards against a change that waits for the next call of each host.

    What a long call brings is younger than the proof, which counts from
    when it was sent.
    """
    beats, looks = make_beats()
    beats.state.knowledge.configuration_proof.confirm(boot_time())
    news = beat_like(beats, knowledge=1, knowledge_age=0.6)
    beats.hear(news, ADDRESS)
    assert looks == [Topic.CONFIGURATION]


def test_peer_that_is_behind_leads_to_no_look():
    """Guards against a call of each host for each beat after a change."""
    beats, looks = make_beats()
    beats.differences.note_own()
    behind = beat_like(beats, knowledge_age=0.6)
    beats.state.knowledge.evacuate(frozenset(('west-a',)))
    beats.state.knowledge.configuration_proof.confirm(boot_time())
    beats.hear(behind, ADDRESS)
    assert not looks


def test_peer_proves_the_list_of_upstreams():
    """Guards against 32 hosts that all read the same list."""
    beats, _ = make_beats()
    proof = beats.state.knowledge.upstream_proof
    beats.hear(beat_like(beats), ADDRESS)
    assert proof.age(boot_time()) < 1
    proof.at = 0
    beats.state.knowledge.put_upstream(upstream())
    outdated = beat_like(beats, sent_at=boot_time() + 1, upstreams=1)
    beats.hear(outdated, ADDRESS)
    assert proof.at == 0


def test_report_that_changes_nothing_keeps_the_digest():
    """Guards against lists that never agree because upstreams report."""
    knowledge = make_state(upstream()).knowledge
    before = knowledge.upstreams.digest
    knowledge.put_upstream(upstream(beat=5))
    assert knowledge.upstreams.digest == before
    knowledge.put_upstream(upstream(beat=6, cold_s=2))
    cold = knowledge.upstreams.digest
    assert cold != before
    knowledge.put_upstream(upstream(beat=7, state=UpstreamState.LEAVING))
    assert knowledge.upstreams.digest not in {before, cold}
    knowledge.upstreams.drop('u1')
    assert knowledge.upstreams.digest not in {before, cold}


def test_few_hosts_are_on_duty():
    """Guards against a fleet in which nobody, or everybody, reads."""
    names = [f'h{number}' for number in range(32)]
    on_duty = []
    for name in names:
        table = PeerTable(name)
        for other in names:
            heard = Beat(other, 1, '', '', '', True, 1, 0, 0, 0, 0, 0)
            table.hear(heard, ADDRESS, NOW)
        on_duty.append(table.on_duty(NOW))
        assert table.on_duty(NOW + 60)
    assert sum(on_duty) == DUTY_HOSTS


def test_difference_that_stays_leads_to_few_looks():
    """Guards against a storm of calls while hosts differ.

    krc-rota-grown trouble-1: half of the hosts could not reach the store
    and looked for the others' news in every beat.
    """
    beats, looks = make_beats()
    state = beats.state
    for step in range(40):
        now = NOW + step * 0.05
        state.now = lambda at=now: at
        state.knowledge.configuration_proof.at = now - 1
        told = beat_like(beats, sent_at=now, answers=0.0, knowledge=1)
        beats.hear(told, ADDRESS)
    assert len(looks) == 2
