"""Headers of the platform's protocol."""

import logging

import pytest
from adapter.dialect import DIALECT, decode_rate

from egretmill.host.attempt_result import parse_stated_rate
from egretmill.http1 import Response
from egretmill.placement.stated_limit import StatedRate


def make_response(status=200, **headers):
    """Return a response; names of headers have underscores for hyphens."""
    response = Response(status)
    for name, text in headers.items():
        response.add_header(name.replace('_', '-').encode(), text)
    return response


@pytest.mark.parametrize(
    ('text', 'rate_per_s'),
    [(b'12.9', 12.9), (b'10', 10), (b' 0.5 ', 0.5), (b'0', 0)],
)
def test_rate_is_a_decimal_number(text, rate_per_s):
    """Guards against a stated limit that is not understood."""
    assert decode_rate(text) == rate_per_s


@pytest.mark.parametrize(
    'text', [b'', b'-1', b'nan', b'inf', b'1e9', b'1,5', b'10/s', b'1' * 10]
)
def test_malformed_rate_is_logged_and_not_used(text, caplog):
    """Guards against a damaged header that becomes a limit."""
    with caplog.at_level(logging.WARNING):
        assert decode_rate(text) is None
    assert 'header_malformed' in caplog.text


@pytest.mark.parametrize(
    ('response', 'rate'),
    [
        (
            make_response(
                Server_Limit=b'7.5', Egretmill_Response_Signature=b's'
            ),
            StatedRate(7.5),
        ),
        (
            make_response(
                503, Server_Limit=b'2', Egretmill_Not_Executed=b'full'
            ),
            StatedRate(2),
        ),
        (make_response(Egretmill_Response_Signature=b's'), StatedRate()),
        (make_response(503, Egretmill_Not_Executed=b'full'), None),
        (make_response(502, Server_Limit=b'2'), None),
        (
            make_response(
                421, Server_Limit=b'2', Egretmill_Not_Executed=b'other'
            ),
            None,
        ),
    ],
)
def test_limit_is_read_from_the_header_of_the_platform(response, rate):
    """Guards against a limit under a name that no upstream sends."""
    assert parse_stated_rate(response, DIALECT) == rate
