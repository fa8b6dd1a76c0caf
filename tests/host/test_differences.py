"""Lasting differences from peers, and the reads that repair them."""

import pytest

from egretmill.fleet.view import Topic
from egretmill.host.differences import (
    FIRST_PAUSE_S,
    LASTING_DIFFERENCE_S,
    MAX_COMPARED_AGE_S,
    DifferenceTracker,
)
from tests.host.fakes import upstream
from tests.host.test_heartbeats import (
    ADDRESS,
    changed_heartbeat,
    make_service,
    matching_heartbeat,
)

NOW = 1000.0
TICK_S = 0.25


def count_reads(tracker, duration_s, age_s=0.2, start_at=NOW):
    """Return the reads while a peer states other data for a time."""
    ticks = int(duration_s / TICK_S) + 1
    return sum(
        tracker.should_read_whole(
            Topic.UPSTREAMS, 'h2', age_s, start_at + tick * TICK_S
        )
        for tick in range(ticks)
    )


def test_short_difference_causes_no_whole_read():
    """Guards against whole reads after each change of the upstreams."""
    tracker = DifferenceTracker()
    for round_number in range(4):
        start_at = NOW + round_number * LASTING_DIFFERENCE_S
        assert not count_reads(
            tracker, LASTING_DIFFERENCE_S - TICK_S, start_at=start_at
        )
        tracker.record_equal(Topic.UPSTREAMS, 'h2', start_at)


def test_whole_reads_become_rare_while_a_difference_remains():
    """Guards against whole reads without end because of one wrong peer."""
    tracker = DifferenceTracker()
    assert count_reads(tracker, LASTING_DIFFERENCE_S) == 1
    assert count_reads(tracker, 10 * FIRST_PAUSE_S) <= 4


def test_peer_that_ended_does_not_delay_later_reads():
    """Guards against a slow repair after a wrong peer has ended."""
    tracker = DifferenceTracker()
    count_reads(tracker, 10 * FIRST_PAUSE_S)
    later = NOW + 1000
    tracker.record_equal(Topic.UPSTREAMS, 'h3', later)
    reads = count_reads(tracker, 2 * FIRST_PAUSE_S, start_at=later)
    assert reads == 2


@pytest.mark.parametrize('age_s', [-1, MAX_COMPARED_AGE_S + 1])
def test_peer_without_the_store_causes_no_whole_read(age_s):
    """Guards against reads because one host cannot read the store."""
    assert not count_reads(DifferenceTracker(), 60, age_s)


def test_revived_upstream_is_found_by_comparison_with_peers():
    """Guards against a wrong record that no read of changes corrects.

    The peer still has the list that this host had before.
    """
    service, _ = make_service()
    whole_reads = []
    service.on_lasting_difference = whole_reads.append
    heartbeat = matching_heartbeat(service)
    now = heartbeat.sent_at
    service.state.now = lambda: now
    service.handle_heartbeat(heartbeat, ADDRESS)
    service.state.view.put_upstream(upstream('revived'))
    for tick in range(1, 16):
        now = heartbeat.sent_at + tick * TICK_S
        service.handle_heartbeat(
            changed_heartbeat(heartbeat, sent_at=now, answers=now - 0.1),
            ADDRESS,
        )
    assert whole_reads == [Topic.UPSTREAMS]
