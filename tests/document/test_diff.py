"""Every change of a document shows up as a difference, and nothing else."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.document import Document, Drain, Environment
from egretmill.document.diff import difference_lines
from tests.document.fakes import sample

EXAMPLE = Environment.from_bytes(sample().encode()).unwrap().document
DOCUMENT = msgspec.structs.replace(
    EXAMPLE,
    drains=(Drain('site', 'tb2'),),
    client_blocks=f'xxh3:{"0" * 32}',
)
# A row whose name changes is removed and added with all its keys.
RECORDS_OF_A_ROW = 1 + max(len(row.keys) for row in DOCUMENT.accounts)
#: Tables whose order has no meaning.
UNORDERED = ('regions', 'sites', 'links', 'services', 'accounts', 'drains')


def leaf_paths(found, path=()):
    """Yield the path of every scalar value of a document."""
    if isinstance(found, msgspec.Struct):
        for name in found.__struct_fields__:
            yield from leaf_paths(getattr(found, name), (*path, name))
    elif isinstance(found, tuple):
        for index, item in enumerate(found):
            yield from leaf_paths(item, (*path, index))
    else:
        yield path


def with_changed_leaf(found, path):
    """Return a copy with a different value at a path."""
    if not path:
        return different_value(found)
    step, *rest = path
    if isinstance(found, tuple):
        item = with_changed_leaf(found[step], rest)
        return (*found[:step], item, *found[step + 1 :])
    inner = with_changed_leaf(getattr(found, step), rest)
    return msgspec.structs.replace(found, **{step: inner})


def different_value(found):
    """Return a value of the same type that differs."""
    match found:
        case bool():
            return not found
        case int() | float():
            return found + 1
        case None:
            return 'refuse'
    if found.startswith('sha256:'):
        return found[:-60] + '0' * 60
    return f'{found}-x'


@pytest.mark.parametrize(
    'path',
    list(leaf_paths(DOCUMENT)),
    ids=lambda path: '.'.join(map(str, path)),
)
def test_every_changed_value_is_shown(path):
    """Guards against a change that an operator promotes unseen."""
    other = with_changed_leaf(DOCUMENT, path)
    lines = list(difference_lines(DOCUMENT, other))
    assert lines
    assert len(lines) <= RECORDS_OF_A_ROW * 2
    reverse_lines = list(difference_lines(other, DOCUMENT))
    assert len(reverse_lines) == len(lines)


def test_no_difference():
    """Guards against reported differences between equal documents."""
    assert not list(difference_lines(DOCUMENT, DOCUMENT))


@settings(derandomize=True, max_examples=20, deadline=None)
@given(st.randoms(use_true_random=False))
def test_order_without_meaning_is_no_difference(generator):
    """Guards against noise when a table is sorted differently."""
    shuffled = {}
    for table in UNORDERED:
        rows = list(getattr(DOCUMENT, table))
        generator.shuffle(rows)
        shuffled[table] = tuple(rows)
    other = msgspec.structs.replace(DOCUMENT, **shuffled)
    assert not list(difference_lines(DOCUMENT, other))


def test_added_document_shows_every_table():
    """Guards against a table that the comparison leaves out."""
    empty = Document((), (), (), (), ())
    text = '\n'.join(difference_lines(empty, DOCUMENT))
    for table in Document.__struct_fields__:
        if table not in {'shift', 'quota'}:
            assert f'{table} ' in text
    assert all(
        key.digest not in text and key.digest[:19] in text
        for account in DOCUMENT.accounts
        for key in account.keys
    )
