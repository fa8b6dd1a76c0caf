"""Applies what the adapter reads from the store, and logs changes."""

import asyncio
from collections.abc import Callable

from egretmill import events
from egretmill.fleet.configuration import FleetConfiguration
from egretmill.fleet.freshness import STORE_SOURCE
from egretmill.fleet.upstreams import Removal, Upstream
from egretmill.host.upstream_changes import ChangeBuffer
from egretmill.host.state import HostState
from egretmill.logs import log_event
from egretmill.peers.datagrams import (
    LeavingUpstream,
    RemovedUpstream,
    UpstreamChanges,
)

__all__ = ('StateUpdater',)

#: Time for upstreams to register again after a store outage in which their
#: entries lapsed, in seconds; live ones return within it (letter of the users).
REREGISTRATION_S = 2.0


def ignore_changes(buffer: ChangeBuffer) -> None:
    """Ignore the changes."""


def ignore_leaving(upstream: LeavingUpstream) -> None:
    """Ignore an upstream that leaves."""


class StateUpdater:
    """Applies configuration, evacuations and upstreams to the host's state."""

    def __init__(self, state: HostState) -> None:
        """Update a state."""
        self.state = state
        #: Timers that remove upstreams whose entries lapsed in a store outage.
        self.removal_timers: dict[str, asyncio.TimerHandle] = {}
        self.outgoing_changes = ChangeBuffer(state.settings.name)
        #: Called after each response of the store.
        self.on_read: Callable[[ChangeBuffer], None] = ignore_changes
        #: Called when an answer to this host says that its sender leaves.
        self.on_leaving: Callable[[LeavingUpstream], None] = ignore_leaving
        state.on_leaving = self.record_own_answer

    def apply_configuration(self, configuration: FleetConfiguration) -> None:
        """Apply a version of the configuration."""
        before = self.state.view.version
        freshness = self.state.view.configuration_freshness
        age_s = self.state.view.configuration_age_s()
        if self.state.apply_configuration(configuration):
            log_event(
                events.CATALOGUE.CONFIGURATION_APPLIED,
                version=configuration.version,
                before=before,
                before_age_s=round(age_s, 3),
                before_confirmed_by=freshness.source,
                before_stated_age_s=round(freshness.stated_age_s, 3),
                accounts=len(configuration.accounts()),
                services=len(configuration.services),
            )
        elif configuration.version < before:
            log_event(
                events.CATALOGUE.CONFIGURATION_REJECTED,
                version=configuration.version,
                before=before,
                detail='older than the version in force',
            )

    def apply_evacuations(self, domains: frozenset[str]) -> None:
        """Apply the set of failure domains whose upstreams get no requests."""
        before = self.state.view.evacuated
        changed = self.state.view.apply_evacuations(domains)
        if not changed:
            return
        now = self.state.now()
        for domain in before - domains:
            self.state.pool.readmit(domain, now)
        log_event(
            events.CATALOGUE.EVACUATIONS_CHANGED,
            evacuated=sorted(domains),
            before=sorted(before),
        )

    def put_upstream(
        self, upstream: Upstream, source: str = STORE_SOURCE
    ) -> None:
        """Apply the record of an upstream, unless it is outdated.

        :param source: the store, or the host that sent the record.
        """
        if not self.state.view.upstreams.accepts(upstream):
            log_event(
                events.CATALOGUE.UPSTREAM_RECORD_IGNORED,
                upstream=upstream.name,
                state=upstream.state.value,
                incarnation=upstream.incarnation,
                beat=upstream.beat,
                version=upstream.version,
                source=source,
            )
            return
        timer = self.removal_timers.pop(upstream.name, None)
        if timer is not None:
            timer.cancel()
        upstream = self.state.view.upstreams.keep_leaving(upstream)
        before = self.state.view.put_upstream(upstream)
        is_same = _is_same(before, upstream)
        if source != STORE_SOURCE:
            self.outgoing_changes.discard(upstream.name)
        elif upstream.cold_s > 0 or not is_same:
            # The end of a cold start can move, which the others need to know.
            self.outgoing_changes.add_changed(upstream)
        if is_same:
            return
        log_event(
            events.CATALOGUE.UPSTREAM_CHANGED,
            upstream=upstream.name,
            service=upstream.service,
            domain=upstream.failure_domain,
            state=upstream.state.value,
            incarnation=upstream.incarnation,
            beat=upstream.beat,
            version=upstream.version,
            cold_s=upstream.cold_s,
            source=source,
        )

    def record_own_answer(self, upstream: Upstream) -> None:
        """Record an answer to this host which says that its sender leaves.

        :param upstream: record by which the request was sent.
        """
        if self.record_leaving(upstream.name, upstream.incarnation, 'answer'):
            self.on_leaving(
                LeavingUpstream(upstream.name, upstream.incarnation)
            )

    def record_peer_answer(
        self, leaving: LeavingUpstream, address: tuple[str, int]
    ) -> None:
        """Record an upstream that has told a peer that it is leaving."""
        self.record_leaving(leaving.name, leaving.incarnation, address[0])

    def record_leaving(self, name: str, incarnation: int, source: str) -> bool:
        """Send nothing more to an incarnation that says that it is leaving.

        :param source: an answer, or the host that got one.
        :return: whether this is news.
        """
        record = self.state.view.record_leaving(name, incarnation)
        if record is None:
            return False
        self.state.pool.close_idle(name)
        self.state.metrics.leaving.labels(record.service).inc()
        log_event(
            events.CATALOGUE.UPSTREAM_LEAVING,
            upstream=name,
            service=record.service,
            incarnation=incarnation,
            beat=record.beat,
            source=source,
        )
        return True

    def handle_missing_upstream(
        self, name: str, version: int, returned_at: float
    ) -> None:
        """Remove an upstream whose entry is missing.

        :param version: store version as of which it is.
        :param returned_at: when the store was back after an outage; upstreams
            whose entries lapsed meanwhile get time to register again.
        """
        left_s = returned_at + REREGISTRATION_S - self.state.now()
        if left_s <= 0:
            self.remove_upstream(name, version)
        elif name not in self.removal_timers:
            loop = asyncio.get_running_loop()
            self.removal_timers[name] = loop.call_later(
                left_s, self.remove_lapsed_upstream, name, version
            )

    def remove_lapsed_upstream(self, name: str, version: int) -> None:
        """Remove an upstream that has not returned; tell the peers."""
        self.remove_upstream(name, version)
        self.on_read(self.outgoing_changes)

    def handle_missing_upstreams(
        self,
        present: frozenset[str],
        version: int,
        returned_at: float,
    ) -> None:
        """Remove the upstreams that a full read of the table lacks."""
        current = self.state.view.upstreams.by_name
        for name in tuple(current.keys() - present):
            self.handle_missing_upstream(name, version, returned_at)

    def record_lapsed_upstream(self, upstream: Upstream, version: int) -> None:
        """Record an upstream that was removed before this host knew of it.

        :param version: store version of the removal.
        """
        upstreams = self.state.view.upstreams
        if upstream.name not in upstreams.by_name and upstreams.accepts(
            upstream
        ):
            upstreams.record_removal(
                upstream.name, Removal.of(upstream, version)
            )

    def remove_upstream(
        self, name: str, version: int, source: str = STORE_SOURCE
    ) -> None:
        """Remove an upstream.

        :param version: store version as of which it is not registered.
        """
        current = self.state.view.upstreams.by_name.get(name)
        if current is not None and 0 < version < current.version:
            # A peer has sent a newer record than the read that lacks it.
            return
        timer = self.removal_timers.pop(name, None)
        if timer is not None:
            timer.cancel()
        dropped = self.state.view.upstreams.remove(name, version)
        if dropped is None:
            return
        self.state.remove_upstream(dropped)
        if source == STORE_SOURCE:
            self.outgoing_changes.add_removed(dropped, version)
        else:
            self.outgoing_changes.discard(name)
        log_event(
            events.CATALOGUE.UPSTREAM_CHANGED,
            upstream=name,
            service=dropped.service,
            domain=dropped.failure_domain,
            state='gone',
            incarnation=dropped.incarnation,
            beat=dropped.beat,
            version=version,
            source=source,
        )

    def apply_changes(self, changes: UpstreamChanges) -> None:
        """Apply changes from a designated reader, unless they are outdated."""
        if not self.outgoing_changes.is_newer(changes):
            return
        is_newer = self.outgoing_changes.is_newer_record
        for upstream in filter(is_newer, changes.changed):
            self.put_upstream(upstream, changes.host)
        for removed in filter(is_newer, changes.gone):
            self.apply_removal(removed, changes.host)

    def apply_removal(self, removed: RemovedUpstream, source: str) -> None:
        """Apply a removal that a peer has sent, unless it is outdated."""
        upstreams = self.state.view.upstreams
        current = upstreams.by_name.get(removed.name)
        if current is None:
            upstreams.record_removal(removed.name, removed.removal)
        elif not removed.removal.precedes(current):
            self.remove_upstream(removed.name, removed.version, source)

    def record_malformed_row(self, table: str, key: str, detail: str) -> None:
        """Log and count a row that could not be decoded."""
        self.state.metrics.malformed.labels(table).inc()
        log_event(
            events.CATALOGUE.ROW_MALFORMED,
            table=table,
            key=key,
            detail=detail,
        )


def _is_same(before: Upstream | None, upstream: Upstream) -> bool:
    if before is None:
        return False
    same_state = before.state is upstream.state
    same_cold = bool(before.cold_s) == bool(upstream.cold_s)
    return same_state and same_cold and before.identity == upstream.identity
