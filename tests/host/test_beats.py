"""What a host learns from the beats of its peers."""

import pytest

from egretmill.fleet.freshness import boot_time
from egretmill.host.beats import Beats
from egretmill.peers import Beat
from tests.host.fakes import make_state

ADDRESS = ('10.0.0.2', 7000)
#: Of a proof that was set four seconds ago.
LEAST_AGE_S = 3.9


def make_beats():
    """Return beats of a host, with a list of its looks for changes."""
    looks = []
    return Beats(make_state(), lambda: looks.append(1)), looks


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
        state.knowledge_digest(),
        0.2,
        state.roster_digest(),
        0.2,
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
    assert looks == [1]


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
