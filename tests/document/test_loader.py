"""The loader reports every broken rule and survives any input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretmill.accounts import digest_of
from egretmill.document import Document, Environment
from egretmill.document.rules import RULES
from egretmill.settings import HostSettings, Problem, decode_toml
from tests.document.fakes import edited, sample

FIXED = settings(derandomize=True, max_examples=150, deadline=None)
TEXT = sample()

#: Replaced passage, replacement, and the problem as operators see it.
CASES = [
    (
        'name = "batumi"\n',
        'name = "tbilisi"\n',
        '$.regions[1].name = tbilisi: names must be unique',
    ),
    (
        'name = "tbilisi-b"\nregion = "tbilisi"',
        'name = "tbilisi-b"\nregion = "rustavi"',
        '$.failure_domains[1].region = rustavi: no such region',
    ),
    (
        'failure_domain = "batumi-a"',
        'failure_domain = "batumi-z"',
        '$.sites[2].failure_domain = batumi-z: no such failure domain',
    ),
    (
        'sites = ["tb2", "bt1"]',
        'sites = ["tb2", "bt9"]',
        '$.services[2].sites[1] = bt9: no such site',
    ),
    (
        'sites = ["tb2", "bt1"]',
        'sites = ["tb2", "tb2"]',
        '$.services[2].sites[1] = tb2: named twice',
    ),
    (
        'sites = ["tb2", "bt1"]',
        'sites = []',
        '$.services[2].sites = []: Expected `array` of length >= 1',
    ),
    (
        'service = "swap-ledger"',
        'service = "swaps"',
        '$.routes[1].service = swaps: no such service',
    ),
    (
        'path = "/notices"',
        'path = "/rota/"',
        '$.routes[3].path = GET /rota/: routed twice',
    ),
    (
        'path = "/notices"',
        'path = "/rota/../swaps"',
        '$.routes[3].path = /rota/../swaps: '
        'must not contain empty segments, "." or ".."',
    ),
    (
        'regions = ["tbilisi", "batumi"]',
        'regions = ["tbilisi", "tbilisi"]',
        '$.links[0].regions = tbilisi, tbilisi: regions must differ',
    ),
    (
        'regions = ["tbilisi", "batumi"]',
        'regions = ["tbilisi", "rustavi"]',
        '$.links[0].regions = tbilisi, rustavi: no such region',
    ),
    (
        '[[links]]\n',
        '[[links]]\nregions = ["batumi", "tbilisi"]\nmegabits_per_s = 1\n'
        '[[links]]\n',
        '$.links[1].regions = tbilisi, batumi: linked twice',
    ),
    (
        '[shift]',
        '[[drains]]\nkind = "site"\nname = "tb9"\n[shift]',
        '$.drains[0].name = tb9: no such site',
    ),
    (
        '[shift]',
        '[[drains]]\nkind = "host"\nname = "eh-1"\n'
        '[[drains]]\nkind = "host"\nname = "eh-1"\n[shift]',
        '$.drains[1].name = host eh-1: drained twice',
    ),
    (
        'lease_s = 4200.0',
        'lease_s = 2.0',
        '$.quota.loan_s = 2.0: must be below quota.lease_s, 2.0',
    ),
    (
        'burst = 60',
        'burst = 0',
        '$.accounts[0].burst = 0: Expected `int` >= 1',
    ),
    (
        'burst = 60',
        'burst = 6.5',
        '$.accounts[0].burst = 6.5: Expected `int`, got `float`',
    ),
    (
        'rate_per_s = 120.0',
        'rate_per_s = nan',
        '$.accounts[0].rate_per_s = nan: Expected `float` > 0.0',
    ),
    (
        'rate_per_s = 120.0',
        'rate = 120.0',
        '$.accounts[0].rate_per_s = (missing): this field is required',
    ),
    (
        'rate_per_s = 120.0',
        'rate_per_s = 120.0\nrate = 1',
        '$.accounts[0].rate = 1: no such field; '
        'has burst, keys, name, rate_per_s',
    ),
    (
        'methods = ["PUT"]',
        'methods = ["PATCH"]',
        "$.routes[2].methods[0] = 'PATCH': Invalid enum value 'PATCH'",
    ),
    (
        'methods = ["PUT"]',
        'methods = []',
        '$.routes[2].methods = []: Expected `array` of length >= 1',
    ),
    (
        'name = "ward-north"',
        'name = "Ward North"',
        "$.accounts[0].name = 'Ward North': Expected `str` matching regex "
        r"'^[a-z0-9][a-z0-9-]{0,62}\\Z'",
    ),
    (
        'name = "ward-north"',
        r'name = "ward-north\n"',
        r"$.accounts[0].name = 'ward-north\n': Expected `str` matching regex "
        r"'^[a-z0-9][a-z0-9-]{0,62}\\Z'",
    ),
]


def problems_of(body: bytes) -> list[str]:
    """Return the problems of a document as operators see them."""
    loaded = Environment.from_bytes(body, 'environment.toml')
    return [str(problem) for problem in loaded.err() or []]


@pytest.mark.parametrize(('old', 'new', 'expected'), CASES)
def test_broken_rule_is_named(old, new, expected):
    """Guards against a rule that is not applied or not explained."""
    assert f'environment.toml: {expected}' in problems_of(edited(old, new))


def digests() -> list[str]:
    """Return the digests in the example."""
    environment = Environment.from_bytes(TEXT.encode()).unwrap()
    return list(environment.account_by_digest)


def granted_twice() -> bytes:
    """Return a document in which two accounts hold one key."""
    return edited(digests()[1], digests()[0])


def digest_of_nothing() -> bytes:
    """Return a document with the digest of an empty key."""
    return edited(digests()[0], digest_of(''))


def without_slots() -> bytes:
    """Return a document without share slots."""
    text = TEXT.replace('share_slots = 2', 'share_slots = 0')
    return text.replace('share_slots = 1', 'share_slots = 0').encode()


def test_digest_is_granted_once():
    """Guards against a key that two client accounts hold."""
    assert problems_of(granted_twice()) == [
        f'environment.toml: $.accounts[1].keys[0].digest = {digests()[0]}: '
        'digest granted twice',
    ]


def test_digest_of_nothing_is_refused():
    """Guards against an empty input of ``egretmill key digest``."""
    assert problems_of(digest_of_nothing()) == [
        f'environment.toml: $.accounts[0].keys[0].digest = {digest_of("")}: '
        'this is the digest of an empty key',
    ]


def test_share_slots_are_needed():
    """Guards against a fleet in which nobody owns a share."""
    assert problems_of(without_slots()) == [
        'environment.toml: $.failure_domains = 0: '
        'at least one share slot is needed',
    ]


def test_every_rule_has_a_case():
    """Guards against a rule without a test of its message."""
    bodies = [edited(old, new) for old, new, _ in CASES]
    bodies += [granted_twice(), digest_of_nothing(), without_slots()]
    broken = set()
    for body in bodies:
        decoded = decode_toml(body, Document, 'case')
        if isinstance(decoded, Ok):
            broken |= {rule for rule in RULES if any(rule(decoded.ok_value))}
    assert broken == set(RULES)


def test_pasted_key_is_not_printed():
    """Guards against a message that shows an API key."""
    body = edited(digests()[0], 'egk_secret-of-ward-north')
    problems = problems_of(body)
    assert len(problems) == 1
    assert "= 'egk_***'" in problems[0]
    assert 'secret' not in problems[0]


def test_all_problems_are_reported_at_once():
    """Guards against one repair per run of the check."""
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
    """Decode as both models; anything but Ok or problems fails."""
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


LEAVES = st.one_of(
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
            LEAVES,
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
