"""Decoding of TOML files into validated models."""

import dataclasses
import pathlib
import re
import tomllib
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from egretmill.settings.model import HostSettings

__all__ = ('Problem', 'decode_toml', 'load_settings')

ModelT = TypeVar('ModelT')
ERROR_PATH = re.compile(r'^(?P<rule>.*?)(?: - at `(?P<path>.*)`)?$', re.DOTALL)
PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
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


def _value_at(raw: Any, path: str) -> str:
    found = raw
    for name, index in PATH_STEP.findall(path):
        try:
            found = found[int(index)] if index else found[name]
        except (KeyError, IndexError, TypeError):
            return MISSING
    return repr(found)[:SHOWN_VALUE_CHARACTERS]


def decode_toml(
    text: bytes,
    model: type[ModelT],
    file_name: str,
) -> Result[ModelT, list[Problem]]:
    """Decode and validate a TOML text.

    :param text: the bytes of the file.
    :param model: a msgspec struct type.
    :param file_name: named in the problems.
    """
    try:
        raw = tomllib.loads(text.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Err([Problem(file_name, '$', '(file)', f'not TOML: {error}')])
    try:
        return Ok(msgspec.convert(raw, model))
    except msgspec.ValidationError as error:
        match = ERROR_PATH.match(str(error))
        path = (match and match['path']) or '$'
        rule = match['rule'] if match else str(error)
        found = _value_at(raw, path)
        return Err([Problem(file_name, path, found, rule)])


def load_settings(path: pathlib.Path) -> Result[HostSettings, list[Problem]]:
    """Read and validate a host settings file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        return Err([Problem(str(path), '$', '(file)', reason)])
    return decode_toml(text, HostSettings, str(path))
