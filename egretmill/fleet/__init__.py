"""A host's copy of the fleet's state: configuration, upstreams, freshness."""

from egretmill.fleet.configuration import (
    ClientAccount,
    Destination,
    FleetConfiguration,
    RequestLimits,
    Route,
    RouteKind,
    Service,
)
from egretmill.fleet.freshness import Freshness, boot_time
from egretmill.fleet.knowledge import Knowledge
from egretmill.fleet.upstreams import Upstream, UpstreamList, UpstreamState

__all__ = (
    'ClientAccount',
    'Destination',
    'FleetConfiguration',
    'Knowledge',
    'Freshness',
    'RequestLimits',
    'Route',
    'RouteKind',
    'Service',
    'Upstream',
    'UpstreamList',
    'UpstreamState',
    'boot_time',
)
