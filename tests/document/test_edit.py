"""Editing drains leaves all other bytes of the text unchanged."""

import tomllib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.document import Drain
from egretmill.document.edit import add_drain, remove_drain
from tests.document.fakes import sample

TEXT = sample()
TB1 = Drain('site', 'tb1')
TB2 = Drain('site', 'tb2')
NAMES = st.from_regex('[a-z0-9][a-z0-9-]{0,8}', fullmatch=True)
#: Ways in which operators write drains; each drains tb1.
FORMS = {
    'table': '[[drains]]\nkind = "site"\nname = "tb1"\n',
    'other order': '[[drains]]\nname = "tb1"\nkind = "site"\n',
    'comments': (
        '# before\n[[ drains ]] # why\n'
        'kind = "site" # x\nname = "tb1"\n# after\n'
    ),
    'indented': '  [[drains]]\n    kind = \'site\'\n    name = "tb1"\n',
}
INLINE = {
    'one line': 'drains = [{ kind = "site", name = "tb1" }]\n',
    'several lines': (
        'drains = [\n  # why\n  { kind = "site", name = "tb1" },\n'
        '  { name = "eh-3", kind = "host" },\n]\n'
    ),
}
DOCUMENTS = [
    *((name, f'{TEXT}\n{form}') for name, form in FORMS.items()),
    *((name, f'{form}\n{TEXT}') for name, form in INLINE.items()),
]
IDS = [name for name, _ in DOCUMENTS]
TEXTS = [text for _, text in DOCUMENTS]


def drains_of(body: bytes) -> set[tuple[str, str]]:
    """Return kind and name of all drains."""
    rows = tomllib.loads(body.decode()).get('drains', [])
    return {(row['kind'], row['name']) for row in rows}


def has_lines_in_order(text: str, part: str) -> bool:
    """Return whether a text contains all lines of a part, in order."""
    lines = iter(text.splitlines())
    return all(line in lines for line in part.splitlines())


@pytest.mark.parametrize('text', TEXTS, ids=IDS)
def test_add_to_every_form(text):
    """Guards against a drain that is lost next to existing ones."""
    before = drains_of(text.encode())
    body = add_drain(text.encode(), TB2, 'x').unwrap()
    assert drains_of(body) == before | {('site', 'tb2')}
    assert has_lines_in_order(body.decode(), TEXT)


@pytest.mark.parametrize('text', TEXTS, ids=IDS)
def test_remove_from_every_form(text):
    """Guards against a removal that deletes more than its entry."""
    before = drains_of(text.encode())
    body = remove_drain(text.encode(), TB1, 'x').unwrap()
    assert drains_of(body) == before - {('site', 'tb1')}
    assert has_lines_in_order(body.decode(), TEXT)
    assert ('# after' in text) == ('# after' in body.decode())


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.sampled_from(TEXTS), NAMES, st.booleans())
def test_undo_restores_the_bytes(text, name, windows):
    """Guards against an edit that leaves traces after its undo."""
    body = text.replace('\n', '\r\n' if windows else '\n').encode()
    drain = Drain('upstream', name)
    added = add_drain(body, drain, 'x').unwrap()
    assert added != body
    assert remove_drain(added, drain, 'x').unwrap() == body
    assert add_drain(added, drain, 'x').unwrap() == added


def test_missing_final_newline():
    """Guards against a table header appended to the last line of the text."""
    body = add_drain(TEXT.rstrip('\n').encode(), TB2, 'x').unwrap()
    assert drains_of(body) == {('site', 'tb2')}


def test_empty_inline_array():
    """Guards against invalid TOML with both a table and an inline array."""
    body = add_drain(f'drains = []\n{TEXT}'.encode(), TB2, 'x').unwrap()
    assert drains_of(body) == {('site', 'tb2')}


@pytest.mark.parametrize(
    'form',
    [
        '[[drains]]\n\nkind = "site"\nname = "tb1"\n',
        '"drains" = [{ kind = "site", name = "tb1" }]\n',
    ],
)
def test_unusual_form_is_refused(form):
    """Guards against a wrong edit of a text that is not understood."""
    text = f'{TEXT}\n{form}' if '[[' in form else f'{form}{TEXT}'
    problems = remove_drain(text.encode(), TB1, 'x').unwrap_err()
    assert [problem.rule for problem in problems] == [
        'the text has an unusual form; edit the drains by hand',
    ]


def test_drain_text_inside_a_string_is_not_edited():
    """Guards against an edit of a label that looks like a drain."""
    label = "'''\n[[drains]]\nkind = \"site\"\nname = \"tb1\"\n'''"
    text = TEXT.replace('"south spare"', label) + FORMS['table']
    problems = remove_drain(text.encode(), TB1, 'x').unwrap_err()
    assert 'edit the drains by hand' in problems[0].rule
