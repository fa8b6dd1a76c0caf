"""Tests of new API keys, their document lines and the operators' token."""

import tomllib

import pytest

from egretmill.accounts import KEY_PREFIX, digest_key
from egretmill.cli.client import TOKEN_VARIABLE
from tests.cli.transcript import Run, Served

TOKEN = 'token-of-the-operators'


def test_new_key_has_a_valid_document_line():
    """Guards against a line whose digest is not that of the key."""
    run = Run(['key', 'new', '--label', 'night shift'])
    key, line = run.output.splitlines()
    assert key.startswith(KEY_PREFIX)
    found = tomllib.loads(f'keys = [{line}]')['keys']
    assert found == [{'digest': digest_key(key), 'label': 'night shift'}]


def test_new_keys_are_unique():
    """Guards against equal keys, which two accounts would share."""
    keys = {Run(['key', 'new']).output.split()[0] for _ in range(20)}
    assert len(keys) == 20


@pytest.mark.parametrize('label', ['a"b', r'a\b', 'a\nb', 'x' * 65])
def test_label_that_needs_escapes_is_refused(label):
    """Guards against labels that make the document line invalid TOML."""
    run = Run(['key', 'new', '--label', label])
    assert (run.status, run.output) == (2, '')
    assert '--label' in run.errors


@pytest.mark.parametrize(
    ('token', 'status', 'errors'),
    [
        ('', 1, 'missing_key: send Authorization: Bearer <token>\n'),
        ('wrong', 1, 'unknown_key: wrong token\n'),
        (TOKEN, 0, ''),
    ],
)
def test_token_comes_from_the_environment(monkeypatch, token, status, errors):
    """Guards against commands that do not send the operators' token."""
    monkeypatch.setenv(TOKEN_VARIABLE, token)
    with Served(digest_key(TOKEN)).running() as served:
        run = Run(['status', '--agent', served.url])
    assert (run.status, run.errors) == (status, errors)
