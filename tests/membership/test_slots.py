"""Decisions from the row of share slots."""

import pytest

from egretmill.document.model import FailureDomain
from egretmill.membership import slots

LAYOUT = slots.SlotLayout('south', 3, 2, 9)
OWN = slots.Holder('a', '10.0.0.1', 5)
LEASE_S = 100


def held(index, name, incarnation=1, renewal=1):
    """Return a slot of a host whose address follows from its name."""
    address = {'a': '10.0.0.1', 'b': '10.0.0.2', 'c': '10.0.0.3'}[name]
    return slots.Slot(index, name, address, incarnation, renewal, LEASE_S, 'x')


def plan(row, seen=None, now=0):
    """Return the planned index and reason."""
    slot, reason = slots.plan(
        row,
        OWN,
        LAYOUT,
        seen or slots.Observations(),
        now,
    )
    return (slot.index if slot else None), reason


@pytest.mark.parametrize(
    ('taken', 'expected'),
    [
        ((), (0, 'free')),
        ((held(0, 'b'),), (1, 'free')),
        ((held(0, 'b'), held(1, 'a', 5)), (1, 'renew')),
        ((held(0, 'b'), held(1, 'a', 4)), (1, 'same_address')),
        ((held(1, 'a', 4),), (1, 'same_address')),
        ((held(0, 'b'), held(1, 'c')), (None, 'waiting')),
        ((held(0, 'b'), held(1, 'a', 6)), (None, 'waiting')),
        ((held(2, 'a', 5), held(0, 'b')), (1, 'free')),
    ],
    ids=str,
)
def test_plan(taken, expected):
    """Guards against taking a slot whose holder is not proven gone."""
    assert plan(slots.SlotRow(taken)) == expected


def test_expired_slot_is_taken_after_lease_and_margin():
    """Guards against a takeover while the holder may use the slot."""
    row = slots.SlotRow((held(0, 'b'), held(1, 'c')))
    seen = slots.Observations()
    seen.observe(row, 10)
    renewed = slots.SlotRow((held(0, 'b'), held(1, 'c', renewal=2)))
    seen.observe(renewed, 60)
    due = 10 + LEASE_S * 1.001 + 1
    assert plan(renewed, seen, due - 0.01) == (None, 'waiting')
    assert plan(renewed, seen, due) == (0, 'expired')
    changed = slots.SlotRow((held(0, 'b', renewal=2), held(1, 'c', renewal=2)))
    assert plan(changed, seen, due) == (None, 'waiting')


def test_longer_lease_of_the_holder_counts():
    """Guards against a takeover by a document with a shorter lease."""
    row = slots.SlotRow((held(0, 'b'),))
    seen = slots.Observations()
    seen.observe(row, 0)
    assert not seen.expired(row.slots[0], LEASE_S)


def test_retire_removes_all_slots_of_a_host():
    """Guards against a share that stays unused after `retire`."""
    row = slots.SlotRow((held(0, 'b'), held(1, 'a')))
    assert row.retired('b') == slots.SlotRow((held(1, 'a'),))


def test_layout_counts_in_document_order():
    """Guards against two failure domains with one global index."""

    class Document:
        failure_domains = (
            FailureDomain('north', 'r1', 3),
            FailureDomain('south', 'r1', 2),
            FailureDomain('west', 'r2', 4),
        )

    assert slots.layout_of(Document, 'south') == slots.SlotLayout(
        'south', 3, 2, 9
    )
    assert slots.layout_of(Document, 'west') == slots.SlotLayout(
        'west', 5, 4, 9
    )
    assert slots.layout_of(Document, 'none').count == 0


def test_row_is_decoded_or_refused():
    """Guards against an exception on a damaged row."""
    row = slots.SlotRow((held(0, 'b'),))
    assert slots.decode_row(slots.encode_row(row)).ok_value == row
    assert slots.decode_row('{"slots": [1]}').is_err()
