"""Upstream selection and health tracking, without I/O."""

from egretmill.placement.choice import Crowded, Placed, Placement, Unplaced
from egretmill.placement.cold import ColdGate
from egretmill.placement.load import LoadReport, UpstreamLoad
from egretmill.placement.rendezvous import rendezvous_order
from egretmill.placement.work import WorkTimes

__all__ = (
    'ColdGate',
    'Crowded',
    'LoadReport',
    'Placed',
    'Placement',
    'Unplaced',
    'UpstreamLoad',
    'WorkTimes',
    'rendezvous_order',
)
