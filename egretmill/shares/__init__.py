"""One host's fractions of fleet-wide limits, as logic without I/O."""

from egretmill.shares.accounts import AccountLimits, Limited
from egretmill.shares.loans import LoanBook, Shortage
from egretmill.shares.roster import FleetShare

__all__ = ('AccountLimits', 'FleetShare', 'Limited', 'LoanBook', 'Shortage')
