"""What can go wrong while bytes are decoded that others have written."""

import ipaddress
from typing import Annotated

import msgspec

__all__ = (
    'DECODE_ERRORS',
    'MAX_COUNT',
    'Count',
    'Port',
    'parse_count',
    'parse_ipv4',
)

#: Errors of a decoder and of the checks after it. Deep nesting raises
#: :class:`RecursionError`, also in fields that are not used.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    KeyError,
    OverflowError,
)
#: Largest count in rows and messages; the largest signed integer of 64 bits,
#: as far as which messages between hosts can hold it.
MAX_COUNT = (1 << 63) - 1
#: Decimal digits up to which a header is taken for a number. Python refuses
#: to convert thousands of them.
MAX_DIGITS = 15

#: A field with no bound of its own.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


def parse_count(text: bytes) -> int | None:
    """Return a number in decimal digits, ``None`` for any other text."""
    digits = text.strip(b' \t')
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)


def parse_ipv4(text: str) -> str:
    """Return an address; names would be looked up at each use.

    :raises ValueError: when the text is no IPv4 address.
    """
    return str(ipaddress.IPv4Address(text))
