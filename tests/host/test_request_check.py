"""Route, API key, deadline and home regions of a request."""

import random

import pytest
from result import Err, Ok

from egretmill.errors import ErrorKind
from egretmill.fleet.configuration import (
    Destination,
    FleetConfiguration,
    Route,
    RouteKind,
)
from egretmill.fleet.freshness import boot_time
from egretmill.host.request_check import check_request
from tests.host.fakes import DIALECT, SETTINGS, make_head, make_state
from egretmill.host.state import HostState

RNG = random.Random(1)


def accepted(state=None, **options):
    """Check a request and return it as accepted."""
    checked = check_request(make_head(**options), state or make_state(), RNG)
    assert isinstance(checked, Ok), checked
    return checked.ok_value


def refused(state=None, **options):
    """Check a request and return the kind of its refusal."""
    checked = check_request(make_head(**options), state or make_state(), RNG)
    assert isinstance(checked, Err), checked
    return checked.err_value.kind


def test_longest_prefix_wins():
    """Guards against a general route that shadows a specific one."""
    assert accepted(path=b'/r/1').route.name == 'reads'
    assert accepted(path=b'/r/deep/1?q=/p/').route.name == 'nested'


@pytest.mark.parametrize('path', [b'/x/', b'/r', b'/', b'*'])
def test_unknown_route(path):
    """Guards against unmatched requests that reach a service."""
    assert refused(path=path) == ErrorKind.UNKNOWN_ROUTE


def test_unknown_authority():
    """Guards against routes that match any authority."""
    assert refused(host=b'other') == ErrorKind.UNKNOWN_ROUTE


@pytest.mark.parametrize(
    ('key', 'kind'),
    [
        (None, ErrorKind.MISSING_KEY),
        (b'Basic k1', ErrorKind.MISSING_KEY),
        (b'Bearer k9', ErrorKind.UNKNOWN_KEY),
        (b'Bearer ', ErrorKind.UNKNOWN_KEY),
    ],
)
def test_keys(key, kind):
    """Guards against accepting requests without a valid key."""
    assert refused(authorization=key) == kind


def test_public_route_needs_no_key():
    """Guards against charging a public request to an account."""
    assert accepted(path=b'/p/1').account is None


def test_outdated_keys_are_not_trusted():
    """Guards against a partitioned host that accepts a withdrawn key."""
    state = make_state()
    state.view.configuration_freshness.confirmed_at = boot_time() - 4.8
    assert refused(state) == ErrorKind.UNCONFIRMED
    assert accepted(state, path=b'/p/1').account is None


def test_host_that_may_be_outdated_claims_no_unknown_route_or_key():
    """Guards against 404 or 401 for what a newer version allows."""
    state = make_state()
    state.view.configuration_freshness.confirmed_at = boot_time() - 3
    assert refused(state, path=b'/new/') == ErrorKind.UNCONFIRMED
    assert refused(state, authorization=b'Bearer k9') == ErrorKind.UNCONFIRMED


def test_no_configuration_is_not_ready():
    """Guards against 404 from a host without a configuration."""
    state = HostState.from_settings(SETTINGS, DIALECT)
    assert refused(state) == ErrorKind.NOT_READY


def test_deadline_is_the_earlier_of_callers_and_routes():
    """Guards against forwarding a later deadline than the request's own."""
    head = make_head(x_deadline_ms=b'300')
    checked = check_request(head, make_state(), RNG).ok_value
    assert checked.deadline_at == head.received_at + 0.3
    head = make_head(x_deadline_ms=b'9000')
    checked = check_request(head, make_state(), RNG).ok_value
    assert checked.deadline_at == head.received_at + 1.0


def test_home_regions_of_route_and_account_both_apply():
    """Guards against a request that runs outside its home regions."""
    assert accepted(path=b'/h/1').home_regions == {'east'}
    kind = refused(path=b'/h/1', authorization=b'Bearer k2')
    assert kind == ErrorKind.NO_UPSTREAM
    account = accepted(authorization=b'Bearer k2')
    assert account.home_regions == {'west'}


def test_object_comes_from_the_cookie():
    """Guards against requests for one object that go to different upstreams."""
    request = accepted(cookie=b'a=b; X-Object=17; c=d')
    assert request.object_key == 'reads/17'


def test_split_follows_the_weights():
    """Guards against a traffic split that does not follow its weights."""
    parts = (Destination('a', 90), Destination('b', 10))
    route = Route('s', 'h', '/s/', RouteKind.IDEMPOTENT, parts, 1, 1)
    state = make_state()
    state.apply_configuration(
        FleetConfiguration(2, {'h': (route,)}, {}, {}, requires_keys=False)
    )
    services = [accepted(state, path=b'/s/1').service for _ in range(2000)]
    assert 1700 < services.count('a') < 1900
