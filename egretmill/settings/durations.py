"""Parsing of durations: a number with the unit ``ms`` or ``s``."""

import re

__all__ = ('parse_duration',)

DURATION = re.compile(r'(?P<amount>\d{1,12}(?:\.\d{1,12})?)(?P<unit>ms|s)')
MS_PER_S = 1000


def parse_duration(text: str) -> float:
    """Return a duration in seconds.

    :raises ValueError: the text is not a duration.
    """
    match = DURATION.fullmatch(text)
    if match is None:
        raise ValueError(f'{text!r} is no duration like 1500ms or 2.5s')
    amount = float(match['amount'])
    return amount / MS_PER_S if match['unit'] == 'ms' else amount
