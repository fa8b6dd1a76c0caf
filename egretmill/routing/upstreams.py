"""Table of the upstreams that this host knows."""

import statistics
from collections.abc import Iterator

import msgspec

from egretmill.document import Environment
from egretmill.placement.health import SlowStart
from egretmill.placement.observations import Observation
from egretmill.routing.view import DrainSource, UpstreamView
from egretmill.wire.messages import UpstreamRecord

__all__ = ('UpstreamTable',)


class UpstreamTable:
    """Upstreams by name, updated by host list, load reports and outcomes.

    Names of upstreams are unique over all services. The upstreams of the
    first list count as warm, because they were probably in use before this
    host started; upstreams that are added later start cold.
    """

    def __init__(self) -> None:
        self.views: dict[str, UpstreamView] = {}
        self.index: dict[tuple[str, str], list[UpstreamView]] = {}
        self.has_initial_list = False

    def apply(
        self,
        environment: Environment,
        upstreams: tuple[UpstreamRecord, ...],
        now: float,
    ) -> None:
        """Apply a version of the document and of the host list."""
        listed = {record.name for record in upstreams}
        for record in upstreams:
            self._apply_record(environment, record, now)
        for name in set(self.views) - listed:
            self._remove(name)
        self.has_initial_list = self.has_initial_list or bool(upstreams)
        self.index.clear()
        # The rotation of a router needs the same order on every host.
        for _, view in sorted(self.views.items()):
            key = (view.record.service, view.record.site)
            self.index.setdefault(key, []).append(view)

    def upstreams_at(self, service: str, site: str) -> list[UpstreamView]:
        """Return the upstreams of a service at a site."""
        return self.index.get((service, site), [])

    def begin(self, upstream: str, now: float) -> None:
        """Record that a request is sent to an upstream."""
        view = self.views.get(upstream)
        if view is not None:
            view.begin(now)

    def finish(
        self,
        upstream: str,
        observation: Observation,
        now: float,
    ) -> None:
        """Record the end of a request; ignores unknown upstreams."""
        view = self.views.get(upstream)
        if view is not None:
            view.finish(observation, now)

    def record_report(
        self,
        upstream: str,
        running: int,
        draining: bool,
        received_at: float,
    ) -> None:
        """Record a load report; ``running`` counts all hosts."""
        view = self.views.get(upstream)
        if view is not None:
            view.record_report(running, received_at, draining=draining)

    def is_site_shedding(self, service: str, site: str, now: float) -> bool:
        """Return whether every upstream in use at a site sheds load."""
        in_use = [
            view
            for view in self.upstreams_at(service, site)
            if view.capacity(now)
        ]
        return bool(in_use) and all(view.is_shedding(now) for view in in_use)

    def in_flight(self, service: str, site: str) -> int:
        """Return this host's requests in flight at a site."""
        return sum(view.in_flight for view in self.upstreams_at(service, site))

    def expected_latency_s(self, service: str) -> float:
        """Return the mean latency of a service, 0 when unknown."""
        means = [
            view.latency.mean_s
            for view in self.views.values()
            if view.record.service == service and view.latency.mean_s
        ]
        return statistics.fmean(means) if means else 0

    def connection_limit(self, upstream: str) -> int:
        """Return this host's limit of connections, 0 if unknown."""
        view = self.views.get(upstream)
        return view.connection_limit if view else 0

    def draining(self) -> Iterator[tuple[str, frozenset[DrainSource]]]:
        """Yield the draining upstreams with the sources of their drains."""
        for name, view in self.views.items():
            if view.drains:
                yield name, frozenset(view.drains)

    def _remove(self, name: str) -> None:
        view = self.views[name]
        if not view.in_flight:
            self.views.pop(name)
            return
        # Kept until its requests end, so that they stay counted.
        view.record = msgspec.structs.replace(view.record, state='leaving')
        view.drains.add(DrainSource.HOST_LIST)

    def _apply_record(
        self,
        environment: Environment,
        record: UpstreamRecord,
        now: float,
    ) -> None:
        hosts = max(environment.share_slots, 1)
        limit = max(record.max_connections // hosts, 1)
        view = self.views.get(record.name)
        if view is None:
            view = UpstreamView(
                record, limit, slow_start=SlowStart(started_at=now)
            )
            self.views[record.name] = view
            if self.has_initial_list:
                view.slow_start.restart(now)
        elif _has_returned(view.record, record):
            view.reset(record, now)
        view.record = record
        view.connection_limit = limit
        _update_drains(view, environment, now)


def _has_returned(known: UpstreamRecord, record: UpstreamRecord) -> bool:
    if record.state == 'leaving':
        return False
    location = (record.service, record.site, record.address, record.port)
    known_location = (known.service, known.site, known.address, known.port)
    return known.state == 'leaving' or location != known_location


def _update_drains(
    view: UpstreamView,
    environment: Environment,
    now: float,
) -> None:
    record = view.record
    drained_by = {
        DrainSource.HOST_LIST: record.state == 'leaving',
        DrainSource.DOCUMENT: bool(
            {('upstream', record.name), ('site', record.site)}
            & environment.drained,
        ),
    }
    for source, drained in drained_by.items():
        if drained:
            view.drains.add(source)
        elif source in view.drains:
            view.drains.discard(source)
            view.slow_start.restart(now)
