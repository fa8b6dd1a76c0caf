"""Fleet-wide limits: owned shares, loans and what a host holds of them."""

from egretmill.quota.holdings import Holdings, Refused, Taken
from egretmill.quota.policy import Policy
from egretmill.quota.totals import ConcurrencyTotal, RateTotal, Totals

__all__ = (
    'ConcurrencyTotal',
    'Holdings',
    'Policy',
    'RateTotal',
    'Refused',
    'Taken',
    'Totals',
)
