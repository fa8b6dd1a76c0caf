"""Transition rules refuse unsafe steps and allow the safe sequences."""

import pytest

from egretmill.document import Environment
from egretmill.document.transition import (
    TRANSITION_RULES,
    transition_violations,
)
from tests.document.fakes import edited_by, load_cases

CASES = load_cases('document/cases/transitions.toml')


def versions_of(case):
    """Return the documents before and after the step."""
    return [
        Environment.from_bytes(edited_by(case[step])).unwrap().document
        for step in ('before', 'after')
    ]


@pytest.mark.parametrize('case', CASES, ids=lambda case: case['name'])
def test_step(case):
    """Guards against an unsafe step, and a change no safe steps can make."""
    found = [list(row) for row in transition_violations(*versions_of(case))]
    assert found == case['violations']


def test_every_rule_refuses_something():
    """Guards against a rule without a test of its message."""
    broken = {
        rule
        for case in CASES
        for rule in TRANSITION_RULES
        if any(rule(*versions_of(case)))
    }
    assert broken == set(TRANSITION_RULES)
