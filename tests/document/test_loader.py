"""The loader reports every violated rule and never raises on bad input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretmill.document import Document, Environment
from egretmill.document.rules import RULES
from egretmill.settings import HostSettings, Problem, decode_toml
from tests.document.fakes import edited_by, load_cases, sample

FIXED = settings(derandomize=True, max_examples=150, deadline=None)
TEXT = sample()

CASES = load_cases('document/cases/rules.toml')


def problems_of(body: bytes) -> list[str]:
    """Return the problems of a document as operators see them."""
    loaded = Environment.from_bytes(body, 'environment.toml')
    return [str(problem) for problem in loaded.err() or []]


@pytest.mark.parametrize('case', CASES, ids=lambda case: case['problem'])
def test_broken_rule_is_named(case):
    """Guards against a rule that is not applied or not explained."""
    problems = problems_of(edited_by(case['edits']))
    assert f'environment.toml: {case["problem"]}' in problems
    assert 'secret' not in ''.join(problems)


def test_every_rule_has_a_case():
    """Guards against a rule without a test of its message."""
    broken = set()
    for case in CASES:
        decoded = decode_toml(edited_by(case['edits']), Document, 'case')
        if isinstance(decoded, Ok):
            broken |= {rule for rule in RULES if any(rule(decoded.ok_value))}
    assert broken == set(RULES)


def test_all_problems_are_reported_at_once():
    """Guards against reporting only the first problem of a document."""
    body = TEXT.replace('burst = 60', 'burst = 0')
    body = body.replace('rate_per_s = 40.0', 'rate_per_s = -1')
    body = body.replace('share_slots = 2', 'share_slots = "2"')
    assert [line.split()[1] for line in problems_of(body.encode())] == [
        '$.failure_domains[0].share_slots',
        '$.accounts[0].burst',
        '$.accounts[1].rate_per_s',
    ]
    body = TEXT.replace('service = "swap-ledger"', 'service = "swaps"')
    body = body.replace('failure_domain = "batumi-a"', 'failure_domain = "x"')
    assert [line.split()[1] for line in problems_of(body.encode())] == [
        '$.sites[2].failure_domain',
        '$.routes[1].service',
    ]


@pytest.mark.parametrize(
    'body',
    [
        b'\xff\xfe',
        b'\xef\xbb\xbf[shift]',
        b'a = ' + b'[' * 100000,
        b'a = ' + b'9' * 5000,
        b'a = 0x' + b'f' * 10000,
        b'a' + b'.a' * 20000 + b' = 1',
        b'regions = 1979-05-27',
        b'shift = 07:32:00',
        b'links = [{ regions = ["a"], megabits_per_s = 1 }]',
        b'links = [{ regions = ["a", "b", "c"] }]',
        b'links = [[[1]]]',
        b'quota = { lease_s = inf, loan_s = -nan }',
        b'[quota]\nlease_s = ' + b'1' * 400,
    ],
)
def test_malformed_text_gets_problems(body):
    """Guards against an exception instead of a message."""
    loaded = Environment.from_bytes(body)
    assert isinstance(loaded, Err)
    assert all(isinstance(problem, Problem) for problem in loaded.err_value)


def outcome_is_typed(body: bytes) -> None:
    """Decode as both models; fail unless each gives a model or problems."""
    for model in (Document, HostSettings):
        match decode_toml(body, model, 'fuzzed'):
            case Ok(found):
                assert isinstance(found, model)
            case Err(problems):
                assert problems
                assert all(str(problem) for problem in problems)
    Environment.from_bytes(body)


@FIXED
@given(st.binary(max_size=200))
def test_any_bytes(body):
    """Guards against an exception on bytes that are no text."""
    outcome_is_typed(body)


@FIXED
@given(
    start=st.integers(0, len(TEXT)),
    length=st.integers(0, 40),
    inserted=st.one_of(
        st.text(max_size=12),
        st.sampled_from(['[', ']', '"', "'''", '\n', '=', '[[', '{', 'nan']),
    ),
)
def test_damaged_example(start, length, inserted):
    """Guards against an exception on a text with a typing error."""
    damaged = TEXT[:start] + inserted + TEXT[start + length :]
    outcome_is_typed(damaged.encode(errors='replace'))


SCALARS = st.one_of(
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.sampled_from(['nan', '-inf', '1e400', '07:32:00', '1979-05-27', '""']),
    st.text(r'abc-\n0', max_size=6).map(lambda text: f'"{text}"'),
)
FIELDS = sorted(
    {
        'regions',
        'failure_domains',
        'sites',
        'links',
        'accounts',
        'shift',
        'quota',
        'client_blocks',
        'name',
        'keys',
        'timing',
        'ports',
    },
)


def toml_text(found) -> str:
    """Return a generated value as TOML."""
    match found:
        case dict():
            inner = (f'{name} = {toml_text(found[name])}' for name in found)
            return '{' + ', '.join(inner) + '}'
        case list():
            return '[' + ', '.join(toml_text(item) for item in found) + ']'
        case bool():
            return str(found).lower()
    return str(found)


@FIXED
@given(
    st.dictionaries(
        st.sampled_from(FIELDS),
        st.recursive(
            SCALARS,
            lambda inner: st.one_of(
                st.lists(inner, max_size=3),
                st.dictionaries(st.sampled_from(FIELDS), inner, max_size=3),
            ),
            max_leaves=8,
        ),
        max_size=6,
    ),
)
def test_any_structure(tables):
    """Guards against an exception on valid TOML of the wrong shape."""
    lines = (f'{name} = {toml_text(tables[name])}' for name in tables)
    outcome_is_typed('\n'.join(lines).encode())
