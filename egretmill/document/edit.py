"""Edits the drains in a document's text; all other bytes stay unchanged."""

import re
import tomllib

import msgspec
from result import Err, Ok, Result

from egretmill.document.environment import Environment
from egretmill.document.model import Document, Drain
from egretmill.settings import Problem

__all__ = ('add_drain', 'remove_drain')

DRAINS_ARRAY = re.compile(r'^[ \t]*drains[ \t]*=[ \t]*\[', re.MULTILINE)
# Includes a blank line before the header, so that removing an added drain
# restores the original bytes.
DRAIN_TABLE = re.compile(
    r'(?:^[ \t]*\r?\n)?^[ \t]*\[\[[ \t]*drains[ \t]*\]\][^\n]*\n'
    r'(?:[ \t]*(?:kind|name)[ \t]*=[^\n]*(?:\n|\Z)){2}',
    re.MULTILINE,
)
INLINE_TABLE = re.compile(r'\{[^{}]*\}\s*(?:,[ \t]*)?')
UNUSUAL_FORM = 'the text has an unusual form; edit the drains by hand'


def add_drain(
    body: bytes,
    drain: Drain,
    file_name: str,
) -> Result[bytes, list[Problem]]:
    """Return the text with a drain added, unchanged if it is already there."""
    loaded = Environment.from_bytes(body, file_name)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value.document
    if drain in document.drains:
        return Ok(body)
    expected = replace_drains(document, (*document.drains, drain))
    return verify_edit(insert_drain(body.decode(), drain), expected, file_name)


def remove_drain(
    body: bytes,
    drain: Drain,
    file_name: str,
) -> Result[bytes, list[Problem]]:
    """Return the text with a drain removed, which must be present."""
    loaded = Environment.from_bytes(body, file_name)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value.document
    if drain not in document.drains:
        shown = f'{drain.kind} {drain.name}'
        return Err([Problem(file_name, '$.drains', shown, 'not drained')])
    remaining = tuple(row for row in document.drains if row != drain)
    expected = replace_drains(document, remaining)
    return verify_edit(delete_drain(body.decode(), drain), expected, file_name)


def replace_drains(document: Document, drains: tuple[Drain, ...]) -> Document:
    """Return the document with these drains, sorted."""
    ordered = sorted(drains, key=lambda row: (row.kind, row.name))
    return msgspec.structs.replace(document, drains=tuple(ordered))


def insert_drain(text: str, drain: Drain) -> str:
    """Insert a drain, inline if the text has an inline array of drains."""
    inline = DRAINS_ARRAY.search(text)
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


def delete_drain(text: str, drain: Drain) -> str:
    """Delete a drain written as a table or inline."""
    for match in DRAIN_TABLE.finditer(text):
        if parse_drain(match.group()) == drain:
            return text[: match.start()] + text[match.end() :]
    inline = DRAINS_ARRAY.search(text)
    if inline is None:
        return text
    for match in INLINE_TABLE.finditer(text, inline.end()):
        table = match.group().rstrip(', \t\r\n')
        if parse_drain(f'drains = [{table}]') == drain:
            return text[: match.start()] + text[match.end() :]
    return text


def parse_drain(text: str) -> Drain | None:
    """Parse the drain in a piece of TOML; ``None`` if it is malformed."""
    try:
        return msgspec.convert(tomllib.loads(text)['drains'][0], Drain)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError):
        return None


def verify_edit(
    text: str,
    expected: Document,
    file_name: str,
) -> Result[bytes, list[Problem]]:
    """Return the edited text if it decodes to the expected document."""
    body = text.encode()
    loaded = Environment.from_bytes(body, file_name)
    if isinstance(loaded, Err):
        return loaded
    document = loaded.ok_value.document
    if replace_drains(document, document.drains) != expected:
        return Err([Problem(file_name, '$.drains', '(text)', UNUSUAL_FORM)])
    return Ok(body)
