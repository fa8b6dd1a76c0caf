"""Human-readable differences between two environment documents."""

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
    Records are compared by table and name, so the order of records within
    a table does not matter.
    """
    old = dict(records(before))
    new = dict(records(after))
    for path in sorted(old.keys() | new.keys(), key=sort_key):
        yield from record_difference(path, old.get(path), new.get(path))


def sort_key(path: tuple[str, str]) -> tuple[int, str]:
    """Return the sort key of a record: table as declared, then name."""
    table, name = path
    return Document.__struct_fields__.index(table), name


def record_difference(
    path: tuple[str, str],
    old: Fields | None,
    new: Fields | None,
) -> Iterator[str]:
    """Yield the differences of one record."""
    label = ' '.join(path).rstrip()
    if old is None:
        yield f'+ {label}{format_fields(new or {})}'
    elif new is None:
        yield f'- {label}{format_fields(old)}'
    else:
        for field, old_value in old.items():
            if old_value != new[field]:
                yield f'~ {label} {field}: {old_value} -> {new[field]}'


def format_fields(fields: Fields) -> str:
    """Format all fields of a record, to follow its name."""
    pairs = ', '.join(f'{name} {text}' for name, text in fields.items())
    return f': {pairs}' if pairs else ''


def records(document: Document) -> Iterator[tuple[tuple[str, str], Fields]]:
    """Yield all records: table and name, and the fields as text."""
    for table in Document.__struct_fields__:
        content = getattr(document, table)
        if not isinstance(content, tuple):
            yield (table, ''), record_fields(content)
            continue
        for row in content:
            yield (table, record_name(row)), record_fields(row)
    for account in document.accounts:
        yield from key_records(account)


def key_records(
    account: ClientAccount,
) -> Iterator[tuple[tuple[str, str], Fields]]:
    """Yield each key of an account, named by the prefix of its digest."""
    for key in account.keys:
        prefix = key.digest[:DIGEST_PREFIX_CHARACTERS]
        name = f'{account.name} key {prefix}'
        yield ('accounts', name), {'label': repr(key.label)}


def record_name(row: msgspec.Struct) -> str:
    """Return the text that identifies a row within its table."""
    match row:
        case Route(path=path, methods=methods):
            return f'{path} {"/".join(sorted(methods))}'
        case msgspec.Struct(regions=regions):
            return ' - '.join(sorted(regions))
        case msgspec.Struct(kind=kind, name=name):
            return f'{kind} {name}'
    return row.name


def record_fields(content: Any) -> Fields:
    """Return the fields of a table or row that are not part of its name."""
    if not isinstance(content, msgspec.Struct):
        return {'digest': str(content or 'none')}
    identifying = {'name', 'kind', 'regions', 'path', 'methods', 'keys'}
    return {
        name: format_value(getattr(content, name))
        for name in content.__struct_fields__
        if name not in identifying
    }


def format_value(field_value: Any) -> str:
    """Format a field value for display."""
    if isinstance(field_value, tuple):
        return ', '.join(field_value)
    if isinstance(field_value, bool):
        return 'yes' if field_value else 'no'
    return 'default' if field_value is None else str(field_value)
