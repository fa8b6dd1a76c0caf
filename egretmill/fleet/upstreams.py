"""Records of upstreams and the list of those that may get requests."""

import dataclasses
import enum
from collections.abc import Iterable, Iterator, Mapping

import xxhash

__all__ = ('Upstream', 'UpstreamList', 'UpstreamState')


class UpstreamState(enum.StrEnum):
    """What an upstream says of itself."""

    READY = 'ready'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream as it registered itself.

    :param incarnation: differs after each start, also under the same name.
    :param beat: number of the last report of this incarnation.
    :param cold_s: time left until it bears its full load, in seconds.
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

    @property
    def leaving(self) -> bool:
        """Tell whether it must get no new work."""
        return self.state is UpstreamState.LEAVING

    @property
    def identity(self) -> tuple[object, ...]:
        """Return what stays the same until the process is replaced."""
        return (self.name, self.incarnation, self.address, self.port)


class UpstreamList:
    """All registered upstreams, by name and by service.

    :param edition: changes when the candidates of some service change.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.by_name: dict[str, Upstream] = {}
        self.by_service: dict[str, tuple[Upstream, ...]] = {}
        self.edition = 0
        #: Newest incarnation of names that are not registered any more.
        self.retired: dict[str, int] = {}
        self.known_digest: int | None = None

    @property
    def digest(self) -> int:
        """Return what equal lists on other hosts have in common.

        Reports that change nothing for placement do not change it.
        """
        if self.known_digest is None:
            rows = sorted(map(_fingerprint, self.by_name.values()))
            text = '\n'.join(rows)
            self.known_digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1
        return self.known_digest

    def put(self, upstream: Upstream) -> Upstream | None:
        """Add or replace an upstream; return the record before.

        A report that was overtaken by a newer one changes nothing.
        """
        known = self.by_name.get(upstream.name)
        if known is not None and _is_older(upstream, known):
            return known
        if upstream.incarnation < self.retired.get(upstream.name, 0):
            return None
        self.by_name[upstream.name] = upstream
        if known is None or _fingerprint(known) != _fingerprint(upstream):
            self.known_digest = None
        if known is None or _candidacy(known) != _candidacy(upstream):
            self._regroup({upstream.service, known and known.service})
        return known

    def drop(self, name: str) -> Upstream | None:
        """Remove an upstream that is not registered any more."""
        known = self.by_name.pop(name, None)
        if known is not None:
            self.known_digest = None
            self.retired[name] = known.incarnation
            self._regroup({known.service})
        return known

    def keep_only(self, names: Iterable[str]) -> Iterator[Upstream]:
        """Remove and yield the upstreams that are not named."""
        for name in set(self.by_name).difference(names):
            dropped = self.drop(name)
            if dropped is not None:
                yield dropped

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may get requests."""
        return self.by_service.get(service, ())

    def regions(self) -> Mapping[str, str]:
        """Return the region of each failure domain with upstreams."""
        return {
            upstream.failure_domain: upstream.region
            for upstream in self.by_name.values()
        }

    def _regroup(self, services: set[str | None]) -> None:
        self.edition += 1
        for service in services:
            if service is None:
                continue
            self.by_service[service] = tuple(
                upstream
                for upstream in sorted(
                    self.by_name.values(),
                    key=_name,
                )
                if upstream.service == service and not upstream.leaving
            )


def _name(upstream: Upstream) -> str:
    return upstream.name


def _candidacy(upstream: Upstream) -> tuple[object, ...]:
    return (
        *upstream.identity,
        upstream.service,
        upstream.failure_domain,
        upstream.slots,
        upstream.state,
    )


def _fingerprint(upstream: Upstream) -> str:
    fields = (*_candidacy(upstream), upstream.cold_s > 0)
    return '/'.join(map(str, fields))


def _is_older(upstream: Upstream, known: Upstream) -> bool:
    if upstream.incarnation != known.incarnation:
        return upstream.incarnation < known.incarnation
    return upstream.beat < known.beat
