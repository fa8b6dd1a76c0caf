"""The catalogue of events in the docs and the code agree."""

import pathlib

from egretmill import events
from egretmill.errors import ANSWERS, ErrorKind

DOCS = pathlib.Path(__file__).parents[1] / 'docs'


def test_catalogue_matches_docs():
    """Guards against events that the operators' catalogue lacks."""
    page = (DOCS / 'events.md').read_text()
    assert page == events.catalogue_markdown()


def test_event_numbers_are_unique():
    """Guards against two events under one number."""
    numbers = [event.number for event in events.CATALOGUE.all_events()]
    assert len(numbers) == len(set(numbers))


def test_every_error_kind_has_an_answer():
    """Guards against an error kind without status and outcome."""
    assert set(ANSWERS) == set(ErrorKind)
