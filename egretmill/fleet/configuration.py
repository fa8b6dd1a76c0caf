"""The fleet's configuration: routes, client accounts and services."""

import dataclasses
import enum
from collections.abc import Mapping

__all__ = (
    'ClientAccount',
    'Destination',
    'FleetConfiguration',
    'RequestLimits',
    'Route',
    'RouteKind',
    'Service',
)


class RouteKind(enum.StrEnum):
    """Whether a request may be sent to an upstream again."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    #: Large bodies; like ``ONCE``, runs at most once.
    UPLOAD = 'upload'


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that gets a fraction of a route's requests.

    :param weight: fraction relative to the route's other destinations.
    """

    service: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests under a path prefix of one authority.

    :param prefix: begins and ends with a slash.
    :param target_latency_s: responses should arrive within this time.
    :param timeout_s: longest time until the final answer.
    :param max_attempts: upstreams that one request may be sent to.
    :param priority: 0 is the most urgent.
    :param public: requests need no API key.
    :param home_regions: regions that may serve it; empty allows all.
    """

    name: str
    authority: str
    prefix: str
    kind: RouteKind
    destinations: tuple[Destination, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    sticky: bool = False
    home_regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its limit for the whole fleet.

    :param rate_per_s: requests per second, 0 for no limit.
    :param burst: requests beyond the rate.
    :param priority: overrides the route's priority; ``None`` when not set.
    :param home_regions: regions that may serve it; empty allows all.
    """

    name: str
    rate_per_s: float = 0
    burst: float = 0
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()

    @property
    def is_limited(self) -> bool:
        """Return whether the account has a rate limit."""
        return self.rate_per_s > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with the limits of its upstreams.

    :param cold_start_s: an upstream is cold for this time after a start.
    :param cold_per_s: requests per second that a cold upstream can serve.
    """

    name: str
    max_connections: int = 0
    cold_start_s: float = 0
    cold_per_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_s: float = 3
    idle_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the configuration; versions only increase.

    :param routes: by authority, the longest prefix first.
    :param account_by_key: client accounts by API key.
    :param requires_keys: whether requests need an API key; those of public
        routes never do.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    account_by_key: Mapping[str, ClientAccount]
    services: Mapping[str, Service]
    limits: RequestLimits = RequestLimits()
    requires_keys: bool = True

    def match(self, authority: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self.routes.get(authority, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def accounts(self) -> Mapping[str, ClientAccount]:
        """Return the client accounts by name."""
        return {
            account.name: account for account in self.account_by_key.values()
        }
