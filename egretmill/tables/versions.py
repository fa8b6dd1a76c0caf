"""Versions of a store that may come back from an older copy.

Such a return starts a new era, in which numbers of lost versions are given out
again. A version holds both: the higher bits are the era, the lower ones the
number. Versions of a later era are higher, whatever their numbers.
"""

__all__ = (
    'MAX_ERA',
    'MAX_NUMBER',
    'era_of',
    'is_later_in_era',
    'make_version',
    'number_of',
)

#: Bits of the number; an era of the store with 1,000 writes per second would
#: take 34 years to use them up.
NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
#: Versions fit into 63 bits, as in a signed integer of a message.
MAX_ERA = (1 << (63 - NUMBER_BITS)) - 1


def make_version(era: int, number: int) -> int:
    """Return the version with a number in an era."""
    return era << NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number of a version within its era."""
    return version & MAX_NUMBER


def is_later_in_era(version: int, other: int) -> bool | None:
    """Return whether a version is later than another one of the same era.

    ``None`` if the eras differ: a row of the copy, which is older, has a
    version of the later era as well.
    """
    if era_of(version) != era_of(other):
        return None
    return version > other
