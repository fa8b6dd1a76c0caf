"""Rows of the platform's tables, sound and damaged."""

import json

import pytest
from adapter.configuration import decode_configuration
from adapter.upstreams import decode_upstream
from adapter.watches import OperatorRows, WorkerRows
from result import Err

from egretmill.fleet.configuration import Destination, RouteKind
from egretmill.fleet.freshness import Freshness
from egretmill.host.state import HostState
from egretmill.host.state_updater import StateUpdater
from egretmill.tables import StoredRow
from tests.host.fakes import DIALECT, SETTINGS

CONFIGURATION = {
    'Version': '0000000c',
    'Limits': {
        'MaxHeaderBytes': 100,
        'MaxBodyBytes': 200,
        'HeaderTimeout': '3000ms',
        'IdleTimeout': '15s',
    },
    'Tenants': [
        {'Name': 't', 'ApiKeys': ['k1', 'k2'], 'Priority': 1, 'RatePerS': 5.5},
    ],
    'Listeners': [
        {
            'Host': 'H.example',
            'Rules': [
                {
                    'Name': 'short',
                    'Kind': 'safe',
                    'Match': {'PathPrefix': '/a/'},
                    'Action': {
                        'Split': [
                            {'Service': 'x', 'Weight': 90},
                            {'Service': 'y', 'Weight': 10},
                            {'Service': 'z', 'Weight': 0},
                        ],
                        'Timeout': '1200ms',
                        'MaxAttempts': 2,
                    },
                    'TargetLatency': '250ms',
                },
                {
                    'Name': 'long',
                    'Kind': 'upload',
                    'Match': {'PathPrefix': '/a/b/'},
                    'Action': {'Service': 'y', 'Timeout': '2s'},
                    'Public': True,
                },
            ],
        },
    ],
    'Clusters': [{'Name': 'x', 'ColdStart': '3s', 'ColdPerS': 13.0}],
}
WORKER = {
    'Address': '10.0.0.9:8080',
    'Info': {'Service': 'x', 'Version': 'v1', 'Zone': 'west-a', 'Slots': 6},
    'Status': {'State': 'ready', 'Sequence': 4, 'ColdRemaining': '1500ms'},
    'born': 17,
}
REGIONS = {'west-a': 'west'}


def encoded(body, **changes):
    """Return the bytes of a changed body."""
    return json.dumps({**body, **changes}).encode()


def test_configuration_is_decoded_once():
    """Guards against a field under another meaning."""
    decoded = decode_configuration(encoded(CONFIGURATION)).ok_value
    assert decoded.version == 12
    assert decoded.account_by_key['k2'].rate_per_s == pytest.approx(5.5)
    route = decoded.match('h.example', '/a/b/c')
    assert (route.name, route.kind, route.public) == (
        'long',
        RouteKind.UPLOAD,
        True,
    )
    split = decoded.match('h.example', '/a/x').destinations
    assert split == (Destination('x', 90), Destination('y', 10))
    assert decoded.services['x'].cold_start_s == 3
    assert (decoded.limits.header_s, decoded.limits.idle_s) == (3, 15)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'[]',
        b'\xff',
        encoded(CONFIGURATION, Version=12),
        encoded(CONFIGURATION, Version='xyz'),
        encoded(CONFIGURATION, Listeners={}),
        encoded(CONFIGURATION)[:-9],
    ],
)
def test_damaged_configuration_is_an_error(content):
    """Guards against a half-read configuration in force."""
    assert isinstance(decode_configuration(content), Err)


def test_worker_is_decoded():
    """Guards against a worker under a wrong service or place."""
    worker = decode_upstream('i-1', encoded(WORKER), REGIONS).ok_value
    assert (worker.service, worker.failure_domain) == ('x', 'west-a')
    assert (worker.address, worker.port) == ('10.0.0.9', 8080)
    assert (worker.incarnation, worker.beat) == (17, 4)
    assert (worker.cold_s, worker.slots) == (1.5, 6)


@pytest.mark.parametrize(
    'content',
    [
        b'\x00',
        encoded(WORKER, Address=None),
        encoded(WORKER, Address='nowhere'),
        encoded(WORKER, Info={'Service': 'x', 'Zone': 'west-a'}),
        encoded(WORKER, Info={**WORKER['Info'], 'Slots': '6'}),
        encoded(WORKER, Info={**WORKER['Info'], 'Zone': 'moon'}),
        encoded(WORKER, Status={**WORKER['Status'], 'State': 'odd'}),
        encoded(WORKER, born='then'),
    ],
)
def test_entry_of_another_writer_names_no_upstream(content):
    """Guards against requests to addresses that nobody vouches for."""
    assert isinstance(decode_upstream('i-1', content, REGIONS), Err)


def make_updates():
    """Return updates of a host that knows nothing."""
    return StateUpdater(HostState.from_settings(SETTINGS, DIALECT))


def test_operator_rows_reach_the_product():
    """Guards against an evacuation or version that is not applied."""
    updates = make_updates()
    proof = Freshness()
    rows = OperatorRows(updates, proof)
    config = StoredRow('config', encoded(CONFIGURATION), 1)
    rows.replace_rows((config, StoredRow('evacuate/west-a', b'{}', 2)))
    view = updates.state.view
    assert (view.version, view.evacuated) == (12, {'west-a'})
    rows.apply_change(StoredRow('evacuate/west-a', b'', 3, removed=True))
    assert view.evacuated == frozenset()
    older = encoded(CONFIGURATION, Version='0000000a')
    rows.apply_change(StoredRow('config', older, 4))
    rows.apply_change(StoredRow('config', b'damaged', 5))
    rows.apply_change(StoredRow('unknown', b'', 6))
    assert view.version == 12
    rows.confirm_current(3.0)
    assert proof.confirmed_at == pytest.approx(3.0)


def test_damaged_entry_takes_its_worker_out_and_leaves_the_others():
    """Guards against one foreign row that empties the list."""
    updates = make_updates()
    rows = WorkerRows(updates, Freshness(), REGIONS, lambda: -1.0)
    rows.replace_rows(
        (
            StoredRow('i-1', encoded(WORKER), 1),
            StoredRow('i-2', encoded(WORKER), 2),
        ),
    )
    rows.apply_change(StoredRow('i-1', b'\x00', 3))
    names = updates.state.view.upstreams.by_name.keys()
    assert names == {'i-2'}
    rows.replace_rows(())
    assert not updates.state.view.upstreams.by_name
