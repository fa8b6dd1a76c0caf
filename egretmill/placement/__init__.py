"""Upstream selection and health tracking, without I/O."""

from egretmill.placement.choice import (
    NoCapacity,
    NoUpstream,
    SelectedUpstream,
    UpstreamSelector,
)
from egretmill.placement.cold import ColdGate
from egretmill.placement.load import LoadReport, UpstreamLoad
from egretmill.placement.rendezvous import rendezvous_order
from egretmill.placement.work import WorkTimes

__all__ = (
    'ColdGate',
    'LoadReport',
    'NoCapacity',
    'NoUpstream',
    'SelectedUpstream',
    'UpstreamLoad',
    'UpstreamSelector',
    'WorkTimes',
    'rendezvous_order',
)
