"""Tests that commands print what the transcripts in ``expected`` show."""

import pathlib

import pytest

from egretmill.cli.application import COMMANDS
from tests.cli.transcript import replay

EXPECTED = sorted((pathlib.Path(__file__).parent / 'expected').glob('*.txt'))


@pytest.mark.parametrize('path', EXPECTED, ids=lambda path: path.stem)
def test_transcript(path):
    """Guards against unintended changes of output and exit status."""
    assert replay(path.read_text()) == path.read_text()


def test_every_command_has_a_transcript():
    """Guards against a command that no transcript runs."""
    texts = '\n'.join(path.read_text() for path in EXPECTED)
    missing = [
        command.name
        for command in COMMANDS
        if f'$ egretmill {command.name}' not in texts
        and command.name != 'key new'
    ]
    assert not missing
