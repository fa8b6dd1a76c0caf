"""Selection of site and upstream for a request."""

from egretmill.routing.decision import Decision
from egretmill.placement.observations import Observation, ObservationKind
from egretmill.routing.policies import POLICIES, Policy, get_policy
from egretmill.placement.retries import RetryBudget
from egretmill.routing.router import Router
from egretmill.routing.sites import Limits
from egretmill.routing.upstreams import UpstreamTable
from egretmill.routing.view import DrainSource, UpstreamView

__all__ = (
    'POLICIES',
    'Decision',
    'DrainSource',
    'Limits',
    'Observation',
    'ObservationKind',
    'Policy',
    'RetryBudget',
    'Router',
    'UpstreamTable',
    'UpstreamView',
    'get_policy',
)
