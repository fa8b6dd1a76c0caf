"""Owned shares never add up to more than the total."""

import hypothesis
import pytest
from hypothesis import strategies as st

from bench.quota_fleet import create_environment, create_upstreams
from egretmill.quota.division import divide_rate, divide_slots, owned_share
from egretmill.quota.totals import ConcurrencyTotal, RateTotal, Totals

SETTINGS = hypothesis.settings(derandomize=True, max_examples=100)
names = st.text('abcdef/', min_size=1, max_size=8)
slot_counts = st.integers(1, 40)


@SETTINGS
@hypothesis.given(names, slot_counts, st.integers(1, 100))
def test_rate_is_divided_exactly(name, slots, burst):
    """Guards against hosts that own more than the total, or less."""
    total = RateTotal(12.5, burst)
    owners = range(slots)
    shares = [divide_rate(total, name, owners, index) for index in owners]
    assert sum(share.capacity for share in shares) == burst
    assert sum(share.amount for share in shares) == pytest.approx(12.5)


@SETTINGS
@hypothesis.given(names, slot_counts, st.integers(1, 100))
def test_small_burst_goes_to_whole_owners(name, slots, burst):
    """Guards against hosts whose rate can never admit a request."""
    total = RateTotal(3.0, burst)
    owners = range(slots)
    for index in owners:
        share = divide_rate(total, name, owners, index)
        assert share.capacity == int(share.capacity)
        assert bool(share.amount) == bool(share.capacity)


@SETTINGS
@hypothesis.given(
    names,
    slot_counts,
    st.integers(0, 40),
    st.integers(0, 200),
)
def test_slots_are_divided_exactly(name, everyone, local, slots):
    """Guards against more requests in flight than slots."""
    owners = range(everyone)
    inside = owners[:local]
    total = ConcurrencyTotal(slots)
    shares = [
        divide_slots(total, name, owners, inside, index) for index in owners
    ]
    assert sum(share.amount for share in shares) == slots
    owned_inside = sum(shares[index].amount for index in inside)
    if inside and len(inside) < everyone:
        assert owned_inside == -(-slots * 6 // 10)


@SETTINGS
@hypothesis.given(names, slot_counts, st.integers(0, 40), st.integers(0, 99))
def test_no_owner_loses_when_slots_are_added(name, everyone, local, slots):
    """Guards against an excess while hosts have different upstream lists."""
    owners = range(everyone)
    inside = owners[:local]
    for index in owners:
        before, after = (
            divide_slots(ConcurrencyTotal(size), name, owners, inside, index)
            for size in (slots, slots + 1)
        )
        assert before.amount <= after.amount


def test_every_total_of_a_document_is_divided():
    """Guards against a kind of total whose shares do not add up to it."""
    environment = create_environment({'big': (70, 35), 'small': (2, 4)})
    totals = Totals(environment, create_upstreams(7))
    names = list(totals.names())
    assert {name.split('/')[0] for name in names} == {
        'account',
        'link',
        'shift',
        'slots',
    }
    for name in names:
        shares = [
            owned_share(totals, name, index)
            for index in range(environment.share_slots)
        ]
        total = totals.find(name)
        if isinstance(total, RateTotal):
            assert sum(share.capacity for share in shares) == total.burst
        else:
            assert sum(share.amount for share in shares) == total.slots


def test_links_belong_to_their_regions():
    """Guards against giving shares to hosts that never use the link."""
    totals = Totals(create_environment({}), ())
    total = 'link/kutaisi/tbilisi'
    assert totals.find(total) == RateTotal(100e6, 10000000)
    assert list(totals.owners(total)) == [0, 1, 2, 3, 4]


@pytest.mark.parametrize(
    'name',
    [
        'account/unknown',
        'link/tbilisi/batumi',
        'shift/tbilisi-a/tbilisi-a',
        'slots/rota/batumi-a',
        'account',
        'other/a/b',
    ],
)
def test_unknown_totals_allow_nothing(name):
    """Guards against quota for what the document does not declare."""
    totals = Totals(create_environment({'a': (1, 1)}), create_upstreams(2))
    assert totals.find(name) is None
    assert not owned_share(totals, name, 0).amount


def test_leaving_upstreams_do_not_count():
    """Guards against counting the slots of an upstream that drains."""
    live, leaving = create_upstreams(2)
    leaving = type(leaving)(
        **{
            **{
                field: getattr(leaving, field)
                for field in leaving.__struct_fields__
            },
            'state': 'leaving',
        },
    )
    totals = Totals(create_environment({}), (live, leaving))
    assert totals.find('slots/rota/tbilisi-a') == ConcurrencyTotal(2)
