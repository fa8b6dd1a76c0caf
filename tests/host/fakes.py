"""Test data: a host without a platform, its configuration and upstreams."""

import dataclasses

from egretmill.fleet.configuration import (
    ClientAccount,
    Destination,
    FleetConfiguration,
    Route,
    RouteKind,
    Service,
)
from egretmill.fleet.freshness import boot_time
from egretmill.fleet.upstreams import Upstream, UpstreamState
from egretmill.host.dialect import Dialect
from egretmill.host.settings import Bounds, Endpoint, HostSettings
from egretmill.host.state import HostState
from egretmill.http1 import RequestHead

DIALECT = Dialect(
    b'x-request-id',
    b'x-deadline-ms',
    b'x-object',
    b'x-signature',
    b'x-account',
    b'x-target',
    b'x-load',
    b'x-rate-limit',
    float,
    b'x-not-run',
    b'x-leaving',
    b'1'.__eq__,
    b'retry-after',
    float,
)
LOCAL = Endpoint('127.0.0.1', 0)
SETTINGS = HostSettings(
    'h1',
    '127.0.0.1',
    'west-a',
    'west',
    {'west-a': 'west', 'east-a': 'east'},
    LOCAL,
    LOCAL,
    LOCAL,
    LOCAL,
    0,
    Bounds(retry_fraction=0.2, retry_allowance=50),
)
READS = Route(
    'reads',
    'h',
    '/r/',
    RouteKind.IDEMPOTENT,
    (Destination('svc'),),
    1.0,
    0.2,
    2,
)
ONCE = dataclasses.replace(
    READS,
    name='once',
    prefix='/o/',
    kind=RouteKind.ONCE,
)
PUBLIC = dataclasses.replace(READS, name='public', prefix='/p/', public=True)
NESTED = dataclasses.replace(READS, name='nested', prefix='/r/deep/')
HOMED = dataclasses.replace(
    READS,
    name='homed',
    prefix='/h/',
    home_regions=frozenset(('east',)),
)
ROUTES = (NESTED, READS, ONCE, PUBLIC, HOMED)
KEY = b'Bearer k1'


def configuration(version=1, **changes):
    """Return a configuration with one service."""
    accounts = {
        'k1': ClientAccount('acct'),
        'k2': ClientAccount('far', home_regions=frozenset(('west',))),
    }
    services = {'svc': Service('svc', cold_start_s=3, cold_per_s=13)}
    return FleetConfiguration(
        version,
        {'h': changes.get('routes', ROUTES)},
        changes.get('accounts', accounts),
        services,
    )


def upstream(name='u1', port=1, **changes):
    """Return an upstream of the service on this machine."""
    record = Upstream(
        name,
        1,
        'svc',
        '127.0.0.1',
        port,
        'west-a',
        'west',
        4,
        UpstreamState.READY,
    )
    return dataclasses.replace(record, **changes)


def make_state(*upstreams, **changes):
    """Return the state of a host that is ready to serve."""
    state = HostState.from_settings(SETTINGS, DIALECT)
    now = boot_time()
    state.share.record_joined(now - 60, 0)
    state.share.apply_roster(('h1',), now, now)
    state.update_retry_allowance()
    state.apply_configuration(configuration(**changes))
    state.view.configuration_freshness.confirm(now)
    for record in upstreams:
        state.view.put_upstream(record)
    return state


def make_head(path=b'/r/1', method=b'GET', **fields):
    """Return a request head with an API key and an identifier."""
    head = RequestHead(method, path, received_at=boot_time())
    names = {
        'host': b'h',
        'authorization': KEY,
        'x_request_id': b'id1',
        'x_deadline_ms': b'800',
        **fields,
    }
    for name, text in names.items():
        if text is not None:
            head.add_header(name.replace('_', '-').encode(), text)
    return head
