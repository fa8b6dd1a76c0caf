"""Tests that host settings report each violation with file, path, value."""

import pathlib

import pytest
from result import Err

from egretmill.settings import decode_settings, load_settings
from tests.document.fakes import edited_by, load_cases

EXAMPLE = pathlib.Path(__file__).parents[2] / 'docs/examples/host.toml'


def problems_of(edits) -> list[str]:
    """Return the problems of the example after text replacements."""
    decoded = decode_settings(edited_by(edits, EXAMPLE), 'host.toml')
    return [str(problem) for problem in decoded.err() or []]


def test_example_is_valid():
    """Guards against a documented example that the programs reject."""
    settings = load_settings(EXAMPLE).unwrap()
    assert settings.ports.operations == 8092


def test_missing_file_is_a_problem():
    """Guards against an exception for a wrong file name."""
    loaded = load_settings(EXAMPLE / 'absent')
    assert isinstance(loaded, Err)
    assert str(loaded.err_value[0]).endswith('Not a directory')


@pytest.mark.parametrize(
    'case',
    load_cases('settings/cases.toml'),
    ids=lambda case: case['problem'],
)
def test_broken_rule_is_named(case):
    """Guards against a rule that is not applied or not explained."""
    assert problems_of(case['edits']) == [f'host.toml: {case["problem"]}']


def test_token_itself_is_refused():
    """Guards against settings that hold a token instead of its digest."""
    problems = problems_of([('token_digest = "sha256:', 'token_digest = "')])
    assert problems[0].startswith('host.toml: $.operations_token_digest')
