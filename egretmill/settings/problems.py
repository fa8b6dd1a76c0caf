"""Finds all violations of a model in decoded TOML, not only the first."""

import dataclasses
import re
import types
from collections.abc import Iterator
from typing import Annotated, Any, Union, get_args, get_origin

import msgspec

from egretmill.accounts import KEY_PREFIX

__all__ = ('Problem', 'Violation', 'display_value', 'model_violations')

#: Path within the file, invalid value and violated rule.
Violation = tuple[str, str, str]

ERROR_PATH = re.compile(r'^(?P<rule>.*?)(?: - at `(?P<path>.*)`)?$', re.DOTALL)
PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
API_KEY = re.compile(KEY_PREFIX + r'[\w-]+')
MISSING = '(missing)'
MAX_SHOWN_CHARACTERS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """A violated rule: file, path within it, invalid value and rule."""

    file: str
    path: str
    value: str
    rule: str

    def __str__(self) -> str:
        """Return a one-line message for operators."""
        return f'{self.file}: {self.path} = {self.value}: {self.rule}'


def display_value(value: Any) -> str:
    """Return a value as text for a message, shortened, API keys masked."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        # Integers of more than 4,300 digits and tables nested a thousand
        # deep are valid TOML, but have no repr.
        return '(too long to show)'
    return API_KEY.sub(f'{KEY_PREFIX}***', text)[:MAX_SHOWN_CHARACTERS]


def model_violations(raw: Any, model: Any) -> Iterator[Violation]:
    """Yield all violations of a model.

    :param raw: what the TOML parser returned.
    :param kind: a msgspec struct type.
    """
    yield from violations_at(raw, model, '$')


def violations_at(raw: Any, value_type: Any, path: str) -> Iterator[Violation]:
    """Yield the violations inside a value, or else that of the value."""
    nested = list(nested_violations(raw, value_type, path))
    if nested:
        yield from nested
        return
    try:
        msgspec.convert(raw, value_type)
    except msgspec.ValidationError as error:
        yield violation_of(error, raw, path)


def violation_of(
    error: msgspec.ValidationError,
    raw: Any,
    path: str,
) -> Violation:
    """Return the violation that a validation error reports.

    :param raw: the value that was validated.
    :param path: its path, to which the path of the error is appended.
    """
    match = ERROR_PATH.match(str(error))
    subpath = (match and match['path']) or '$'
    rule = match['rule'] if match else str(error)
    return path + subpath[1:], value_at(raw, subpath), rule


def value_at(raw: Any, path: str) -> str:
    """Return the value at a path of a msgspec error, as text."""
    value = raw
    for name, index in PATH_STEP.findall(path):
        try:
            value = value[int(index)] if index else value[name]
        except (KeyError, IndexError, TypeError):
            return MISSING
    return display_value(value)


def nested_violations(
    raw: Any, value_type: Any, path: str
) -> Iterator[Violation]:
    """Yield the violations inside the fields or items of a value."""
    plain = plain_type(value_type)
    if isinstance(raw, dict) and is_struct(plain):
        yield from field_violations(raw, plain, path)
    elif isinstance(raw, list) and get_origin(plain) is tuple:
        yield from item_violations(raw, get_args(plain), path)


def field_violations(
    raw: dict[str, Any],
    model: type[msgspec.Struct],
    path: str,
) -> Iterator[Violation]:
    """Yield unknown and missing fields and the violations inside fields."""
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(model)
    }
    known = ', '.join(sorted(fields))
    for name, value in raw.items():
        if name not in fields:
            yield (
                f'{path}.{name}',
                display_value(value),
                f'no such field; has {known}',
            )
    for name, field in fields.items():
        field_value = raw.get(name, msgspec.UNSET)
        if field_value is not msgspec.UNSET:
            yield from violations_at(field_value, field.type, f'{path}.{name}')
        elif field.required:
            yield f'{path}.{name}', MISSING, 'this field is required'


def item_violations(
    raw: list[Any],
    item_types: tuple[Any, ...],
    path: str,
) -> Iterator[Violation]:
    """Yield the violations inside the items of an array."""
    for index, item in enumerate(raw):
        position = 0 if item_types[-1] is Ellipsis else index
        if position < len(item_types):
            yield from violations_at(
                item, item_types[position], f'{path}[{index}]'
            )


def is_struct(value_type: Any) -> bool:
    """Return whether a type is a msgspec struct."""
    return isinstance(value_type, type) and issubclass(
        value_type, msgspec.Struct
    )


def plain_type(value_type: Any) -> Any:
    """Return a type without its metadata and without ``None``."""
    if get_origin(value_type) is Annotated:
        return plain_type(get_args(value_type)[0])
    if get_origin(value_type) in {types.UnionType, Union}:
        members = get_args(value_type)
        return plain_type(members[0])
    return value_type
