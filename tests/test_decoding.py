"""Decoders of bytes that others have written, with bytes that are odd."""

import pytest
from result import Err

from egretmill.decoding import MAX_DIGITS, parse_count, parse_ipv4
from egretmill.ledger import claims
from egretmill.membership import slots
from egretmill.wire.client import decode_reply

DEPTH = 100_000
NESTED = '[' * DEPTH + ']' * DEPTH
NESTED_MSGPACK = b'\x91' * DEPTH + b'\xc0'


@pytest.mark.parametrize('decode_row', [claims.decode_row, slots.decode_row])
@pytest.mark.parametrize('body', ['', '[]', NESTED, '{"x":' + NESTED + '}'])
def test_odd_row_of_the_store_is_an_error(decode_row, body):
    """Guards against an agent that ends at a row of the store."""
    assert isinstance(decode_row(body), Err)


@pytest.mark.parametrize('frame', [b'', b'\xc1', NESTED_MSGPACK])
def test_odd_frame_is_an_error(frame):
    """Guards against a link that ends at a frame."""
    assert isinstance(decode_reply(frame), Err)


@pytest.mark.parametrize(
    ('text', 'count'),
    [
        (b'0', 0),
        (b' 17 ', 17),
        (b'', None),
        (b'-1', None),
        (b'1.5', None),
        (b'\xb2', None),
        (b'9' * MAX_DIGITS, 10**MAX_DIGITS - 1),
        (b'9' * (MAX_DIGITS + 1), None),
        (b'9' * 5000, None),
    ],
)
def test_count_has_few_digits(text, count):
    """Guards against an exception of Python for thousands of digits."""
    assert parse_count(text) == count


@pytest.mark.parametrize('text', ['', 'host', '10.0.0', '::1', '10.0.0.256'])
def test_address_is_no_name(text):
    """Guards against look-ups of names, which block the host."""
    with pytest.raises(ValueError, match='address|octets|Octet|empty|Expected'):
        parse_ipv4(text)
