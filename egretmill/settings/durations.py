"""Durations as text: a number and its unit, ``ms`` or ``s``."""

import re

__all__ = ('parse_duration',)

DURATION = re.compile(r'(?P<amount>\d+(?:\.\d+)?)(?P<unit>ms|s)')
MS_PER_S = 1000


def parse_duration(text: str) -> float:
    """Return a duration in seconds.

    :raises ValueError: when the text is no duration.
    """
    found = DURATION.fullmatch(text)
    if found is None:
        raise ValueError(f'{text!r} is no duration like 1500ms or 2.5s')
    amount = float(found['amount'])
    return amount / MS_PER_S if found['unit'] == 'ms' else amount
