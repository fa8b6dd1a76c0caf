"""Tests of client blocks against a naive reference implementation."""

import ipaddress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.errors import ErrorKind
from egretmill.lookup import blocks as blocks_module
from egretmill.lookup import ranges
from egretmill.lookup.blocks import MAX_SITES, Change, ClientBlocks, Delta
from egretmill.lookup.blocks_file import digest_steps

SITES = ('', 'a-1', 'b-1', 'c-1')
LAST_V4 = 4294967295
# Few addresses make adjacent and overlapping blocks and gaps likely; the
# range ends with the address space.
BASE = LAST_V4 - 255


@pytest.fixture(autouse=True, scope='module')
def small_chunks():
    """Make chunks so small that changes span several of them."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(ranges, 'CHUNK_SEGMENTS', 4)
        patch.setattr(blocks_module, 'CHANGES_PER_STEP', 2)
        yield


def change_at(start, length, site):
    """Return a change within the last 256 addresses."""
    low = BASE + start
    return Change(4, low, min(low + length, LAST_V4), site)


CHANGES = st.lists(
    st.builds(
        change_at,
        st.integers(0, 255),
        st.one_of(st.integers(0, 3), st.integers(0, 255)),
        st.sampled_from(SITES),
    ),
    max_size=40,
)


def naive(changes):
    """Return the site of each of the last 256 addresses."""
    found = dict.fromkeys(range(BASE, LAST_V4 + 1), '')
    for change in changes:
        for address in range(change.start, change.end + 1):
            found[address] = change.site
    return found


def applied(changes):
    """Return an empty table with a delta applied."""
    blocks = ClientBlocks.empty()
    list(blocks.apply(Delta('', '', tuple(changes))).unwrap())
    return blocks


def lookup(blocks, address):
    """Return the site of an IPv4 address given as a number."""
    return blocks.site_of(str(ipaddress.IPv4Address(address))) or ''


@settings(derandomize=True, deadline=None, max_examples=80)
@given(CHANGES)
def test_lookup_equals_naive_reference(changes):
    """Guards against wrong sites at edges, gaps and chunk limits."""
    blocks = applied(changes)
    expected = naive(changes)
    assert {at: lookup(blocks, at) for at in expected} == expected
    assert lookup(blocks, BASE - 1) == ''


def runs(expected):
    """Return the blocks of a naive table in order."""
    found = []
    for address, site in expected.items():
        if found and found[-1].site == site and found[-1].end == address - 1:
            site_start = found.pop().start
            found.append(Change(4, site_start, address, site))
        else:
            found.append(Change(4, address, address, site))
    return [change for change in found if change.site]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(CHANGES, CHANGES)
def test_deltas_equal_a_rebuild(first, second):
    """Guards against a table that drifts away from the published one."""
    changed = ClientBlocks.empty()
    changed.sites.extend(SITES[1:])
    for part in (first, second):
        list(changed.apply(Delta('', '', tuple(part))).unwrap())
    rebuilt = ClientBlocks.from_changes(runs(naive(first + second))).unwrap()
    ordered = ClientBlocks.empty()
    ordered.sites.extend(SITES[1:])
    list(ordered.apply(Delta('', '', tuple(runs(naive(first + second))))).ok())
    assert list(digest_steps(changed))[-1] == list(digest_steps(ordered))[-1]
    for address in range(BASE, LAST_V4 + 1):
        assert lookup(changed, address) == lookup(rebuilt, address)


def test_delta_is_applied_in_steps_that_lookups_interrupt():
    """Guards against a delta that blocks all look-ups until it is applied."""
    changes = [change_at(index * 2, 0, 'a-1') for index in range(10)]
    blocks = ClientBlocks.empty()
    steps = blocks.apply(Delta('', '', tuple(changes))).unwrap()
    assert next(steps) == 2
    assert lookup(blocks, changes[0].start) == 'a-1'
    assert lookup(blocks, changes[9].start) == ''
    assert list(steps) == [4, 6, 8, 10]


def test_ipv6_and_mapped_addresses():
    """Guards against wrong sites for IPv6 and mapped IPv4 callers.

    Only the upper 64 bits of an IPv6 address count.
    """
    blocks = ClientBlocks.from_changes(
        [
            Change.from_network('2001:db8:1::/48', 'a-1'),
            Change.from_network('10.0.0.0/8', 'b-1'),
        ],
    ).unwrap()
    assert blocks.site_of('2001:db8:1:ffff::9') == 'a-1'
    assert blocks.site_of('2001:db8:2::') is None
    assert blocks.site_of('::ffff:10.1.1.1') == 'b-1'


@pytest.mark.parametrize('client', ['', '10.1', '1.2.3.256', '::1%eth0', 'x'])
def test_text_that_is_no_address_is_an_error(client):
    """Guards against short forms that are parsed as another address."""
    with pytest.raises(OSError):
        ClientBlocks.empty().site_of(client)


def test_overlapping_blocks_are_refused():
    """Guards against a typo in a block that silently moves callers."""
    overlapping = [change_at(0, 9, 'a-1'), change_at(9, 1, 'b-1')]
    refused = ClientBlocks.from_changes(overlapping).unwrap_err()
    assert refused.kind is ErrorKind.INVALID_DOCUMENT
    assert 'overlapping' in refused.detail


@pytest.mark.parametrize(
    'change',
    [Change(5, 0, 1, 'a-1'), Change(4, 2, 1, 'a-1'), Change(4, 0, 2**32, 'a')],
)
def test_delta_with_an_impossible_range_changes_nothing(change):
    """Guards against an invalid delta that is applied in part."""
    blocks = ClientBlocks.empty()
    good = change_at(0, 1, 'a-1')
    assert blocks.apply(Delta('', '', (good, change))).is_err()
    assert lookup(blocks, good.start) == ''
    assert not blocks.sites


def test_number_of_sites_is_bounded():
    """Guards against two sites with the same byte."""
    changes = [change_at(0, 0, f's-{index}') for index in range(MAX_SITES + 1)]
    blocks = ClientBlocks.empty()
    assert blocks.apply(Delta('', '', tuple(changes))).is_err()
    assert blocks.apply(Delta('', '', tuple(changes[1:]))).is_ok()
