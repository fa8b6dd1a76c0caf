"""Each rule between two documents refuses its case and allows the way."""

import pytest

from egretmill.document import Environment
from egretmill.document.transition import (
    TRANSITION_RULES,
    transition_violations,
)
from tests.document.fakes import sample

TEXT = sample()
DRAIN = '\n[[drains]]\nkind = "site"\nname = "{0}"\n'
TB2 = '[[sites]]\nname = "tb2"\nfailure_domain = "tbilisi-b"\n'
BT1_ROUTES = TEXT[TEXT.index('[[routes]]\npath = "/documents"') :]
DOCUMENTS_ROUTE = BT1_ROUTES[: BT1_ROUTES.index('[[routes]]\npath = "/notices')]
DOC_INTAKE = '[[services]]\nname = "doc-intake"\nsites = ["tb2", "bt1"]\n'
SOUTH = TEXT[TEXT.index('[[accounts]]\nname = "ward-south"') :]
SOUTH = SOUTH[: SOUTH.index('[shift]')]


def replaced(text: str, *pairs: tuple[str, str]) -> str:
    """Return a text with passages replaced."""
    for old, new in pairs:
        assert old in text, old
        text = text.replace(old, new)
    return text


def violations(before: str, after: str) -> list[tuple[str, str, str]]:
    """Return the violations of two valid texts."""
    old = Environment.from_bytes(before.encode()).unwrap().document
    new = Environment.from_bytes(after.encode()).unwrap().document
    return list(transition_violations(old, new))


WITHOUT_TB2 = replaced(
    TEXT,
    (TB2, ''),
    ('["tb1", "tb2", "bt1"]', '["tb1", "bt1"]'),
    ('["tb2", "bt1"]', '["bt1"]'),
)
WITHOUT_INTAKE = replaced(TEXT, (DOC_INTAKE, ''), (DOCUMENTS_ROUTE, ''))
MOVED_KEY = replaced(
    TEXT,
    (SOUTH, SOUTH.replace('ward-south', 'ward-west')),
)
SLOTS = 'tbilisi-a: 2, tbilisi-b: 1, batumi-a: 1'

#: Document in force, next document, violations.
CASES = [
    pytest.param(
        TEXT,
        replaced(TEXT, ('share_slots = 2', 'share_slots = 3')),
        [
            (
                '$.failure_domains',
                'tbilisi-a: 3, tbilisi-b: 1, batumi-a: 1',
                f'share slots and their order must stay {SLOTS}',
            ),
        ],
        id='slots changed',
    ),
    pytest.param(
        TEXT,
        replaced(
            TEXT,
            ('"tbilisi-a"', '"swapped"'),
            ('"tbilisi-b"', '"tbilisi-a"'),
            ('"swapped"', '"tbilisi-b"'),
            ('share_slots = 2', 'share_slots = 9'),
            ('share_slots = 1', 'share_slots = 2'),
            ('share_slots = 9', 'share_slots = 1'),
        )
        + DRAIN.format('bt1'),
        [
            (
                '$.failure_domains',
                'tbilisi-b: 1, tbilisi-a: 2, batumi-a: 2',
                f'share slots and their order must stay {SLOTS}',
            ),
            (
                '$.sites[0].failure_domain',
                'tbilisi-b',
                'moved without a drain before',
            ),
            (
                '$.sites[1].failure_domain',
                'tbilisi-a',
                'moved without a drain before',
            ),
        ],
        id='slots and sites swapped',
    ),
    pytest.param(
        TEXT,
        WITHOUT_TB2,
        [
            ('$.sites', 'tb2', 'removed without a drain before'),
            (
                '$.services[0].sites',
                'tb2',
                'rota-board leaves the site without a drain before',
            ),
            (
                '$.services[2].sites',
                'tb2',
                'doc-intake leaves the site without a drain before',
            ),
        ],
        id='site removed',
    ),
    pytest.param(
        TEXT,
        replaced(
            TEXT,
            (
                'name = "batumi-a"\nregion = "batumi"',
                'name = "batumi-a"\nregion = "tbilisi"',
            ),
        ),
        [
            (
                '$.failure_domains[2].region',
                'tbilisi',
                'moved while its sites are not drained',
            ),
        ],
        id='domain moved',
    ),
    pytest.param(
        TEXT,
        WITHOUT_INTAKE,
        [
            (
                '$.services',
                'doc-intake',
                'removed while routes lead to it; remove the routes before',
            ),
        ],
        id='service removed',
    ),
    pytest.param(
        TEXT,
        MOVED_KEY,
        [
            (
                f'$.accounts[1].keys[{position}].digest',
                key.digest,
                'granted to ward-south; withdraw it there before',
            )
            for position, key in enumerate(
                Environment.from_bytes(TEXT.encode())
                .unwrap()
                .accounts['ward-south']
                .keys,
            )
        ],
        id='keys moved',
    ),
    pytest.param(
        TEXT,
        replaced(
            TEXT,
            ('lease_s = 4200.0', 'lease_s = 600.0'),
            ('loan_s = 2.0', 'loan_s = 1.0'),
        ),
        [
            ('$.quota.lease_s', '600.0', 'must stay 4200.0'),
            ('$.quota.loan_s', '1.0', 'must not be below 2.0'),
        ],
        id='lease and loan shortened',
    ),
]
#: Steps that lead there in two promotions, none refused.
ALLOWED = [
    pytest.param(TEXT, TEXT, id='nothing'),
    pytest.param(TEXT, TEXT + DRAIN.format('tb2'), id='drain'),
    pytest.param(TEXT + DRAIN.format('tb2'), WITHOUT_TB2, id='drained site'),
    pytest.param(
        TEXT + DRAIN.format('bt1'),
        replaced(
            TEXT,
            (
                'name = "bt1"\nfailure_domain = "batumi-a"',
                'name = "bt1"\nfailure_domain = "tbilisi-b"',
            ),
        ),
        id='drained site moved',
    ),
    pytest.param(
        TEXT + DRAIN.format('bt1'),
        replaced(
            TEXT,
            (
                'name = "batumi-a"\nregion = "batumi"',
                'name = "batumi-a"\nregion = "tbilisi"',
            ),
        ),
        id='domain of drained site moved',
    ),
    pytest.param(TEXT, replaced(TEXT, (DOCUMENTS_ROUTE, '')), id='route'),
    pytest.param(
        replaced(TEXT, (DOCUMENTS_ROUTE, '')),
        WITHOUT_INTAKE,
        id='service without routes',
    ),
    pytest.param(TEXT, replaced(TEXT, (SOUTH, '')), id='account'),
    pytest.param(replaced(TEXT, (SOUTH, '')), MOVED_KEY, id='key later'),
    pytest.param(
        TEXT,
        replaced(TEXT, ('loan_s = 2.0', 'loan_s = 3.0')),
        id='longer loans',
    ),
    pytest.param(
        TEXT,
        replaced(
            TEXT, ('share_slots = 1\n\n[[links]]', 'share_slots = 1\n')
        ).replace(
            'regions = ["tb',
            '[[failure_domains]]\nname = "batumi-b"\n'
            'region = "batumi"\nshare_slots = 0\n[[links]]\nregions = ["tb',
        ),
        id='domain without slots',
    ),
]


@pytest.mark.parametrize(('before', 'after', 'expected'), CASES)
def test_refused(before, after, expected):
    """Guards against a change that hosts cannot carry out safely."""
    assert violations(before, after) == expected


@pytest.mark.parametrize(('before', 'after'), ALLOWED)
def test_allowed(before, after):
    """Guards against a change that no sequence of promotions reaches."""
    assert not violations(before, after)


def test_every_rule_refuses_something():
    """Guards against a rule without a test of its message."""
    broken = set()
    for case in CASES:
        before, after, _ = case.values
        old = Environment.from_bytes(before.encode()).unwrap().document
        new = Environment.from_bytes(after.encode()).unwrap().document
        broken |= {rule for rule in TRANSITION_RULES if any(rule(old, new))}
    assert broken == set(TRANSITION_RULES)
