"""Upstream state: ejection, drains, load reports, slow start."""

import pytest

from egretmill.routing import Observation, UpstreamTable
from egretmill.routing.view import DrainSource, UpstreamStatus
from tests.routing import fleet

NAME = 'site-n1-0'


@pytest.fixture
def table() -> UpstreamTable:
    """Return a table that knows all upstreams since time 0."""
    new_table = UpstreamTable()
    new_table.apply(fleet.environment(), fleet.records(), 0)
    return new_table


def observe(table, kind, now, latency_s=0.1, name=NAME):
    """Send one request and end it."""
    table.begin(name, now)
    table.finish(name, Observation(latency_s, kind), now)


def status(table, now, name=NAME):
    """Return the status of an upstream."""
    return table.views[name].status(now)


def test_refused_connection_ejects_until_a_probe_succeeds(table):
    """Guards against requests to a dead upstream.

    After its recovery it must get requests again.
    """
    observe(table, 'refused', 1)
    assert status(table, 1.4) == UpstreamStatus.EJECTED
    assert status(table, 1.5) == UpstreamStatus.USABLE
    table.begin(NAME, 1.5)
    assert status(table, 1.6) == UpstreamStatus.PROBING
    table.finish(NAME, Observation(0.1, 'refused'), 1.6)
    assert status(table, 2.5) == UpstreamStatus.EJECTED
    observe(table, 'ok', 2.6)
    assert status(table, 2.6) == UpstreamStatus.USABLE
    assert table.views[NAME].max_requests(2.6) == 1
    assert table.views[NAME].max_requests(20) == 4


def test_unsafe_request_probes_only_after_a_delay(table):
    """Guards against unknown outcomes that an idempotent probe avoids."""
    observe(table, 'refused', 1)
    view = table.views[NAME]
    assert view.status(2, idempotent=False) == UpstreamStatus.EJECTED
    assert view.status(2, idempotent=True) == UpstreamStatus.USABLE
    assert view.status(40, idempotent=False) == UpstreamStatus.USABLE


def test_timeout_of_a_short_deadline_is_no_failure(table):
    """Guards against short deadlines that eject healthy upstreams."""
    for now in range(1, 20):
        observe(table, 'timeout', now, latency_s=0.05)
    assert status(table, 20) == UpstreamStatus.USABLE


def test_repeated_timeouts_keep_counting_as_failures(table):
    """Guards against a mean latency that rises until no timeout counts."""
    observe(table, 'ok', 1)
    probes = 0
    for tick in range(20, 400):
        if status(table, tick / 10) == UpstreamStatus.USABLE:
            observe(table, 'timeout', tick / 10, latency_s=1)
            probes += 1
    assert probes <= 10


def test_unresponsive_upstream_stalls_before_timeouts(table):
    """Guards against more requests to an upstream that does not respond."""
    observe(table, 'ok', 1)
    table.begin(NAME, 2)
    assert status(table, 2.9) == UpstreamStatus.USABLE
    assert status(table, 3.1) == UpstreamStatus.STALLED


def test_late_success_does_not_end_an_ejection(table):
    """Guards against an earlier request that hides a refused connection."""
    table.begin(NAME, 1)
    observe(table, 'refused', 1.1)
    table.finish(NAME, Observation(0.1, 'ok'), 1.2)
    assert status(table, 1.2) == UpstreamStatus.EJECTED


def test_cancelled_probe_allows_another(table):
    """Guards against an upstream that stays ejected.

    The caller of the probe disconnects, so the probe has no outcome.
    """
    observe(table, 'refused', 1)
    observe(table, 'cancelled', 2)
    assert status(table, 2) == UpstreamStatus.USABLE


def test_load_shedding_starts_a_backoff_and_recovers(table):
    """Guards against sending on to an upstream that sheds load."""
    observe(table, 'shed', 1)
    assert status(table, 1.05) == UpstreamStatus.SHEDDING
    assert not table.is_site_shedding('board', fleet.LOCAL, 1.05)
    for number in (1, 2):
        observe(table, 'shed', 1, name=f'{fleet.LOCAL}-{number}')
    assert table.is_site_shedding('board', fleet.LOCAL, 1.05)
    assert status(table, 1.3) == UpstreamStatus.USABLE
    observe(table, 'shed', 1.3)
    assert status(table, 1.7) == UpstreamStatus.SHEDDING
    observe(table, 'ok', 1.9)
    assert table.views[NAME].max_requests(12) == 4


@pytest.mark.parametrize('drain', [('upstream', NAME), ('site', fleet.LOCAL)])
def test_document_drains(table, drain):
    """Guards against new requests after a planned drain."""
    table.apply(fleet.environment(drain), fleet.records(), 1)
    assert status(table, 1) == UpstreamStatus.DRAINING
    table.apply(fleet.environment(), fleet.records(), 2)
    assert status(table, 2) == UpstreamStatus.USABLE


def test_leaving_in_the_list_drains_and_returns_cold(table):
    """Guards against full load on a process that has just started."""
    leaving = (fleet.record(NAME, state='leaving'),)
    table.apply(fleet.environment(), leaving, 1)
    assert status(table, 1) == UpstreamStatus.DRAINING
    table.apply(fleet.environment(), fleet.records(), 2)
    assert status(table, 2) == UpstreamStatus.USABLE
    assert table.views[NAME].max_requests(2) == 1


def test_requests_of_a_removed_upstream_stay_counted(table):
    """Guards against slots that count as free while requests still run."""
    table.begin(NAME, 1)
    table.apply(fleet.environment(), (), 2)
    assert table.in_flight('board', fleet.LOCAL) == 1
    assert status(table, 2) == UpstreamStatus.DRAINING
    table.finish(NAME, Observation(1, 'ok'), 3)
    table.apply(fleet.environment(), (), 4)
    assert NAME not in table.views


def test_announced_drain_ignores_contrary_reports(table):
    """Guards against an outdated report that ends an announced drain."""
    observe(table, 'draining', 1)
    for half_second in range(2, 100):
        table.record_report(NAME, 0, False, half_second / 2)
    assert status(table, 49) == UpstreamStatus.DRAINING
    assert dict(table.draining()) == {NAME: {DrainSource.ANSWER}}


def test_announced_drain_ends_after_a_gap_in_the_reports(table):
    """Guards against a restarted upstream that stays drained forever."""
    table.record_report(NAME, 1, False, 0.5)
    observe(table, 'draining', 1)
    for now in range(10, 15):
        table.record_report(NAME, 0, False, now)
    assert status(table, 14) == UpstreamStatus.DRAINING
    table.record_report(NAME, 0, False, 15)
    assert status(table, 15) == UpstreamStatus.USABLE


def test_reported_drain_ends_with_the_next_report(table):
    """Guards against a cancelled drain that stays in effect."""
    table.record_report(NAME, 0, True, 1)
    assert status(table, 1) == UpstreamStatus.DRAINING
    table.record_report(NAME, 0, False, 2)
    assert status(table, 2) == UpstreamStatus.USABLE


def test_old_report_is_not_used(table):
    """Guards against decisions based on outdated load."""
    view = table.views[NAME]
    for now in range(1, 61):
        table.record_report(NAME, 4, False, now)
    assert view.load(60) == pytest.approx(4, abs=0.1)
    assert view.load(62.5) == pytest.approx(0)


def test_connection_limit_is_divided_among_share_slots(table):
    """Guards against exceeding an upstream's connection limit in sum."""
    assert table.connection_limit(NAME) == 100
    assert table.connection_limit('unknown') == 0


def test_new_upstream_starts_cold_but_the_first_list_is_warm(table):
    """Guards against full load on a cold upstream.

    After a restart of the host, the upstreams must not count as cold.
    """
    assert table.views[NAME].max_requests(0) == 4
    added = (*fleet.records(), fleet.record('new'))
    table.apply(fleet.environment(), added, 5)
    assert table.views['new'].max_requests(5) == 1
    assert table.views['new'].max_requests(15) == 4


def test_peak_rises_immediately_and_decays():
    """Guards against avoiding an upstream long after one slow response."""
    table = UpstreamTable()
    table.apply(fleet.environment(), fleet.records(), 0)
    for now in range(1, 11):
        observe(table, 'ok', now, latency_s=0.1)
    observe(table, 'ok', 11, latency_s=2)
    latency = table.views[NAME].latency
    assert latency.peak_at(11) == pytest.approx(2)
    assert latency.mean_s == pytest.approx(0.45, abs=0.2)
    assert latency.peak_at(60) == pytest.approx(0, abs=0.1)
