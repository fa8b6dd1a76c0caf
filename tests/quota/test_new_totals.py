"""Totals that are missing in the version of an unreachable holder."""

from egretmill.document import Environment
from egretmill.quota.holdings import Holdings, Taken
from egretmill.wire.messages import ShareSlot

HEAD = """
regions = [{ name = "region-a" }]
failure_domains = [{ name = "domain-a", region = "region-a", share_slots = 2 }]
sites = [{ name = "site-a", failure_domain = "domain-a" }]
services = [{ name = "board", sites = ["site-a"] }]
routes = [{ path = "/board", service = "board", methods = ["GET"] }]
"""


def environment(version: int, *accounts: str) -> Environment:
    """Return a version with client accounts of rate 10 and burst 10."""
    rows = ', '.join(
        f'{{ name = "{name}", rate_per_s = 10, burst = 10 }}'
        for name in accounts
    )
    body = f'{HEAD}accounts = [{rows}]\n'.encode()
    return Environment.from_bytes(body, version=version).unwrap()


def apply(holdings: Holdings, version: Environment, settled: int, now: float):
    """Apply a version on the host that holds slot 0."""
    slot = ShareSlot(0, 2, lease_until_at=1000.0, acquired_at=0.0)
    holdings.apply(version, (), slot, settled, now)


def test_new_account_is_served_while_a_holder_is_unreachable():
    """Guards against 70 min without service for a new client account.

    That is the lease of an unreachable holder of the older version.
    """
    holdings = Holdings('host-1', 1)
    apply(holdings, environment(1, 'old'), 1, 1.0)
    apply(holdings, environment(2, 'old', 'new'), 1, 10.0)
    assert isinstance(holdings.try_take('account/new', 1, 12.0), Taken)


def test_readmitted_account_waits_for_the_unreachable_holder():
    """Guards against using two divisions of one total at once (P4)."""
    holdings = Holdings('host-1', 1)
    apply(holdings, environment(1, 'old'), 1, 1.0)
    apply(holdings, environment(2), 1, 10.0)
    apply(holdings, environment(3, 'old'), 1, 20.0)
    share = holdings.ownership.share('account/old', 30.0)
    assert int(share.capacity) == 5
