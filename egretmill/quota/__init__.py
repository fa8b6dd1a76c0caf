"""Quotas of fleet-wide limits: owned shares, and loans between hosts.

A total is one fleet-wide limit: a rate or a number of requests in flight.
Each share slot owns a share of every total, and hosts lend each other parts
of their shares for a limited time.
"""

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
