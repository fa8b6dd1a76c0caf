"""Helpers: a small fleet with environment, upstreams and limits."""

import dataclasses
import random

from egretmill.document import Environment
from egretmill.routing import Router, UpstreamTable, get_policy
from egretmill.wire.messages import UpstreamRecord

DOCUMENT = """
regions = [{name = "north"}, {name = "south"}]
failure_domains = [
  {name = "n1", region = "north", share_slots = 1},
  {name = "n2", region = "north", share_slots = 1},
  {name = "s1", region = "south", share_slots = 1},
]
sites = [
  {name = "site-s1", failure_domain = "s1"},
  {name = "site-n2", failure_domain = "n2"},
  {name = "site-n1", failure_domain = "n1"},
]
services = [{name = "board", sites = ["site-s1", "site-n2", "site-n1"]}]
routes = []
"""
DOMAIN = 'n1'
LOCAL = 'site-n1'
NEAR = 'site-n2'
FAR = 'site-s1'
SITES = (LOCAL, NEAR, FAR)


def environment(*drains: tuple[str, str]) -> Environment:
    """Return the environment with planned drains (kind, name)."""
    rows = ''.join(
        f'\n[[drains]]\nkind = "{kind}"\nname = "{name}"\n'
        for kind, name in drains
    )
    return Environment.from_bytes(f'{DOCUMENT}{rows}'.encode()).unwrap()


def record(
    name: str,
    site: str = LOCAL,
    slots: int = 4,
    state: str = 'live',
    port: int = 1,
) -> UpstreamRecord:
    """Return an upstream of the service ``board``."""
    address = '127.0.0.1'
    return UpstreamRecord(name, 'board', site, address, port, slots, 300, state)


def records(per_site: int = 3) -> tuple[UpstreamRecord, ...]:
    """Return upstreams such as ``site-n1-0`` at all sites."""
    return tuple(
        record(f'{site}-{number}', site)
        for site in SITES
        for number in range(per_site)
    )


@dataclasses.dataclass
class FakeLimits:
    """Limits with a number of slots per site and switches for shifts."""

    table: UpstreamTable
    share: int = 8
    shares: dict[str, int] = dataclasses.field(default_factory=dict)
    shifts: float = float('inf')
    links: bool = True

    def free_slots(self, service: str, site: str, now: float) -> int:
        """Return the free slots of the share."""
        share = self.shares.get(site, self.share)
        return share - self.table.in_flight(service, site)

    def allows_shift(self, from_site: str, to_site: str, now: float) -> bool:
        """Return whether shifts are left."""
        return self.shifts >= 1

    def allows_link(self, from_region: str, to_region: str, now: float) -> bool:
        """Return whether links may be used."""
        return self.links


def router(table: UpstreamTable, policy: str = 'least-load-latency') -> Router:
    """Return a router of the host in ``n1`` with a fixed seed."""
    return Router(table, DOMAIN, get_policy(policy).unwrap(), random.Random(7))
