"""The list of upstreams: which of two records is in force."""

import dataclasses

from hypothesis import given, strategies

from egretmill.fleet.upstreams import (
    MAX_REMOVALS,
    Removal,
    Upstream,
    UpstreamList,
)

NAME = 'u1'
READY = Upstream(NAME, 1, 'svc', '10.0.0.1', 80, 'west-a', 'west', 4, beat=3)
RESTARTED = dataclasses.replace(READY, incarnation=2, beat=1)


def names(upstreams):
    """Return the names of the upstreams that may get requests."""
    return [record.name for record in upstreams.candidates('svc')]


def test_newer_ready_report_does_not_undo_the_word_of_an_incarnation():
    """Guards against requests to an upstream that said that it leaves."""
    upstreams = UpstreamList()
    upstreams.put(READY)
    assert upstreams.record_leaving(NAME, 1) == READY
    upstreams.put(dataclasses.replace(READY, beat=9, version=20))
    assert not names(upstreams)
    assert upstreams.by_name[NAME].beat == 9


def test_lapse_of_the_entry_does_not_undo_the_word():
    """Guards against an entry that returns, and the requests with it."""
    upstreams = UpstreamList()
    upstreams.put(READY)
    upstreams.record_leaving(NAME, 1)
    upstreams.remove(NAME, 10)
    upstreams.put(dataclasses.replace(READY, beat=9, version=20))
    assert not names(upstreams)


def test_word_of_a_removed_upstream_counts():
    """Guards against an answer that arrives after the entry has lapsed."""
    upstreams = UpstreamList()
    upstreams.put(READY)
    upstreams.remove(NAME, 10)
    upstreams.record_leaving(NAME, 1)
    upstreams.put(dataclasses.replace(READY, beat=9, version=20))
    assert not names(upstreams)


def test_new_start_is_not_bound_by_the_word_of_the_last():
    """Guards against a started upstream that gets nothing."""
    upstreams = UpstreamList()
    upstreams.put(READY)
    upstreams.record_leaving(NAME, 1)
    upstreams.put(RESTARTED)
    assert names(upstreams) == [NAME]
    upstreams.record_leaving(NAME, 1)
    assert names(upstreams) == [NAME]


def test_word_of_an_unknown_start_says_nothing_of_its_reports():
    """Guards against a leaving upstream that differs from the peers' lists."""
    upstreams = UpstreamList()
    upstreams.put(dataclasses.replace(READY, beat=9))
    upstreams.remove(NAME, 10)
    upstreams.record_leaving(NAME, 2)
    upstreams.put(RESTARTED)
    assert upstreams.by_name[NAME].is_leaving
    upstreams.put(dataclasses.replace(RESTARTED, incarnation=3))
    assert names(upstreams) == [NAME]


def test_another_upstream_at_the_address_is_not_bound():
    """Guards against a reused address that gets nothing."""
    upstreams = UpstreamList()
    upstreams.put(READY)
    upstreams.record_leaving(NAME, 1)
    upstreams.put(dataclasses.replace(READY, name='u2'))
    assert names(upstreams) == ['u2']


def test_removals_are_bounded():
    """Guards against memory that grows with each upstream that ever was."""
    upstreams = UpstreamList()
    for number in range(MAX_REMOVALS + 5):
        upstreams.record_removal(f'u{number}', Removal(1, 1))
    assert len(upstreams.removals) == MAX_REMOVALS
    assert 'u0' not in upstreams.removals


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('report'),
            strategies.integers(1, 2),
            strategies.integers(1, 6),
        ),
        strategies.tuples(
            strategies.just('word'),
            strategies.integers(1, 2),
            strategies.none(),
        ),
        strategies.tuples(
            strategies.just('lapse'), strategies.none(), strategies.none()
        ),
    ),
    max_size=20,
)


@given(steps)
def test_no_order_of_reports_undoes_a_word(steps):
    """Guards against a leaving upstream that is a candidate again."""
    upstreams = UpstreamList()
    known_leaving = set()
    for version, (step, incarnation, beat) in enumerate(steps, 1):
        current = upstreams.by_name.get(NAME)
        match step:
            case 'report':
                upstreams.put(
                    dataclasses.replace(
                        READY,
                        incarnation=incarnation,
                        beat=beat,
                        version=version,
                    )
                )
            case 'word' if current and current.incarnation == incarnation:
                upstreams.record_leaving(NAME, incarnation)
                known_leaving.add(incarnation)
            case 'lapse':
                upstreams.remove(NAME, version)
        in_force = upstreams.by_name.get(NAME)
        if in_force is not None and in_force.incarnation in known_leaving:
            assert not names(upstreams)


@given(strategies.permutations(['word', 'older', 'newer', 'lapse']))
def test_word_holds_whenever_it_arrives(order):
    """Guards against a word that counts only in the usual order."""
    upstreams = UpstreamList()
    upstreams.put(READY)
    for step in order:
        match step:
            case 'word':
                upstreams.record_leaving(NAME, 1)
            case 'older':
                upstreams.put(dataclasses.replace(READY, beat=2, version=2))
            case 'newer':
                upstreams.put(dataclasses.replace(READY, beat=5, version=9))
            case 'lapse':
                upstreams.remove(NAME, 7)
    upstreams.put(dataclasses.replace(READY, beat=7, version=12))
    assert not names(upstreams)
