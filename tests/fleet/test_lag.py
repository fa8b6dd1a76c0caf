"""Whether a host knows that its copy is outdated."""

import pytest

from egretmill.fleet.freshness import Freshness
from egretmill.fleet.lag import OUTDATED_AFTER_S, CopyLag

OLD, NEW, NEWEST = 1, 2, 3
#: Boot time at which a host with the old copy hears of the new one.
HEARD_AT = 100.0
OUTDATED_AT = HEARD_AT + OUTDATED_AFTER_S + 0.1


@pytest.fixture
def freshness():
    """Return the freshness of the old copy."""
    return Freshness(HEARD_AT - 2)


@pytest.fixture
def lag(freshness):
    """Return the lag of a host that has heard of two changes."""
    heard = CopyLag()
    heard.record_difference(NEW, 0.1, freshness, HEARD_AT)
    heard.record_difference(NEWEST, 0.1, freshness, HEARD_AT + 0.5)
    return heard


def test_newest_known_copy_is_in_use_at_once(lag, freshness):
    """Guards against refusals by a host that has just caught up."""
    assert lag.is_outdated(freshness, OUTDATED_AT)
    lag.record_own(NEWEST)
    assert not lag.is_outdated(freshness, OUTDATED_AT)


@pytest.mark.parametrize('digest', [OLD, NEW])
def test_series_of_changes_does_not_prolong_the_use_of_a_copy(
    lag, freshness, digest
):
    """Guards against a host that is always one change behind."""
    lag.record_own(digest)
    assert lag.is_outdated(freshness, OUTDATED_AT)


def test_late_news_of_an_older_copy_changes_nothing(lag, freshness):
    """Guards against a delayed heartbeat that hides the newest copy."""
    lag.record_difference(NEW, 0.7, freshness, HEARD_AT + 0.6)
    lag.record_own(NEW)
    assert lag.is_outdated(freshness, OUTDATED_AT)


def test_own_copy_that_was_confirmed_later_is_not_outdated(lag, freshness):
    """Guards against refusals because of a peer that is behind itself."""
    freshness.confirm(HEARD_AT + 0.45)
    assert not lag.is_outdated(freshness, OUTDATED_AT)
