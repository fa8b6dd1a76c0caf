"""Hosts that are heard, and hosts that are not."""

import pytest
import msgspec
from result import Err

from egretmill.peers import (
    Beat,
    PeerTable,
    beat_interval_s,
    decode_datagram,
    encode_datagram,
)

#: The contract's contact time of 3 s, and 3 s more.
STALE_NAMES_S = 6
NOW = 10.0
ADDRESS = ('10.0.0.2', 7000)


def beat(host='b', incarnation=1, sent_at=1.0):
    """Return a beat of a ready host."""
    return Beat(
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


def test_beat_survives_the_wire():
    """Guards against fields that are read in another order."""
    assert decode_datagram(encode_datagram(beat())).ok_value == beat()


def test_damaged_and_foreign_datagrams_are_errors():
    """Guards against a datagram that ends the program."""
    foreign = msgspec.msgpack.encode({'kind': 'foreign'})
    for datagram in (b'', b'\xc1', encode_datagram(beat())[:-3], foreign):
        assert isinstance(decode_datagram(datagram), Err)


def test_silent_host_counts_as_gone():
    """Guards against a directory that names dead hosts."""
    table = PeerTable('a')
    table.apply({'a': ('10.0.0.1', 7000), 'b': ADDRESS})
    assert table.alive(NOW) == []
    assert table.hear(beat(), ADDRESS, NOW)
    assert table.is_alive('b', NOW + table.silence_s)
    assert not table.is_alive('b', NOW + table.silence_s + 0.1)


def test_silence_is_well_below_the_time_that_names_may_be_stale():
    """Guards against a large fleet that notices a death too late."""
    for size in (7, 32, 60, 300):
        table = PeerTable('h0')
        table.apply({f'h{number}': ADDRESS for number in range(size)})
        assert table.silence_s <= 10 * beat_interval_s(size)
        assert table.silence_s < STALE_NAMES_S
    assert beat_interval_s(7) == pytest.approx(0.25)


def test_beats_out_of_order_and_of_former_runs_are_dropped():
    """Guards against state that goes back."""
    table = PeerTable('a')
    assert table.hear(beat(sent_at=5), ADDRESS, NOW)
    assert not table.hear(beat(sent_at=4), ADDRESS, NOW)
    assert table.hear(beat(incarnation=2, sent_at=1), ADDRESS, NOW)
    assert not table.hear(beat(incarnation=1, sent_at=9), ADDRESS, NOW)


def test_unknown_host_is_learned_from_its_beat():
    """Guards against hosts that join while the store is away."""
    table = PeerTable('a')
    table.hear(beat(), ADDRESS, NOW)
    assert table.peers['b'].address == ADDRESS


def test_own_beat_is_no_peer():
    """Guards against a host that lends to itself."""
    table = PeerTable('b')
    assert not table.hear(beat(), ADDRESS, NOW)
