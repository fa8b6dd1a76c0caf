"""Decodes TOML files into validated models."""

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
# A dotted key with 64 parts or more. The time of tomllib is quadratic in
# their number: 20,000 parts in 40 KB would block the event loop for 10 s.
DEEPLY_DOTTED_KEY = re.compile(rb'(?:\.[\w\s"\'-]{1,40}){64}')


def decode_toml(
    content: bytes,
    model: type[ModelT],
    file_name: str,
) -> Result[ModelT, list[Problem]]:
    """Decode and validate a TOML file; return all problems, not the first.

    :param content: the bytes of the file.
    :param model: a msgspec struct type.
    :param file_name: used in the problems.
    """
    parsed = parse_toml(content)
    if isinstance(parsed, Err):
        reason = f'not TOML: {parsed.err_value}'
        return Err([Problem(file_name, '$', '(file)', reason)])
    raw = parsed.ok_value
    try:
        return Ok(msgspec.convert(raw, model))
    except msgspec.ValidationError as error:
        nested = list(model_violations(raw, model))
        violations = nested or [violation_of(error, raw, '$')]
    return Err([Problem(file_name, *violation) for violation in violations])


def parse_toml(content: bytes) -> Result[dict[str, Any], str]:
    """Parse a TOML file without validation; return the error as text."""
    if DEEPLY_DOTTED_KEY.search(content):
        return Err('nested too deeply')
    try:
        return Ok(tomllib.loads(content.decode()))
    except RecursionError:
        return Err('nested too deeply')
    except ValueError as error:
        # Also raised for integers of more than 4,300 digits.
        return Err(str(error))


def load_settings(path: pathlib.Path) -> Result[HostSettings, list[Problem]]:
    """Read and validate a host settings file."""
    try:
        content = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        return Err([Problem(str(path), '$', '(file)', reason)])
    return decode_settings(content, str(path))


def decode_settings(
    content: bytes,
    file_name: str,
) -> Result[HostSettings, list[Problem]]:
    """Decode host settings and check the rules that span several fields."""
    decoded = decode_toml(content, HostSettings, file_name)
    if isinstance(decoded, Err):
        return decoded
    problems = [
        Problem(file_name, *violation)
        for violation in rules.violations(decoded.ok_value)
    ]
    if problems:
        return Err(problems)
    return decoded
