"""Headers of the platform's protocol."""

import logging

import pytest
from adapter.dialect import (
    DIALECT,
    decode_leaving,
    decode_pause,
    decode_rate,
)

from egretmill.host.attempt_result import (
    parse_leaving,
    parse_pause,
    parse_stated_rate,
)
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


@pytest.mark.parametrize(
    ('text', 'pause_s'),
    [
        (b'2', 2),
        (b'0.25', 0.25),
        (b' 1.5 ', 1.5),
        (b'0', 0),
        (b'9' * 400, float('inf')),
    ],
)
def test_pause_is_a_decimal_number_of_seconds(text, pause_s):
    """Guards against a pause that is not understood."""
    assert decode_pause(text) == pause_s


@pytest.mark.parametrize(
    'text',
    [b'', b'-1', b'nan', b'1e3', b'soon', b'Sat, 05 Dec 2026 07:00:00 GMT'],
)
def test_malformed_pause_is_logged_and_not_used(text, caplog):
    """Guards against a damaged header or a date that becomes a pause."""
    with caplog.at_level(logging.WARNING):
        assert decode_pause(text) is None
    assert 'header_malformed' in caplog.text


@pytest.mark.parametrize(
    ('text', 'is_leaving', 'is_logged'),
    [
        (b'1', True, False),
        (b' 1 ', True, False),
        (b'0', False, False),
        (b'', False, True),
        (b'yes', False, True),
        (b'11', False, True),
    ],
)
def test_leaving_is_said_by_one_value(text, is_leaving, is_logged, caplog):
    """Guards against an upstream that is left for a damaged header."""
    with caplog.at_level(logging.WARNING):
        assert decode_leaving(text) is is_leaving
    assert ('header_malformed' in caplog.text) is is_logged


@pytest.mark.parametrize(
    ('response', 'is_leaving', 'pause_s'),
    [
        (make_response(Server_Leaving=b'1'), True, 0),
        (make_response(500, Server_Leaving=b'1'), True, 0),
        (make_response(503, Server_Leaving=b'1', Retry_After=b'2'), True, 2),
        (make_response(503, Retry_After=b'2'), False, 2),
        (make_response(429, Retry_After=b'2'), False, 0),
        (make_response(200, Retry_After=b'2'), False, 0),
        (make_response(421, Server_Leaving=b'1', Retry_After=b'2'), False, 0),
        (make_response(), False, 0),
    ],
)
def test_answers_that_say_something_of_their_upstream(
    response, is_leaving, pause_s
):
    """Guards against a word that is missed, or taken from another upstream."""
    assert parse_leaving(response, DIALECT) is is_leaving
    assert parse_pause(response, DIALECT) == pause_s
