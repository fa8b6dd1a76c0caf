"""Versions of a store that returns from an older copy."""

from hypothesis import given, strategies

from egretmill.tables.versions import (
    MAX_ERA,
    MAX_NUMBER,
    era_of,
    is_later_in_era,
    make_version,
    number_of,
)

eras = strategies.integers(0, MAX_ERA)
numbers = strategies.integers(0, MAX_NUMBER)


@given(eras, numbers)
def test_era_and_number_are_kept(era, number):
    """Guards against a number that runs into the era."""
    version = make_version(era, number)
    assert (era_of(version), number_of(version)) == (era, number)
    assert version < 1 << 63


@given(eras, numbers, eras, numbers)
def test_later_era_is_higher_whatever_the_numbers(era, number, other, second):
    """Guards against a lower number that passes for an older state."""
    version = make_version(era, number)
    later = make_version(other, second)
    if era == other:
        assert is_later_in_era(version, later) == (number > second)
        return
    assert (version < later) == (era < other)
    assert is_later_in_era(version, later) is None
