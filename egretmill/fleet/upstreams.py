"""Registered upstreams and, by service, those that may get requests."""

import dataclasses
import enum
from collections.abc import Mapping

import xxhash

from egretmill.tables.versions import era_of, is_later_in_era

__all__ = ('Removal', 'Upstream', 'UpstreamList', 'UpstreamState')

#: Removals to remember. Late reports of older ones no longer arrive.
MAX_REMOVALS = 4096


class UpstreamState(enum.StrEnum):
    """State that an upstream reports for itself."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream as it registered itself.

    Hosts send it to each other, so its field names are part of the protocol.

    :param incarnation: differs after each start, also under the same name.
    :param beat: sequence number of the last report of this incarnation.
    :param cold_s: seconds until it can serve its full load.
    :param version: store version of this record, 0 if it is not known.
    """

    name: str
    incarnation: int
    service: str
    address: str
    port: int
    failure_domain: str
    region: str
    slots: int
    state: UpstreamState = UpstreamState.READY
    beat: int = 0
    cold_s: float = 0
    version: int = 0

    @property
    def is_leaving(self) -> bool:
        """Return whether it is shutting down and must get no new requests."""
        return self.state is UpstreamState.LEAVING

    @property
    def identity(self) -> tuple[object, ...]:
        """Return the fields that change only when the process is replaced."""
        return (self.name, self.incarnation, self.address, self.port)


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Last report of an upstream that is no longer registered.

    :param version: store version as of which it was not registered, 0 if it
        is not known.
    :param is_leaving: this incarnation has said that it is leaving.
    """

    incarnation: int
    beat: int
    version: int = 0
    is_leaving: bool = False

    @classmethod
    def of(cls, upstream: Upstream, version: int) -> 'Removal':
        """Return the removal of an upstream as of a store version."""
        return cls(
            upstream.incarnation, upstream.beat, version, upstream.is_leaving
        )

    def merged_with(self, known: 'Removal') -> 'Removal':
        """Return the newer of two removals, with what either says."""
        newest = known if self.precedes(known) else self
        if self.incarnation != known.incarnation:
            return newest
        is_leaving = self.is_leaving or known.is_leaving
        return dataclasses.replace(newest, is_leaving=is_leaving)

    def precedes(self, other: 'Upstream | Removal') -> bool:
        """Return whether a record or another removal is newer.

        Entries that lapsed while the store was away return under the same
        incarnation.
        """
        if other.incarnation != self.incarnation:
            return other.incarnation > self.incarnation
        is_later = is_later_in_era(other.version, self.version)
        if is_later is None or not other.version or not self.version:
            return other.beat > self.beat
        return is_later


class UpstreamList:
    """All registered upstreams, by name and by service.

    :param generation: increases when the candidates of any service change.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.by_name: dict[str, Upstream] = {}
        self.by_service: dict[str, tuple[Upstream, ...]] = {}
        self.generation = 0
        #: Removed upstreams by name, those removed first come first.
        self.removals: dict[str, Removal] = {}
        self.cached_digest: int | None = None

    @property
    def digest(self) -> int:
        """Return a digest for comparing this list with those of other hosts.

        Reports that do not affect placement leave it unchanged.
        """
        if self.cached_digest is None:
            rows = sorted(map(_fingerprint, self.by_name.values()))
            text = '\n'.join(rows)
            self.cached_digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1
        return self.cached_digest

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether a record is as new as what is known."""
        current = self.by_name.get(upstream.name)
        if current is not None:
            return not _is_outdated(upstream, current)
        removal = self.removals.get(upstream.name)
        return removal is None or removal.precedes(upstream)

    def put(self, upstream: Upstream) -> Upstream | None:
        """Add or replace an upstream; return the previous record.

        A record that is not accepted is ignored.
        """
        current = self.by_name.get(upstream.name)
        if not self.accepts(upstream):
            return current
        upstream = self.keep_leaving(upstream)
        self.removals.pop(upstream.name, None)
        self.by_name[upstream.name] = upstream
        if current is None or _fingerprint(current) != _fingerprint(upstream):
            self.cached_digest = None
        if current is None or _placement_fields(current) != _placement_fields(
            upstream
        ):
            self._rebuild_candidates(
                {upstream.service, current and current.service}
            )
        return current

    def keep_leaving(self, upstream: Upstream) -> Upstream:
        """Return a record with what its incarnation has said of its leaving.

        It does not take that back, whatever the store or other hosts report.
        """
        known = self.by_name.get(upstream.name) or self.removals.get(
            upstream.name
        )
        if known is None or known.incarnation != upstream.incarnation:
            return upstream
        if not known.is_leaving or upstream.is_leaving:
            return upstream
        return dataclasses.replace(upstream, state=UpstreamState.LEAVING)

    def record_leaving(self, name: str, incarnation: int) -> Upstream | None:
        """Record that an incarnation has said that it is leaving.

        :return: its record before, if that is registered and not leaving yet.
        """
        current = self.by_name.get(name)
        if current is not None and current.incarnation == incarnation:
            if current.is_leaving:
                return None
            self.put(dataclasses.replace(current, state=UpstreamState.LEAVING))
            return current
        if current is None:
            removal = self.removals.get(name)
            if removal is None or removal.incarnation != incarnation:
                removal = Removal(incarnation, 0)
            self.record_removal(
                name, dataclasses.replace(removal, is_leaving=True)
            )
        return None

    def remove(self, name: str, version: int = 0) -> Upstream | None:
        """Remove an upstream that is no longer registered.

        :param version: store version as of which it is not.
        """
        current = self.by_name.pop(name, None)
        if current is not None:
            self.cached_digest = None
            self.record_removal(name, Removal.of(current, version))
            self._rebuild_candidates({current.service})
        return current

    def record_removal(self, name: str, removal: Removal) -> None:
        """Remember the newest removal of an upstream."""
        known = self.removals.pop(name, None)
        if known is not None:
            removal = removal.merged_with(known)
        self.removals[name] = removal
        if len(self.removals) > MAX_REMOVALS:
            self.removals.pop(next(iter(self.removals)))

    def forget_removals(self, era: int) -> None:
        """Forget removals before an era of the store.

        An entry that the store still has when its writers have written
        again is not removed. What an incarnation has said of its leaving holds.
        """
        self.removals = {
            name: removal
            for name, removal in self.removals.items()
            if removal.is_leaving or era_of(removal.version) >= era
        }

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may get requests."""
        return self.by_service.get(service, ())

    def regions(self) -> Mapping[str, str]:
        """Return the region of each failure domain with upstreams."""
        return {
            upstream.failure_domain: upstream.region
            for upstream in self.by_name.values()
        }

    def _rebuild_candidates(self, services: set[str | None]) -> None:
        self.generation += 1
        for service in services:
            if service is None:
                continue
            self.by_service[service] = tuple(
                upstream
                for upstream in sorted(
                    self.by_name.values(),
                    key=_name_of,
                )
                if upstream.service == service and not upstream.is_leaving
            )


def _name_of(upstream: Upstream) -> str:
    return upstream.name


def _placement_fields(upstream: Upstream) -> tuple[object, ...]:
    return (
        *upstream.identity,
        upstream.service,
        upstream.failure_domain,
        upstream.slots,
        upstream.state,
    )


def _fingerprint(upstream: Upstream) -> str:
    fields = (*_placement_fields(upstream), upstream.cold_s > 0)
    return '/'.join(map(str, fields))


def _is_outdated(upstream: Upstream, current: Upstream) -> bool:
    if upstream.incarnation != current.incarnation:
        return upstream.incarnation < current.incarnation
    if upstream.beat != current.beat:
        return upstream.beat < current.beat
    return upstream.version < current.version
