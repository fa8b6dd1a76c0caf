"""Choice of site and upstream."""

import pytest

from egretmill.errors import ErrorKind
from egretmill.routing import POLICIES, Observation, UpstreamTable
from tests.routing import fleet


@pytest.fixture
def table() -> UpstreamTable:
    """Return a table that knows all upstreams."""
    known = UpstreamTable()
    known.apply(fleet.environment(), fleet.records(), 0)
    return known


@pytest.mark.parametrize('policy', sorted(POLICIES))
def test_idle_local_site_is_preferred(table, policy):
    """Guards against needless shifts while the own domain has room."""
    router = fleet.router(table, policy)
    limits = fleet.FakeLimits(table)
    chosen = router.choose('board', fleet.environment(), limits, 1).unwrap()
    assert chosen.site == fleet.LOCAL
    assert not chosen.shifted


def test_full_site_goes_to_own_region_first(table):
    """Guards against a long round trip while the own region has room."""
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


def test_no_slots_anywhere_is_overloaded(table):
    """Guards against use above the concurrency of this host."""
    limits = fleet.FakeLimits(table, share=0)
    refused = fleet.router(table).choose(
        'board', fleet.environment(), limits, 1
    )
    assert refused.unwrap_err().kind == ErrorKind.OVERLOADED


def test_all_drained_is_no_upstream(table):
    """Guards against waiting for upstreams that will not come back."""
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
    """Guards against an explanation that hides a candidate."""
    table.finish(f'{fleet.LOCAL}-0', Observation(0.01, 'draining'), 1)
    router = fleet.router(table)
    limits = fleet.FakeLimits(table)
    env = fleet.environment()
    lines = router.explain('board', env, limits, 1)
    text = '\n'.join(lines)
    for known in fleet.records():
        assert f'upstream {known.name}: ' in text
    assert 'site-n1-0: draining (own answer)' in text
    assert lines[-1] == f'chosen: {router.choose("board", env, limits, 1).ok()}'
