"""Host settings: every broken rule is reported with file, path and value."""

import pathlib

import pytest
from result import Err

from egretmill.settings import decode_settings, load_settings

EXAMPLE = pathlib.Path(__file__).parents[2] / 'docs/examples/host.toml'


def problems_of(old: str, new: str) -> list[str]:
    """Return the problems of the example with one passage replaced."""
    text = EXAMPLE.read_text()
    assert text.count(old) == 1, old
    decoded = decode_settings(text.replace(old, new).encode(), 'host.toml')
    return [str(problem) for problem in decoded.err() or []]


def test_example_is_valid():
    """Guards against documentation that the programs refuse."""
    settings = load_settings(EXAMPLE).unwrap()
    assert settings.ports.operations == 8092


def test_missing_file_is_a_problem():
    """Guards against an exception for a wrong file name."""
    loaded = load_settings(EXAMPLE / 'absent')
    assert isinstance(loaded, Err)
    assert str(loaded.err_value[0]).endswith('Not a directory')


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        (
            'address = "10.0.0.1"',
            'address = "entry-1.example"',
            '$.address = entry-1.example: must be an IP address',
        ),
        (
            'address = "10.0.0.1"',
            'address = "0.0.0.0"',
            '$.address = 0.0.0.0: must be the address of this host',
        ),
        (
            'operations = 8092',
            'operations = 8080',
            '$.ports.operations = 8080: also used by entry',
        ),
        (
            'operations = 8092',
            'operations = 0',
            '$.ports.operations = 0: Expected `int` >= 1',
        ),
        (
            'drain_s = 6.0',
            'drain_s = 60.0',
            '$.timing.shutdown_limit_s = 60.0: '
            'must be above timing.drain_s, 60.0',
        ),
        (
            'timeout_s = 0.5',
            'timeout = 0.5',
            '$.platform.timeout = 0.5: no such field; has timeout_s, url',
        ),
        (
            'level = "INFO"',
            'level = "info"',
            "$.log.level = 'info': Invalid enum value 'info'",
        ),
        (
            'url = "http://10.0.0.100:9000"',
            '',
            '$.platform.url = (missing): this field is required',
        ),
    ],
)
def test_broken_rule_is_named(old, new, expected):
    """Guards against a rule that is not applied or not explained."""
    assert problems_of(old, new) == [f'host.toml: {expected}']


def test_token_itself_is_refused():
    """Guards against a token in the settings instead of its digest."""
    problems = problems_of('token_digest = "sha256:', 'token_digest = "')
    assert problems[0].startswith('host.toml: $.operations_token_digest')
