"""Readable differences of two environment documents."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from egretmill.document.model import ClientAccount, Document, Route

__all__ = ('difference_lines',)

DIGEST_PREFIX_CHARACTERS = len('sha256:') + 12

#: Fields of one record as text.
Fields = Mapping[str, str]


def difference_lines(before: Document, after: Document) -> Iterator[str]:
    """Yield one line for each difference, in a stable order.

    ``+`` and ``-`` mark added and removed records, ``~`` a changed field.
    Records are ordered by table and name, so moving a record within its
    table is no difference.
    """
    old = dict(records(before))
    new = dict(records(after))
    for path in sorted(old.keys() | new.keys(), key=sort_key):
        yield from record_difference(path, old.get(path), new.get(path))


def sort_key(path: tuple[str, str]) -> tuple[int, str]:
    """Order records by table, as declared, and then by name."""
    table, name = path
    return Document.__struct_fields__.index(table), name


def record_difference(
    path: tuple[str, str],
    old: Fields | None,
    new: Fields | None,
) -> Iterator[str]:
    """Yield the differences of one record."""
    shown = ' '.join(path).rstrip()
    if old is None:
        yield f'+ {shown}{listing(new or {})}'
    elif new is None:
        yield f'- {shown}{listing(old)}'
    else:
        for field, was in old.items():
            if was != new[field]:
                yield f'~ {shown} {field}: {was} -> {new[field]}'


def listing(fields: Fields) -> str:
    """Return all fields of a record after its name."""
    pairs = ', '.join(f'{name} {text}' for name, text in fields.items())
    return f': {pairs}' if pairs else ''


def records(document: Document) -> Iterator[tuple[tuple[str, str], Fields]]:
    """Yield all records: table and name, and the fields as text."""
    for table in Document.__struct_fields__:
        content = getattr(document, table)
        if not isinstance(content, tuple):
            yield (table, ''), fields_of(content)
            continue
        for row in content:
            yield (table, name_of(row)), fields_of(row)
    for account in document.accounts:
        yield from key_records(account)


def key_records(
    account: ClientAccount,
) -> Iterator[tuple[tuple[str, str], Fields]]:
    """Yield each key of an account by the prefix of its digest."""
    for key in account.keys:
        prefix = key.digest[:DIGEST_PREFIX_CHARACTERS]
        name = f'{account.name} key {prefix}'
        yield ('accounts', name), {'label': repr(key.label)}


def name_of(row: msgspec.Struct) -> str:
    """Return what identifies a row within its table."""
    match row:
        case Route(path=path, methods=methods):
            return f'{path} {"/".join(sorted(methods))}'
        case msgspec.Struct(regions=regions):
            return ' - '.join(sorted(regions))
        case msgspec.Struct(kind=kind, name=name):
            return f'{kind} {name}'
    return row.name


def fields_of(content: Any) -> Fields:
    """Return the fields of a table or row that its name does not hold."""
    if not isinstance(content, msgspec.Struct):
        return {'digest': str(content or 'none')}
    hidden = {'name', 'kind', 'regions', 'path', 'methods', 'keys'}
    return {
        name: text_of(getattr(content, name))
        for name in content.__struct_fields__
        if name not in hidden
    }


def text_of(found: Any) -> str:
    """Return a value for people."""
    if isinstance(found, tuple):
        return ', '.join(found)
    if isinstance(found, bool):
        return 'yes' if found else 'no'
    return 'default' if found is None else str(found)
