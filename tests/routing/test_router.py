"""Selection of site and upstream."""

import pytest

from egretmill.errors import ErrorKind
from egretmill.routing import POLICIES, Observation, UpstreamTable, get_policy
from tests.routing import fleet


@pytest.fixture
def table() -> UpstreamTable:
    """Return a table that knows all upstreams."""
    new_table = UpstreamTable()
    new_table.apply(fleet.environment(), fleet.records(), 0)
    return new_table


@pytest.mark.parametrize('policy', sorted(POLICIES))
def test_idle_local_site_is_preferred(table, policy):
    """Guards against shifts while the own failure domain has capacity."""
    router = fleet.router(table, policy)
    limits = fleet.FakeLimits(table)
    chosen = router.choose('board', fleet.environment(), limits, 1).unwrap()
    assert chosen.site == fleet.LOCAL
    assert not chosen.is_shifted


def test_full_site_shifts_to_the_same_region_first(table):
    """Guards against other regions while the own region has capacity."""
    limits = fleet.FakeLimits(table, shares={fleet.LOCAL: 0})
    router = fleet.router(table)
    chosen = router.choose('board', fleet.environment(), limits, 1).unwrap()
    assert chosen.site == fleet.NEAR
    assert chosen.preferred == fleet.LOCAL


@pytest.mark.parametrize(('shifts', 'links'), [(0, True), (5, False)])
def test_cap_and_budget_stop_shift(table, shifts, links):
    """Guards against shifts above the cap or the link budget."""
    shares = {fleet.LOCAL: 0, fleet.NEAR: 0}
    limits = fleet.FakeLimits(table, shares=shares, shifts=shifts, links=links)
    router = fleet.router(table)
    refused = router.choose('board', fleet.environment(), limits, 1)
    assert refused.unwrap_err().kind == ErrorKind.OVERLOADED


def test_no_free_slots_is_overloaded(table):
    """Guards against exceeding this host's concurrency limit."""
    limits = fleet.FakeLimits(table, share=0)
    refused = fleet.router(table).choose(
        'board', fleet.environment(), limits, 1
    )
    assert refused.unwrap_err().kind == ErrorKind.OVERLOADED


def test_all_drained_is_no_upstream(table):
    """Guards against queueing for upstreams that are drained."""
    drained = fleet.environment(*(('site', site) for site in fleet.SITES))
    table.apply(drained, fleet.records(), 1)
    limits = fleet.FakeLimits(table)
    refused = fleet.router(table).choose('board', drained, limits, 1)
    assert refused.unwrap_err().kind == ErrorKind.NO_UPSTREAM


def test_no_retry_while_whole_site_sheds(table):
    """Guards against retries that add load to a site that sheds."""
    for number in range(3):
        table.begin(f'{fleet.LOCAL}-{number}', 1)
        table.finish(f'{fleet.LOCAL}-{number}', Observation(0.01, 'shed'), 1)
    limits = fleet.FakeLimits(table)
    router = fleet.router(table)
    tried = frozenset((f'{fleet.LOCAL}-0',))
    env = fleet.environment()
    refused = router.choose('board', env, limits, 1.01, tried)
    assert refused.unwrap_err().kind == ErrorKind.UPSTREAM_SHED
    first = router.choose('board', env, limits, 1.01).unwrap()
    assert first.site == fleet.NEAR


def test_explain_names_every_candidate(table):
    """Guards against an explanation that omits a candidate."""
    table.finish(f'{fleet.LOCAL}-0', Observation(0.01, 'draining'), 1)
    router = fleet.router(table)
    limits = fleet.FakeLimits(table)
    env = fleet.environment()
    lines = router.explain('board', env, limits, 1)
    text = '\n'.join(lines)
    for upstream in fleet.records():
        assert f'upstream {upstream.name}: ' in text
    assert 'site-n1-0: draining (own answer)' in text
    assert lines[-1] == f'chosen: {router.choose("board", env, limits, 1).ok()}'


def test_failed_upstreams_lower_the_capacity(table):
    """Guards against a site's full load on its remaining upstreams (P2)."""
    for number in (0, 1):
        name = f'{fleet.LOCAL}-{number}'
        table.begin(name, 1)
        table.finish(name, Observation(0.01, 'refused'), 1)
    shares = {fleet.NEAR: 0, fleet.FAR: 0}
    limits = fleet.FakeLimits(table, 9, shares=shares)
    router = fleet.router(table)
    env = fleet.environment()
    for _ in range(3):
        chosen = router.choose('board', env, limits, 1.1).unwrap()
        table.begin(chosen.upstream.name, 1.1)
    refused = router.choose('board', env, limits, 1.1)
    assert refused.unwrap_err().kind == ErrorKind.OVERLOADED


def test_cold_upstreams_exceed_slow_start_before_a_refusal():
    """Guards against refusals while cold upstreams have free slots."""
    table = UpstreamTable()
    env = fleet.environment()
    table.apply(env, (fleet.record('warm', fleet.FAR),), 0)
    table.apply(env, (fleet.record('cold', slots=4),), 1)
    limits = fleet.FakeLimits(table, 4)
    router = fleet.router(table)
    for _ in range(4):
        chosen = router.choose('board', env, limits, 1).unwrap()
        table.begin(chosen.upstream.name, 1)
    assert table.in_flight('board', fleet.LOCAL) == 4
    assert 'cold upstreams beyond their ramp' in str(chosen)


def test_spillover_rises_with_utilisation(table):
    """Guards against shifting all load at once when a site is full."""
    limits = fleet.FakeLimits(table, 12)
    router = fleet.router(table)
    env = fleet.environment()
    shifted = []
    for running in range(12):
        found = [
            router.choose('board', env, limits, 1).unwrap().is_shifted
            for _ in range(200)
        ]
        shifted.append(sum(found))
        table.begin(f'{fleet.LOCAL}-{running % 3}', 1)
    assert not any(shifted[:10])
    assert shifted[10] > 0
    assert shifted[10] < shifted[11] < 200


def test_slow_upstream_that_reports_idle_is_avoided(table):
    """Guards against trusting a load report that latencies contradict."""
    slow = f'{fleet.LOCAL}-0'
    for number in range(3):
        name = f'{fleet.LOCAL}-{number}'
        latency_s = 1 if name == slow else 0.1
        table.begin(name, 1)
        table.finish(name, Observation(latency_s, 'ok'), 1)
        table.record_report(name, 0 if name == slow else 2, False, 1)
    limits = fleet.FakeLimits(table)
    router = fleet.router(table)
    chosen = router.choose('board', fleet.environment(), limits, 1).unwrap()
    assert chosen.upstream.name != slow


def test_rotation_spreads_hosts_over_upstreams(table):
    """Guards against all hosts choosing the same upstream."""
    limits = fleet.FakeLimits(table)
    router = fleet.router(table)
    first = set()
    for rotation in range(3):
        router.rotation = rotation
        chosen = router.choose('board', fleet.environment(), limits, 1)
        first.add(chosen.unwrap().upstream.name)
    assert len(first) == 3


def test_unknown_policy_names_the_known_ones():
    """Guards against an error that does not list the valid names."""
    failure = get_policy('fastest').unwrap_err()
    for name in POLICIES:
        assert name in failure.detail


def test_unsafe_request_probes_only_without_other_upstreams(table):
    """Guards against unknown outcomes and a service that never recovers."""
    env = fleet.environment()
    limits = fleet.FakeLimits(table)
    router = fleet.router(table)
    failed = set()
    for record in fleet.records():
        chosen = router.choose('board', env, limits, 1.6, idempotent=False)
        assert chosen.unwrap().upstream.name not in failed
        table.begin(record.name, 1)
        table.finish(record.name, Observation(0.01, 'refused'), 1)
        failed.add(record.name)
    assert router.choose('board', env, limits, 1.6, idempotent=False).is_ok()
