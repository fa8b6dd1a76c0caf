"""Parts of fleet-wide limits that one host holds: pure decisions."""

from egretmill.shares.accounts import AccountLimits, Limited
from egretmill.shares.loans import LoanBook, Shortage
from egretmill.shares.roster import FleetShare

__all__ = ('AccountLimits', 'FleetShare', 'Limited', 'LoanBook', 'Shortage')
