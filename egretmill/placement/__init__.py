"""Upstream selection and health tracking, without I/O."""

from egretmill.placement.choice import (
    NoCapacity,
    NoUpstream,
    SelectedUpstream,
    UpstreamSelector,
)
from egretmill.placement.slow_start import SlowStartLimit
from egretmill.placement.load import LoadReport, UpstreamLoad
from egretmill.placement.rendezvous import rendezvous_order
from egretmill.placement.round_trips import RoundTrips
from egretmill.placement.service_times import ServiceTimes
from egretmill.placement.urgency import UrgentWaits

__all__ = (
    'LoadReport',
    'NoCapacity',
    'NoUpstream',
    'RoundTrips',
    'SelectedUpstream',
    'ServiceTimes',
    'SlowStartLimit',
    'UpstreamLoad',
    'UpstreamSelector',
    'UrgentWaits',
    'rendezvous_order',
)
