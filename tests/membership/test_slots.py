"""Choice of a share slot from the row of a failure domain."""

import pytest

from egretmill.document.model import FailureDomain
from egretmill.membership import slots

LAYOUT = slots.SlotLayout('south', 3, 2, 9)
OWN = slots.Holder('a', '10.0.0.1', 5)
LEASE_S = 100


def held_slot(index, name, incarnation=1, renewal=1):
    """Return a held slot; the name of the host determines its address."""
    address = {'a': '10.0.0.1', 'b': '10.0.0.2', 'c': '10.0.0.3'}[name]
    return slots.Slot(index, name, address, incarnation, renewal, LEASE_S, 'x')


def chosen_slot(row, observations=None, now=0):
    """Return the chosen index and the reason."""
    slot, reason = slots.choose_slot(
        row,
        OWN,
        LAYOUT,
        observations or slots.SlotObservations(),
        now,
    )
    return (slot.index if slot else None), reason


@pytest.mark.parametrize(
    ('taken', 'expected'),
    [
        ((), (0, 'free')),
        ((held_slot(0, 'b'),), (1, 'free')),
        ((held_slot(0, 'b'), held_slot(1, 'a', 5)), (1, 'renew')),
        ((held_slot(0, 'b'), held_slot(1, 'a', 4)), (1, 'same_address')),
        ((held_slot(1, 'a', 4),), (1, 'same_address')),
        ((held_slot(0, 'b'), held_slot(1, 'c')), (None, 'waiting')),
        ((held_slot(0, 'b'), held_slot(1, 'a', 6)), (None, 'waiting')),
        ((held_slot(2, 'a', 5), held_slot(0, 'b')), (1, 'free')),
    ],
    ids=str,
)
def test_chosen_slot(taken, expected):
    """Guards against a takeover from a holder that may still run."""
    assert chosen_slot(slots.SlotRow(taken)) == expected


def test_expired_slot_is_taken_after_lease_and_margin():
    """Guards against a takeover while the holder may still use the slot."""
    row = slots.SlotRow((held_slot(0, 'b'), held_slot(1, 'c')))
    observations = slots.SlotObservations()
    observations.observe(row, 10)
    renewed = slots.SlotRow((held_slot(0, 'b'), held_slot(1, 'c', renewal=2)))
    observations.observe(renewed, 60)
    expires_at = 10 + LEASE_S * 1.001 + 1
    assert chosen_slot(renewed, observations, expires_at - 0.01) == (
        None,
        'waiting',
    )
    assert chosen_slot(renewed, observations, expires_at) == (0, 'expired')
    changed = slots.SlotRow(
        (held_slot(0, 'b', renewal=2), held_slot(1, 'c', renewal=2))
    )
    assert chosen_slot(changed, observations, expires_at) == (None, 'waiting')


def test_lease_duration_of_the_holder_counts():
    """Guards against a takeover by a host whose lease is shorter."""
    row = slots.SlotRow((held_slot(0, 'b'),))
    observations = slots.SlotObservations()
    observations.observe(row, 0)
    assert not observations.is_expired(row.slots[0], LEASE_S)


def test_retire_removes_all_slots_of_a_host():
    """Guards against a slot that stays held after `retire`."""
    row = slots.SlotRow((held_slot(0, 'b'), held_slot(1, 'a')))
    assert row.without_host('b') == slots.SlotRow((held_slot(1, 'a'),))


def test_layout_counts_in_document_order():
    """Guards against slots of two failure domains with the same index."""

    class Document:
        failure_domains = (
            FailureDomain('north', 'r1', 3),
            FailureDomain('south', 'r1', 2),
            FailureDomain('west', 'r2', 4),
        )

    assert slots.layout_for_domain(Document, 'south') == slots.SlotLayout(
        'south', 3, 2, 9
    )
    assert slots.layout_for_domain(Document, 'west') == slots.SlotLayout(
        'west', 5, 4, 9
    )
    assert slots.layout_for_domain(Document, 'none').count == 0


def test_row_is_decoded_or_rejected():
    """Guards against an exception on a malformed row."""
    row = slots.SlotRow((held_slot(0, 'b'),))
    assert slots.decode_row(slots.encode_row(row)).ok_value == row
    assert slots.decode_row('{"slots": [1]}').is_err()
