"""Changes of a document's text that keep all other bytes as they are."""

import re
import tomllib

import msgspec
from result import Err, Ok, Result

from egretmill.document.environment import Environment
from egretmill.document.model import Document, Drain
from egretmill.settings import Problem

__all__ = ('add_drain', 'remove_drain')

INLINE_ARRAY = re.compile(r'^[ \t]*drains[ \t]*=[ \t]*\[', re.MULTILINE)
# A blank line before the header goes with it, so that undoing a drain
# restores the bytes.
TABLE = re.compile(
    r'(?:^[ \t]*\r?\n)?^[ \t]*\[\[[ \t]*drains[ \t]*\]\][^\n]*\n'
    r'(?:[ \t]*(?:kind|name)[ \t]*=[^\n]*(?:\n|\Z)){2}',
    re.MULTILINE,
)
INLINE_TABLE = re.compile(r'\{[^{}]*\}\s*(?:,[ \t]*)?')
BY_HAND = 'the text has an unusual form; edit the drains by hand'


def add_drain(
    body: bytes,
    drain: Drain,
    file_name: str,
) -> Result[bytes, list[Problem]]:
    """Return the text with one more drain; the same text if it has it."""
    loaded = Environment.from_bytes(body, file_name)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value.document
    if drain in document.drains:
        return Ok(body)
    expected = with_drains(document, (*document.drains, drain))
    return verified(with_entry(body.decode(), drain), expected, file_name)


def remove_drain(
    body: bytes,
    drain: Drain,
    file_name: str,
) -> Result[bytes, list[Problem]]:
    """Return the text without one drain, which must be there."""
    loaded = Environment.from_bytes(body, file_name)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value.document
    if drain not in document.drains:
        shown = f'{drain.kind} {drain.name}'
        return Err([Problem(file_name, '$.drains', shown, 'not drained')])
    kept = tuple(row for row in document.drains if row != drain)
    expected = with_drains(document, kept)
    return verified(without_entry(body.decode(), drain), expected, file_name)


def with_drains(document: Document, drains: tuple[Drain, ...]) -> Document:
    """Return the document with other drains, in a fixed order."""
    ordered = sorted(drains, key=lambda row: (row.kind, row.name))
    return msgspec.structs.replace(document, drains=tuple(ordered))


def with_entry(text: str, drain: Drain) -> str:
    """Insert an entry in the form that the text has its drains in."""
    inline = INLINE_ARRAY.search(text)
    if inline:
        entry = f'{{ kind = "{drain.kind}", name = "{drain.name}" }}, '
        return text[: inline.end()] + entry + text[inline.end() :]
    end = '\r\n' if '\r\n' in text else '\n'
    start = '' if text.endswith('\n') else end
    lines = (
        '',
        '[[drains]]',
        f'kind = "{drain.kind}"',
        f'name = "{drain.name}"',
        '',
    )
    return text + start + end.join(lines)


def without_entry(text: str, drain: Drain) -> str:
    """Remove an entry in either form."""
    for match in TABLE.finditer(text):
        if entry_of(match.group()) == drain:
            return text[: match.start()] + text[match.end() :]
    inline = INLINE_ARRAY.search(text)
    if inline is None:
        return text
    for match in INLINE_TABLE.finditer(text, inline.end()):
        table = match.group().rstrip(', \t\r\n')
        if entry_of(f'drains = [{table}]') == drain:
            return text[: match.start()] + text[match.end() :]
    return text


def entry_of(text: str) -> Drain | None:
    """Return the only drain of a passage, ``None`` when it has none."""
    try:
        return msgspec.convert(tomllib.loads(text)['drains'][0], Drain)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError):
        return None


def verified(
    text: str,
    expected: Document,
    file_name: str,
) -> Result[bytes, list[Problem]]:
    """Return the text if it is valid and says what is expected."""
    body = text.encode()
    loaded = Environment.from_bytes(body, file_name)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value.document
    if with_drains(document, document.drains) != expected:
        return Err([Problem(file_name, '$.drains', '(text)', BY_HAND)])
    return Ok(body)
