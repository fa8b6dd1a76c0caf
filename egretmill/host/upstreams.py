"""Loads and kept connections of all upstreams."""

import collections
from collections.abc import Mapping

from result import Ok, Result

from egretmill.fleet.configuration import Service
from egretmill.fleet.knowledge import Knowledge
from egretmill.fleet.upstreams import Upstream
from egretmill.http1 import CallFailure, ClientConnection, connect
from egretmill.placement.load import UpstreamLoad
from egretmill.placement.rendezvous import rendezvous_order
from egretmill.shares.roster import FleetShare, owners_of

__all__ = ('UpstreamPool',)

#: Orders that are kept; one for each object in use.
ORDERS_KEPT = 4096
#: Hosts that share the rate of one cold upstream: more hosts would own less
#: than one request per second each.
COLD_OWNERS = 4
#: Kept connections per upstream.
IDLE_LIMIT = 8
#: A connection is used again up to this time before the timeout that the
#: upstream states, in seconds.
IDLE_MARGIN_S = 1.0

OrderKey = tuple[str, str, frozenset[str], bool]


class UpstreamPool:
    """State of each upstream that this host knows."""

    def __init__(
        self,
        knowledge: Knowledge,
        share: FleetShare,
        failure_domain: str,
        region: str,
    ) -> None:
        """Start without upstreams, for a host at a place."""
        self.knowledge = knowledge
        self.share = share
        self.failure_domain = failure_domain
        self.region = region
        self.loads: dict[str, UpstreamLoad] = {}
        self.services: Mapping[str, Service] = {}
        self.idle: dict[str, collections.deque[ClientConnection]] = {}
        self.orders: dict[OrderKey, tuple[UpstreamLoad, ...]] = {}
        self.edition = -1

    def update(self, upstream: Upstream, before: Upstream | None) -> None:
        """Take over a record; a new incarnation starts anew."""
        load = self.loads.get(upstream.name)
        if load is None:
            load = UpstreamLoad(upstream)
            self.loads[upstream.name] = load
        elif load.record.identity != upstream.identity:
            load.restart(upstream)
            self.close_idle(upstream.name)
        load.record = upstream
        self._update_cold(load, upstream)

    def apply_services(self, services: Mapping[str, Service]) -> None:
        """Take over what the upstreams of each service bear."""
        self.services = services

    def forget(self, upstream: Upstream) -> None:
        """Drop an upstream that is not registered any more."""
        self.loads.pop(upstream.name, None)
        self.close_idle(upstream.name)

    def readmit(self, domain: str, now: float) -> None:
        """Treat the upstreams of a failure domain as cold.

        Nothing was sent to them while the domain was evacuated.
        """
        for load in self.loads.values():
            if load.record.failure_domain == domain:
                self.suspect_cold(load, now)

    def suspect_cold(self, load: UpstreamLoad, now: float) -> None:
        """Treat an upstream as cold until its start must be over."""
        service = self.services.get(load.record.service)
        if service is not None and service.cold_per_s:
            load.cold_at_beat = load.record.beat
            load.slow_start.mark_cold(now + service.cold_start_s, now)
            load.slow_start.set_rate(self.cold_rate(load.record, service))

    def cold_rate(self, upstream: Upstream, service: Service) -> float:
        """Return the requests per second that this host may send it."""
        owners = owners_of(upstream.name, COLD_OWNERS, self.share.members)
        if self.share.host not in owners:
            return 0
        return service.cold_per_s / len(owners)

    def order(
        self,
        service: str,
        object_key: str,
        home_regions: frozenset[str],
        *,
        near_first: bool = False,
    ) -> tuple[UpstreamLoad, ...]:
        """Return the upstreams that may run a request, the best first.

        :param home_regions: regions that may run it; empty allows all.
        :param near_first: upstreams of the host's failure domain come first,
            then those of its region; for large bodies.
        """
        edition = self.knowledge.upstreams.edition
        if edition != self.edition or len(self.orders) > ORDERS_KEPT:
            self.orders.clear()
            self.edition = edition
        key = (service, object_key, home_regions, near_first)
        found = self.orders.get(key)
        if found is None:
            found = self._compute_order(key)
            self.orders[key] = found
        return found

    async def acquire(
        self,
        load: UpstreamLoad,
        now: float,
        limit_s: float,
        idle_limit_s: float,
    ) -> Result[ClientConnection, CallFailure]:
        """Return a kept connection or a new one.

        :param limit_s: longest time for a new one, in seconds.
        :param idle_limit_s: longest idle time of a kept one, in seconds.
        """
        kept = self.idle.get(load.record.name)
        while kept:
            connection = kept.pop()
            if not connection.is_usable:
                continue
            if _fresh(connection, now, idle_limit_s):
                return Ok(connection)
            connection.abort()
        record = load.record
        opened = await connect(record.address, record.port, limit_s)
        return opened

    def release(self, load: UpstreamLoad, connection: ClientConnection) -> None:
        """Keep a connection for the next request."""
        if not connection.is_usable:
            return
        known = self.loads.get(load.record.name)
        if known is not load or load.record.leaving:
            connection.abort()
            return
        kept = self.idle.setdefault(load.record.name, collections.deque())
        kept.append(connection)
        if len(kept) > IDLE_LIMIT:
            kept.popleft().abort()

    def close_idle(self, name: str) -> None:
        """Close the kept connections of an upstream."""
        for connection in self.idle.pop(name, ()):
            connection.abort()

    def _compute_order(self, key: OrderKey) -> tuple[UpstreamLoad, ...]:
        service, object_key, home_regions, near_first = key
        evacuated = self.knowledge.evacuated
        allowed = [
            upstream
            for upstream in self.knowledge.upstreams.candidates(service)
            if upstream.failure_domain not in evacuated
            and (not home_regions or upstream.region in home_regions)
        ]
        ordered = rendezvous_order(object_key, allowed)
        if near_first:
            ordered = tuple(sorted(ordered, key=self._distance))
        return tuple(self.loads[upstream.name] for upstream in ordered)

    def _distance(self, upstream: Upstream) -> int:
        if upstream.failure_domain == self.failure_domain:
            return 0
        return 1 if upstream.region == self.region else 2

    def _update_cold(self, load: UpstreamLoad, upstream: Upstream) -> None:
        service = self.services.get(upstream.service)
        now = self.knowledge.now()
        if upstream.cold_s <= 0:
            if (
                load.slow_start.cold_until
                and upstream.beat > load.cold_at_beat + 1
            ):
                load.slow_start.mark_warm()
            return
        if service is not None and service.cold_per_s:
            load.slow_start.mark_cold(now + upstream.cold_s, now)
            load.slow_start.set_rate(self.cold_rate(upstream, service))


def _fresh(
    connection: ClientConnection,
    now: float,
    idle_limit_s: float,
) -> bool:
    idle_s = now - connection.idle_since
    if connection.keep_alive_s is not None:
        idle_limit_s = min(
            idle_limit_s, connection.keep_alive_s - IDLE_MARGIN_S
        )
    return idle_s <= idle_limit_s
