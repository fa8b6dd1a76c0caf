"""Tests that the operators' pages show valid commands, events and links."""

import pathlib
import re
import shlex

import pytest
from cleo.io.inputs.argv_input import ArgvInput

from egretmill import events
from egretmill.cli.application import COMMANDS, build_application

DOCS = pathlib.Path(__file__).parents[2] / 'docs'
PAGES = sorted((DOCS / 'operations').glob('*.md'))
COMMAND = re.compile('^ *(egretmill .*)', re.MULTILINE)
EVENT = re.compile('event ([0-9]{3}) `([a-z_]+)`')
LINK = re.compile(r'\]\(([^)#]+)\)')


def commands(page: pathlib.Path) -> list[str]:
    """Return the command lines in the code blocks of a page."""
    blocks = page.read_text().split('```')[1::2]
    return [line for block in blocks for line in COMMAND.findall(block)]


def parse(line: str) -> str:
    """Parse a command line and return the name of its command."""
    application = build_application()
    words = shlex.split(line.partition(' < ')[0])
    name = ' '.join(words[1:3])
    if not application.has(name):
        name = words[1]
    command = application.find(name)
    command.merge_application_definition(merge_args=False)
    parsed = ArgvInput(['egretmill', *words[1 + len(name.split()) :]])
    parsed.bind(command.definition)
    parsed.validate()
    return name


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
def test_commands_exist(page):
    """Guards against documented commands that the tool does not accept."""
    for line in commands(page):
        assert parse(line)


@pytest.mark.parametrize('command', COMMANDS, ids=lambda item: item.name)
def test_help_has_an_example(command):
    """Guards against a help text without a command that can be copied."""
    assert parse(command.example) == command.name
    assert command.example in command().help


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.stem)
def test_events_and_links_exist(page):
    """Guards against unknown events and broken links in the pages."""
    known = {
        (str(event.number), event.name)
        for event in events.CATALOGUE.all_events()
    }
    text = page.read_text()
    assert set(EVENT.findall(text)) <= known
    assert all((page.parent / link).exists() for link in LINK.findall(text))


def test_pages_show_commands():
    """Guards against a pattern that finds no commands in the pages."""
    assert sum(len(commands(page)) for page in PAGES) >= 15
