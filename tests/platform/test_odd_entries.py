"""Rows, messages and headers that another writer got wrong."""

import json
import random

import msgspec
import pytest
from adapter.configuration import decode_configuration
from adapter.store_messages import BodyDecoder, PageBody, VersionBody
from result import Err

from egretmill.host.attempt_result import parse_load_report
from egretmill.host.request_check import check_request
from egretmill.host.roster_table import RosterTable
from egretmill.http1 import Response
from egretmill.http1.client import keep_alive_s
from egretmill.peers import decode_datagram
from egretmill.peers.copies import decode_copy
from egretmill.peers.datagrams import Heartbeat, encode_datagram
from egretmill.tables import Snapshot, StoredRow, StoreProblem
from tests.host.fakes import make_head, make_state
from tests.platform.test_rows import CONFIGURATION, UPSTREAM, encode
from tests.platform.test_watches import Host, put

DEPTH = 100_000
NESTED = b'[' * DEPTH + b']' * DEPTH
NESTED_MSGPACK = b'\x91' * DEPTH + b'\xc0'
#: More digits than Python converts to an integer.
MANY_DIGITS = b'9' * 5000


def nested(body):
    """Return a JSON object with one deeply nested field more."""
    return json.dumps(body).encode()[:-1] + b',"x":' + NESTED + b'}'


def status(**changes):
    """Return the registration of an upstream with an odd status."""
    return encode(UPSTREAM, Status={**UPSTREAM['Status'], **changes})


ODD_UPSTREAMS = {
    'nested': nested(UPSTREAM),
    'sequence too large': status(Sequence=10**30),
    'start too large': encode(UPSTREAM, born=10**100),
    'slots too large': encode(
        UPSTREAM, Info={**UPSTREAM['Info'], 'Slots': 10**19}
    ),
    'cold for ever': status(ColdRemaining='9' * 400 + 's'),
    'port too large': encode(UPSTREAM, Address='10.0.0.9:99999'),
    'port zero': encode(UPSTREAM, Address='10.0.0.9:0'),
    'port negative': encode(UPSTREAM, Address='10.0.0.9:-1'),
    'port of many digits': encode(
        UPSTREAM, Address=f'10.0.0.9:{MANY_DIGITS.decode()}'
    ),
    'host name': encode(UPSTREAM, Address='upstream.example:80'),
    'other protocol': encode(UPSTREAM, Address='::1:80'),
}


@pytest.mark.parametrize('odd', ODD_UPSTREAMS.values(), ids=ODD_UPSTREAMS)
def test_odd_registration_stops_neither_the_reader_nor_its_peers(odd):
    """Guards against a reader that ends or stops at an entry again and again.

    Also against an upstream that no connection can be opened to.
    """
    reader, follower = Host(), Host()
    for host in (reader, follower):
        host.read_whole(50)
    reader.read_changes(
        54, put(51), put(52, odd, name='odd'), put(53, name='i-3')
    )
    follower.receive_from(reader)
    assert reader.names() == follower.names() == ['i-1', 'i-3']
    reader.read_whole(55, put(52, odd, name='odd'), put(53, name='i-3'))
    assert reader.names() == ['i-3']


ODD_CONFIGURATIONS = {
    'nested': nested(CONFIGURATION),
    'version too large': encode(CONFIGURATION, Version='f' * 5000),
    'version negative': encode(CONFIGURATION, Version='-0000001'),
    'rate too large': encode(CONFIGURATION).replace(b'5.5', b'1e300'),
    'timeout too large': encode(CONFIGURATION).replace(
        b'1200ms', MANY_DIGITS + b's'
    ),
    'attempts negative': encode(CONFIGURATION).replace(
        b'"MaxAttempts": 2', b'"MaxAttempts": -5'
    ),
    'limit negative': encode(CONFIGURATION).replace(
        b'"MaxBodyBytes": 200', b'"MaxBodyBytes": -200'
    ),
}


@pytest.mark.parametrize(
    'odd', ODD_CONFIGURATIONS.values(), ids=ODD_CONFIGURATIONS
)
def test_odd_configuration_is_an_error(odd):
    """Guards against an exception, and a configuration without sense."""
    assert isinstance(decode_configuration(odd), Err)


ENTRY = {'address': '10.0.0.2', 'port': 7000}
ODD_ROSTER_ENTRIES = {
    'nested': nested(ENTRY),
    'port too large': encode(ENTRY, port=70000),
    'port zero': encode(ENTRY, port=0),
    'host name': encode(ENTRY, address='host.example'),
    'capacity negative': encode(ENTRY, capacity_per_s=-1),
    'capacity too large': encode(ENTRY, capacity_per_s=1e300),
}


@pytest.mark.parametrize(
    'odd', ODD_ROSTER_ENTRIES.values(), ids=ODD_ROSTER_ENTRIES
)
def test_odd_roster_entry_names_no_host(odd):
    """Guards against a host that can send no heartbeats any more."""
    table = RosterTable(make_state())
    rows = (StoredRow('h2', odd, 1), StoredRow('h3', encode(ENTRY), 2))
    table.replace_rows(Snapshot(rows, 2))
    table.confirm_current(1.0)
    assert table.rows.keys() == {'h3'}


@pytest.mark.parametrize(
    ('model', 'body'),
    [
        (PageBody, nested({'Ver': 3, 'Rows': []})),
        (PageBody, encode({'Ver': 10**30, 'Rows': []})),
        (PageBody, encode({'Ver': -1, 'Rows': []})),
        (PageBody, encode({'Ver': 3, 'Rows': [{'Key': 'a', 'Ver': 10**30}]})),
        (VersionBody, nested({'Ver': 3})),
    ],
)
def test_odd_answer_of_the_store_is_a_failed_call(model, body):
    """Guards against a watch that ends at an answer."""
    decoded = BodyDecoder(model).decode(Response(200, body=body))
    assert decoded.err_value.problem is StoreProblem.MALFORMED


@pytest.mark.parametrize('tail', [NESTED_MSGPACK, b'\xc1', b'\xdf', b''])
def test_odd_message_of_a_peer_is_an_error(tail):
    """Guards against an exception in the handler of messages."""
    message = msgspec.msgpack.encode(['news', 'h2', 1, [], [], 0])
    assert isinstance(decode_datagram(message[:-1] + tail), Err)
    copy = msgspec.msgpack.encode([1, 0.5, [], 0])
    assert isinstance(decode_copy(copy[:-1] + tail), Err)


def test_heartbeat_with_a_value_that_is_no_number_is_an_error():
    """Guards against shares and ages that compare with nothing."""
    heartbeat = Heartbeat('h2', 1, '', '', '', True, 1, 1, 0, 0, 0, 0)
    values = {
        name: getattr(heartbeat, name) for name in heartbeat.__struct_fields__
    }
    for changes in (
        {'sent_at': float('nan')},
        {'loans': {'a': float('nan')}},
        {'shortages': {'a': (0.5, float('nan'))}},
    ):
        odd = Heartbeat(**{**values, **changes})
        assert isinstance(decode_datagram(encode_datagram(odd)), Err)


def test_number_of_many_digits_in_a_header_is_no_number():
    """Guards against a request that ends without an answer."""
    state = make_state()
    head = make_head(x_deadline_ms=MANY_DIGITS)
    accepted = check_request(head, state, random.Random(1)).ok_value
    route = accepted.route
    assert accepted.deadline_at == head.received_at + route.timeout_s
    assert parse_load_report(b'1,2,' + MANY_DIGITS) is None


def test_watch_of_the_upstreams_follows_on_after_an_odd_entry():
    """Guards against changes that are missed after an odd one."""
    host = Host()
    host.read_whole(50, put(49, ODD_UPSTREAMS['nested'], name='odd'), put(50))
    host.read_changes(51, put(51, name='odd'))
    assert host.names() == ['i-1', 'odd']
    assert host.watch.version == 51


@pytest.mark.parametrize(
    'text', [b'timeout=\xb2', b'timeout=' + MANY_DIGITS, b'timeout', b'=,,=']
)
def test_odd_keep_alive_of_an_upstream_is_ignored(text):
    """Guards against an answer that is lost for a header beside it."""
    response = Response(200)
    response.add_header(b'Keep-Alive', text)
    assert keep_alive_s(response) is None
