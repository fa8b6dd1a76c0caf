"""Keeps the hosts' parts of the limits that upstreams state."""

from collections.abc import Mapping

from egretmill import events
from egretmill.logs import log_event
from egretmill.peers.datagrams import LimitReport
from egretmill.placement.load import UpstreamLoad
from egretmill.placement.stated_limit import (
    RateStatement,
    StatedRate,
    announces_limit,
    host_rate_per_s,
)
from egretmill.shares.roster import FleetShare

__all__ = ('UpstreamLimits',)

#: The end of a limit is announced for this time, in seconds.
END_ANNOUNCED_S = 5.0


class UpstreamLimits:
    """Records what upstreams state and exchanges it with the other hosts."""

    def __init__(
        self, loads: Mapping[str, UpstreamLoad], share: FleetShare
    ) -> None:
        """Limit the requests to the upstreams of a pool."""
        self.loads = loads
        self.share = share
        #: Upstreams that state a limit, or whose limit has just ended.
        self.announced: dict[str, UpstreamLoad] = {}

    def record_answer(
        self, load: UpstreamLoad, rate: StatedRate, now: float
    ) -> None:
        """Record what an answer that has just arrived states."""
        self.record(load, RateStatement(rate, now), self.share.host, now)

    def record(
        self,
        load: UpstreamLoad,
        statement: RateStatement,
        source: str,
        now: float,
    ) -> None:
        """Record a statement; divide a changed rate anew.

        :param source: the host that got the answer or passed it on.
        """
        before = load.stated_limit.rate_per_s
        if not load.stated_limit.record(statement):
            return
        self.announced[load.record.name] = load
        self.divide(load, now)
        after = statement.rate.per_s
        if before is None or after is None:
            log_event(
                events.CATALOGUE.UPSTREAM_LIMITED,
                upstream=load.record.name,
                rate_per_s=after,
                before=before,
                host_rate_per_s=load.stated_limit.host_rate_per_s,
                source=source,
            )

    def divide(self, load: UpstreamLoad, now: float) -> None:
        """Set what this host may send to an upstream that states a limit."""
        statement = load.stated_limit.statement
        if statement is not None and statement.rate.per_s is not None:
            rate_per_s = host_rate_per_s(
                load.record.name, statement, self.share, now
            )
            load.stated_limit.set_host_rate(rate_per_s, now)

    def refresh(self, now: float) -> None:
        """Divide all rates anew; the roster may have changed."""
        self.announced = {
            name: load
            for name, load in self.announced.items()
            if self.loads.get(name) is load
            and _is_announced(load.stated_limit.statement, now)
        }
        for load in self.announced.values():
            self.divide(load, now)

    def announcements(self, now: float) -> dict[str, LimitReport]:
        """Return the statements that this host passes on, by upstream."""
        return {
            name: LimitReport(
                statement.rate.per_s,
                max(now - statement.stated_at, 0),
                load.record.incarnation,
            )
            for name, load in self.announced.items()
            if (statement := load.stated_limit.statement) is not None
            and announces_limit(name, self.share)
        }

    def apply_announcements(
        self, reports: Mapping[str, LimitReport], source: str, now: float
    ) -> None:
        """Record what another host has passed on."""
        for name, report in reports.items():
            load = self.loads.get(name)
            if load is None or load.record.incarnation != report.incarnation:
                continue
            statement = RateStatement(
                StatedRate(report.rate_per_s), now - report.age_s
            )
            self.record(load, statement, source, now)


def _is_announced(statement: RateStatement | None, now: float) -> bool:
    if statement is None:
        return False
    if statement.rate.per_s is not None:
        return True
    return now - statement.stated_at < END_ANNOUNCED_S
