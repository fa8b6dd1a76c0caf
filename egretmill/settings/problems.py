"""All problems of a decoded TOML text against a model, not only the first."""

import dataclasses
import re
import types
from collections.abc import Iterator
from typing import Annotated, Any, Union, get_args, get_origin

import msgspec

from egretmill.accounts import KEY_PREFIX

__all__ = ('Problem', 'Violation', 'model_violations', 'shown')

#: Path within the file, offending value and rule.
Violation = tuple[str, str, str]

ERROR_PATH = re.compile(r'^(?P<rule>.*?)(?: - at `(?P<path>.*)`)?$', re.DOTALL)
PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
API_KEY = re.compile(KEY_PREFIX + r'[\w-]+')
MISSING = '(missing)'
SHOWN_VALUE_CHARACTERS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One broken rule: file, path within it, offending value and rule."""

    file: str
    path: str
    value: str
    rule: str

    def __str__(self) -> str:
        """Return the one-line message for people."""
        return f'{self.file}: {self.path} = {self.value}: {self.rule}'


def shown(found: Any) -> str:
    """Return a value for a message, short and without API keys."""
    try:
        text = repr(found)
    except (ValueError, RecursionError):
        # Integers of more than 4,300 digits and tables nested a thousand
        # deep are valid TOML, but have no repr.
        return '(too long to show)'
    return API_KEY.sub(f'{KEY_PREFIX}***', text)[:SHOWN_VALUE_CHARACTERS]


def model_violations(raw: Any, kind: Any) -> Iterator[Violation]:
    """Yield every place where a decoded text breaks the rules of a model.

    :param raw: what the TOML parser returned.
    :param kind: a msgspec struct type.
    """
    yield from violations_at(raw, kind, '$')


def violations_at(raw: Any, kind: Any, path: str) -> Iterator[Violation]:
    """Yield the problems of the parts, or else of the whole."""
    parts = list(part_violations(raw, kind, path))
    if parts:
        yield from parts
        return
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        yield violation_of(error, raw, path)


def violation_of(
    error: msgspec.ValidationError,
    raw: Any,
    path: str,
) -> Violation:
    """Return path, value and rule of a validation error below a path."""
    match = ERROR_PATH.match(str(error))
    below = (match and match['path']) or '$'
    rule = match['rule'] if match else str(error)
    return path + below[1:], value_at(raw, below), rule


def value_at(raw: Any, path: str) -> str:
    """Return the value at a path of msgspec, for a message."""
    found = raw
    for name, index in PATH_STEP.findall(path):
        try:
            found = found[int(index)] if index else found[name]
        except (KeyError, IndexError, TypeError):
            return MISSING
    return shown(found)


def part_violations(raw: Any, kind: Any, path: str) -> Iterator[Violation]:
    """Yield the problems of the fields or items of a value."""
    plain = plain_type(kind)
    if isinstance(raw, dict) and is_struct(plain):
        yield from field_violations(raw, plain, path)
    elif isinstance(raw, list) and get_origin(plain) is tuple:
        yield from item_violations(raw, get_args(plain), path)


def field_violations(
    raw: dict[str, Any],
    model: type[msgspec.Struct],
    path: str,
) -> Iterator[Violation]:
    """Yield unknown and missing fields and problems inside of fields."""
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(model)
    }
    known = ', '.join(sorted(fields))
    for name, found in raw.items():
        if name not in fields:
            yield f'{path}.{name}', shown(found), f'no such field; has {known}'
    for name, field in fields.items():
        given = raw.get(name, msgspec.UNSET)
        if given is not msgspec.UNSET:
            yield from violations_at(given, field.type, f'{path}.{name}')
        elif field.required:
            yield f'{path}.{name}', MISSING, 'this field is required'


def item_violations(
    raw: list[Any],
    kinds: tuple[Any, ...],
    path: str,
) -> Iterator[Violation]:
    """Yield problems inside of the items of an array."""
    for index, item in enumerate(raw):
        position = 0 if kinds[-1] is Ellipsis else index
        if position < len(kinds):
            yield from violations_at(item, kinds[position], f'{path}[{index}]')


def is_struct(kind: Any) -> bool:
    """Tell whether a type is a model."""
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def plain_type(kind: Any) -> Any:
    """Return a type without its annotations and without ``None``."""
    if get_origin(kind) is Annotated:
        return plain_type(get_args(kind)[0])
    if get_origin(kind) in {types.UnionType, Union}:
        members = get_args(kind)
        return plain_type(members[0])
    return kind
