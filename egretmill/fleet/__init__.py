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
from egretmill.fleet.view import FleetView
from egretmill.fleet.upstreams import Upstream, UpstreamList, UpstreamState

__all__ = (
    'ClientAccount',
    'Destination',
    'FleetConfiguration',
    'FleetView',
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
