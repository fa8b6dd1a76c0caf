"""Simulation of hosts that place requests on shared upstreams.

Runs the decision code of :mod:`egretmill.placement` in virtual time, to
compare policies under the same load. Times are in seconds.
"""

from egretmill.simulation.model import simulate
from egretmill.simulation.outcomes import Outcome, PhaseOutcomes
from egretmill.simulation.policies import POLICIES, Policy
from egretmill.simulation.workload import (
    WORKLOADS,
    RegionLoad,
    RouteLoad,
    Workload,
)

__all__ = (
    'POLICIES',
    'WORKLOADS',
    'Outcome',
    'PhaseOutcomes',
    'Policy',
    'RegionLoad',
    'RouteLoad',
    'Workload',
    'simulate',
)
