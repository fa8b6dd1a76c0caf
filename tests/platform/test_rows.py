"""Decoding and applying rows of the platform's tables."""

import json

import pytest
from adapter.configuration import decode_configuration
from adapter.upstreams import decode_upstream
from adapter.watches import OperatorTableListener, UpstreamTableListener
from result import Err

from egretmill.fleet.configuration import Destination, RouteKind
from egretmill.fleet.freshness import Freshness
from egretmill.host.state import HostState
from egretmill.host.state_updater import StateUpdater
from egretmill.tables import Changes, Snapshot, StoredRow
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
UPSTREAM = {
    'Address': '10.0.0.9:8080',
    'Info': {'Service': 'x', 'Version': 'v1', 'Zone': 'west-a', 'Slots': 6},
    'Status': {'State': 'ready', 'Sequence': 4, 'ColdRemaining': '1500ms'},
    'born': 17,
}
REGIONS = {'west-a': 'west'}


def encode(body, **changes):
    """Return a body as JSON, with changed fields."""
    return json.dumps({**body, **changes}).encode()


def registration(content):
    """Return the row of an upstream."""
    return StoredRow('i-1', content, 3)


def changes(row):
    """Return an answer with one changed row."""
    return Changes((row,), row.version)


def test_configuration_is_decoded():
    """Guards against decoding a field into the wrong place or unit."""
    decoded = decode_configuration(encode(CONFIGURATION)).ok_value
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


def test_keys_are_required_once_the_last_account_has_left():
    """Guards against withdrawing the last key, which would admit all callers.

    Only a configuration without the field requires no keys.
    """
    emptied = decode_configuration(encode(CONFIGURATION, Tenants=[])).ok_value
    assert (emptied.requires_keys, emptied.account_by_key) == (True, {})
    without = {**CONFIGURATION}
    del without['Tenants']
    assert not decode_configuration(encode(without)).ok_value.requires_keys


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'[]',
        b'\xff',
        encode(CONFIGURATION, Version=12),
        encode(CONFIGURATION, Version='xyz'),
        encode(CONFIGURATION, Listeners={}),
        encode(CONFIGURATION, Tenants=None),
        encode(CONFIGURATION)[:-9],
    ],
)
def test_invalid_configuration_is_an_error(content):
    """Guards against applying a configuration that is partly decoded."""
    assert isinstance(decode_configuration(content), Err)


def test_upstream_is_decoded():
    """Guards against an upstream with a wrong service, domain or address."""
    upstream = decode_upstream(registration(encode(UPSTREAM)), REGIONS).ok_value
    assert (upstream.service, upstream.failure_domain) == ('x', 'west-a')
    assert (upstream.address, upstream.port) == ('10.0.0.9', 8080)
    assert (upstream.incarnation, upstream.beat) == (17, 4)
    assert (upstream.cold_s, upstream.slots) == (1.5, 6)


@pytest.mark.parametrize(
    'content',
    [
        b'\x00',
        encode(UPSTREAM, Address=None),
        encode(UPSTREAM, Address='nowhere'),
        encode(UPSTREAM, Info={'Service': 'x', 'Zone': 'west-a'}),
        encode(UPSTREAM, Info={**UPSTREAM['Info'], 'Slots': '6'}),
        encode(UPSTREAM, Info={**UPSTREAM['Info'], 'Zone': 'moon'}),
        encode(UPSTREAM, Status={**UPSTREAM['Status'], 'State': 'odd'}),
        encode(UPSTREAM, born='then'),
    ],
)
def test_invalid_registration_is_an_error(content):
    """Guards against requests to addresses from malformed registrations."""
    assert isinstance(decode_upstream(registration(content), REGIONS), Err)


def make_updater():
    """Return the state updater of a host with empty state."""
    return StateUpdater(HostState.from_settings(SETTINGS, DIALECT))


def test_operator_rows_are_applied():
    """Guards against an evacuation or newer version that is not applied.

    Also against an older version that replaces it or counts as confirmation:
    the store may have returned from a copy that lacks later ones.
    """
    updater = make_updater()
    freshness = Freshness()
    listener = OperatorTableListener(updater, freshness)
    config = StoredRow('config', encode(CONFIGURATION), 1)
    evacuation = StoredRow('evacuate/west-a', b'{}', 2)
    listener.replace_rows(Snapshot((config, evacuation), 2))
    view = updater.state.view
    assert (view.version, view.evacuated) == (12, {'west-a'})
    listener.apply_changes(
        changes(StoredRow('evacuate/west-a', b'', 3, removed=True))
    )
    assert view.evacuated == frozenset()
    older = encode(CONFIGURATION, Version='0000000a')
    listener.apply_changes(changes(StoredRow('config', older, 4)))
    listener.apply_changes(changes(StoredRow('unknown', b'', 6)))
    assert view.version == 12
    listener.confirm_current(3.0)
    assert freshness.confirmed_at < 0
    same = StoredRow('config', encode(CONFIGURATION), 7)
    listener.apply_changes(changes(same))
    listener.confirm_current(4.0)
    assert freshness.confirmed_at == pytest.approx(4.0)


def test_version_that_could_not_be_decoded_ends_the_confirmation():
    """Guards against serving on from a version that was replaced unnoticed."""
    updater = make_updater()
    freshness = Freshness()
    listener = OperatorTableListener(updater, freshness)
    listener.replace_rows(
        Snapshot((StoredRow('config', encode(CONFIGURATION), 1),), 1)
    )
    listener.confirm_current(1.0)
    listener.apply_changes(changes(StoredRow('config', b'damaged', 2)))
    listener.confirm_current(2.0)
    assert updater.state.view.version == 12
    assert freshness.confirmed_at == pytest.approx(1.0)
    newer = encode(CONFIGURATION, Version='0000000d')
    listener.apply_changes(changes(StoredRow('config', newer, 3)))
    listener.confirm_current(3.0)
    assert updater.state.view.version == 13
    assert freshness.confirmed_at == pytest.approx(3.0)


def test_malformed_registration_removes_only_its_upstream():
    """Guards against a malformed row that removes other upstreams as well."""
    updater = make_updater()
    listener = UpstreamTableListener(
        updater, Freshness(), REGIONS, lambda: -1.0
    )
    rows = [
        StoredRow(name, encode(UPSTREAM), version)
        for version, name in enumerate(('i-1', 'i-2'), 1)
    ]
    listener.replace_rows(Snapshot(tuple(rows), 2))
    listener.apply_changes(changes(StoredRow('i-1', b'\x00', 3)))
    names = updater.state.view.upstreams.by_name.keys()
    assert names == {'i-2'}
    listener.replace_rows(Snapshot((), 4))
    assert not updater.state.view.upstreams.by_name
