"""Decoding of TOML files into validated models."""

import pathlib
import re
import tomllib
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from egretmill.settings import rules
from egretmill.settings.model import HostSettings
from egretmill.settings.problems import Problem, model_violations, violation_of

__all__ = ('decode_toml', 'load_settings')

ModelT = TypeVar('ModelT')
# 64 parts or more of a dotted key. The time that tomllib takes is quadratic
# in their number: 20,000 parts in 40 KB block the event loop for 10 s.
DEEP_KEY = re.compile(rb'(?:\.[\w\s"\'-]{1,40}){64}')


def decode_toml(
    text: bytes,
    model: type[ModelT],
    file_name: str,
) -> Result[ModelT, list[Problem]]:
    """Decode and validate a TOML text; all problems are reported.

    :param text: the bytes of the file.
    :param model: a msgspec struct type.
    :param file_name: named in the problems.
    """
    parsed = parse_toml(text)
    if isinstance(parsed, Err):
        reason = f'not TOML: {parsed.err_value}'
        return Err([Problem(file_name, '$', '(file)', reason)])
    raw = parsed.ok_value
    try:
        return Ok(msgspec.convert(raw, model))
    except msgspec.ValidationError as error:
        found = list(model_violations(raw, model))
        violations = found or [violation_of(error, raw, '$')]
    return Err([Problem(file_name, *violation) for violation in violations])


def parse_toml(text: bytes) -> Result[dict[str, Any], str]:
    """Parse a TOML text without validation."""
    if DEEP_KEY.search(text):
        return Err('nested too deeply')
    try:
        return Ok(tomllib.loads(text.decode()))
    except RecursionError:
        return Err('nested too deeply')
    except ValueError as error:
        # Also raised for integers of more than 4,300 digits.
        return Err(str(error))


def load_settings(path: pathlib.Path) -> Result[HostSettings, list[Problem]]:
    """Read and validate a host settings file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        return Err([Problem(str(path), '$', '(file)', reason)])
    return decode_settings(text, str(path))


def decode_settings(
    text: bytes,
    file_name: str,
) -> Result[HostSettings, list[Problem]]:
    """Decode host settings and check the rules between their fields."""
    decoded = decode_toml(text, HostSettings, file_name)
    if isinstance(decoded, Err):
        return decoded
    problems = [
        Problem(file_name, *violation)
        for violation in rules.violations(decoded.ok_value)
    ]
    if problems:
        return Err(problems)
    return decoded
