"""Simulated upstreams with slots, a bounded queue and a memory of objects."""

import collections
import dataclasses
import random

from egretmill.placement import SelectedUpstream
from egretmill.simulation.workload import RouteLoad, Workload

__all__ = ('Request', 'SimulatedUpstream')


@dataclasses.dataclass(eq=False, slots=True)
class Request:
    """A caller's request, which may return after a refusal.

    :param asked_at: time of the caller's first attempt.
    """

    route: RouteLoad
    region: int
    host: int
    object_key: str
    asked_at: float
    phase: int
    returned: int = 0
    selected: SelectedUpstream | None = None
    sent_at: float = 0
    ran_warm: bool = False


@dataclasses.dataclass(eq=False, slots=True)
class SimulatedUpstream:
    """An upstream with a FIFO queue.

    :param objects: recently handled objects, the oldest first.
    """

    workload: Workload
    region: str
    running: int = 0
    waiting: 'collections.deque[Request]' = dataclasses.field(
        default_factory=collections.deque,
    )
    objects: 'collections.OrderedDict[str, None]' = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def service_s(self, request: Request, rng: random.Random) -> float:
        """Return the service time of a request and remember its object."""
        request.ran_warm = request.object_key in self.objects
        self.objects[request.object_key] = None
        self.objects.move_to_end(request.object_key)
        if len(self.objects) > self.workload.memory:
            self.objects.popitem(last=False)
        mean_s = request.route.work_s
        if request.ran_warm:
            mean_s *= self.workload.warm_fraction
        return mean_s * rng.lognormvariate(0, self.workload.spread)
