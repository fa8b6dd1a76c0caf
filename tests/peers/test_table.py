"""Live and dead peers, and the encoding of datagrams."""

import pytest
import msgspec
from result import Err

from egretmill.peers import (
    Heartbeat,
    PeerTable,
    heartbeat_interval_s,
    decode_datagram,
    encode_datagram,
)
from egretmill.peers.table import MAX_UNLISTED_PEERS, UNLISTED_MEMORY_BYTES

#: The contract's contact time of 3 s, and 3 s more.
MAX_STALE_ENTRY_S = 6
NOW = 10.0
ADDRESS = ('10.0.0.2', 7000)


def make_heartbeat(host='b', incarnation=1, sent_at=1.0):
    """Return a heartbeat of a ready host."""
    return Heartbeat(
        host,
        incarnation,
        '10.0.0.2:80',
        'd',
        'r',
        True,
        sent_at,
        0,
        1,
        0.1,
        2,
        0.1,
        {'acct': (0.5, 0.25)},
        {'acct': 0.1},
    )


def test_heartbeat_round_trip():
    """Guards against fields that are decoded in another order."""
    assert (
        decode_datagram(encode_datagram(make_heartbeat())).ok_value
        == make_heartbeat()
    )


def test_malformed_and_unknown_datagrams_are_errors():
    """Guards against a malformed datagram that ends the program."""
    foreign = msgspec.msgpack.encode({'kind': 'foreign'})
    for datagram in (
        b'',
        b'\xc1',
        encode_datagram(make_heartbeat())[:-3],
        foreign,
    ):
        assert isinstance(decode_datagram(datagram), Err)


def test_host_without_heartbeats_is_dead():
    """Guards against a directory that names dead hosts."""
    table = PeerTable('a')
    table.apply_roster({'a': ('10.0.0.1', 7000), 'b': ADDRESS})
    assert table.live_peers(NOW) == []
    assert table.record_heartbeat(make_heartbeat(), ADDRESS, NOW)
    assert table.is_alive('b', NOW + table.timeout_s)
    assert not table.is_alive('b', NOW + table.timeout_s + 0.1)


def test_heartbeat_timeout_is_well_below_the_contact_time():
    """Guards against a large fleet that detects a dead host too late."""
    for size in (7, 32, 60, 300):
        table = PeerTable('h0')
        table.apply_roster({f'h{number}': ADDRESS for number in range(size)})
        assert table.timeout_s <= 10 * heartbeat_interval_s(size)
        assert table.timeout_s < MAX_STALE_ENTRY_S
    assert heartbeat_interval_s(7) == pytest.approx(0.25)


def test_outdated_heartbeats_are_ignored():
    """Guards against older heartbeats that overwrite newer ones.

    UDP may reorder them, and a restarted host begins a new incarnation.
    """
    table = PeerTable('a')
    assert table.record_heartbeat(make_heartbeat(sent_at=5), ADDRESS, NOW)
    assert not table.record_heartbeat(make_heartbeat(sent_at=4), ADDRESS, NOW)
    assert table.record_heartbeat(
        make_heartbeat(incarnation=2, sent_at=1), ADDRESS, NOW
    )
    assert not table.record_heartbeat(
        make_heartbeat(incarnation=1, sent_at=9), ADDRESS, NOW
    )


def test_unknown_host_is_added_by_its_heartbeat():
    """Guards against peers that stay unknown because the store is down."""
    table = PeerTable('a')
    table.record_heartbeat(make_heartbeat(), ADDRESS, NOW)
    assert table.peers['b'].address == ADDRESS


def test_own_heartbeat_adds_no_peer():
    """Guards against a host that lends to itself."""
    table = PeerTable('b')
    assert not table.record_heartbeat(make_heartbeat(), ADDRESS, NOW)


def fill_with_forged_hosts(table, count):
    """Record heartbeats of hosts that the roster does not name."""
    for number in range(count):
        heartbeat = make_heartbeat(f'forged-{number}')
        table.record_heartbeat(heartbeat, ADDRESS, NOW)


def test_number_of_hosts_outside_the_roster_is_limited():
    """Guards against a table that any sender can fill."""
    table = PeerTable('a')
    fill_with_forged_hosts(table, MAX_UNLISTED_PEERS + 10)
    assert len(table.peers) == MAX_UNLISTED_PEERS
    assert table.refused == 10


def test_host_of_the_roster_is_recorded_beside_forged_ones():
    """Guards against forged hosts that keep the fleet apart."""
    table = PeerTable('a')
    fill_with_forged_hosts(table, MAX_UNLISTED_PEERS)
    assert not table.record_heartbeat(make_heartbeat(), ADDRESS, NOW)
    table.apply_roster({'a': ADDRESS, 'b': ADDRESS})
    assert table.record_heartbeat(make_heartbeat(), ADDRESS, NOW)
    assert set(table.peers) == {'b'}
    assert table.kept_bytes == table.peers['b'].kept_bytes
    assert table.unlisted_bytes == 0


def test_long_heartbeats_are_limited_by_their_memory():
    """Guards against few hosts whose heartbeats fill the memory."""
    shortages = {f'{number}': (0.5, 0.1) for number in range(2000)}
    heartbeat = msgspec.structs.replace(make_heartbeat(), shortages=shortages)
    table = PeerTable('a')
    table.apply_roster({'a': ADDRESS, 'b': ADDRESS})
    for number in range(100):
        forged = msgspec.structs.replace(heartbeat, host=f'forged-{number}')
        table.record_heartbeat(forged, ADDRESS, NOW)
    assert table.kept_bytes <= UNLISTED_MEMORY_BYTES
    assert table.record_heartbeat(heartbeat, ADDRESS, NOW)


def test_newer_heartbeat_takes_the_room_of_the_last_one():
    """Guards against a count that grows with every heartbeat."""
    table = PeerTable('a')
    for sent_at in range(1, 100):
        heartbeat = make_heartbeat(sent_at=sent_at)
        assert table.record_heartbeat(heartbeat, ADDRESS, NOW)
    assert table.kept_bytes == table.unlisted_bytes == heartbeat.kept_bytes


def test_dead_hosts_outside_the_roster_make_room_for_others():
    """Guards against hosts that stay unknown after forged ones have ended."""
    table = PeerTable('a')
    fill_with_forged_hosts(table, MAX_UNLISTED_PEERS)
    later = NOW + table.timeout_s + 1
    assert not table.make_room(later)
    assert not table.record_heartbeat(make_heartbeat(), ADDRESS, later)
    assert len(table.make_room(later)) == MAX_UNLISTED_PEERS
    assert table.record_heartbeat(make_heartbeat(), ADDRESS, later)
    assert table.kept_bytes == table.peers['b'].kept_bytes
