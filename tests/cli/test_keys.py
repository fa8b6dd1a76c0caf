"""A new key is shown once, with a line that the document accepts."""

import tomllib

import pytest

from egretmill.accounts import KEY_PREFIX, digest_of
from egretmill.cli.client import TOKEN_VARIABLE
from tests.cli.transcript import Run, Served

TOKEN = 'token-of-the-operators'


def test_new_key_and_its_line():
    """Guards against a line whose digest is not that of the key."""
    run = Run(['key', 'new', '--label', 'night shift'])
    key, line = run.output.splitlines()
    assert key.startswith(KEY_PREFIX)
    found = tomllib.loads(f'keys = [{line}]')['keys']
    assert found == [{'digest': digest_of(key), 'label': 'night shift'}]


def test_keys_differ():
    """Guards against two accounts with one key."""
    keys = {Run(['key', 'new']).output.split()[0] for _ in range(20)}
    assert len(keys) == 20


@pytest.mark.parametrize('label', ['a"b', r'a\b', 'a\nb', 'x' * 65])
def test_label_that_breaks_the_line(label):
    """Guards against a line that is no TOML."""
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
    """Guards against a tool that cannot pass the token check."""
    monkeypatch.setenv(TOKEN_VARIABLE, token)
    with Served(digest_of(TOKEN)).running() as served:
        run = Run(['status', '--agent', served.url])
    assert (run.status, run.errors) == (status, errors)
