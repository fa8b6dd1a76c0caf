"""Choice of one upstream by expected time to the response.

The load that this answers: many hosts send to the same upstreams, requests
for an object that an upstream has handled lately take a third of the time,
and an upstream that is full rejects what is sent to it.
"""

import dataclasses
from collections.abc import Sequence

from egretmill.placement.load import UpstreamLoad
from egretmill.placement.work import WorkTimes

__all__ = ('Crowded', 'Placed', 'Placement', 'Unplaced')

#: Upstreams of the order that are compared first; the rest only when none
#: of them takes the request.
COMPARED = 12
#: Cost of each place in the order, as a part of the work at a cold upstream:
#: keeps an object at its first upstreams when all are equally loaded.
PLACE_COST_PART = 0.04
#: Requests per slot up to which an upstream gets more. Upstreams queue three
#: times their slots; what waits there cannot be placed elsewhere any more.
FULL_FACTOR = 2.0
#: Part of the target latency that a request may wait for a slot at least.
PATIENCE_PART = 0.2
#: Time between this host and an upstream in another region and back.
REGION_TRIP_S = 0.04
#: Work of a stalled upstream counts this many times.
STALL_COST = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """The chosen upstream.

    :param expected_s: expected time to the response.
    :param wait_s: the part of it that the request waits for a slot.
    :param warm: it has handled the object lately.
    :param free: it has a free slot by what this host knows.
    """

    load: UpstreamLoad
    expected_s: float
    wait_s: float
    work_s: float
    warm: bool
    free: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Crowded:
    """No response can be expected in time.

    :param wait_s: expected time until an upstream has room.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Unplaced:
    """No upstream may get the request."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """What a request needs from an upstream.

    :param region: region of this host.
    :param target_s: a response within it is worth most.
    :param left_s: time left until the response is of no use.
    """

    object_key: str
    region: str
    times: WorkTimes
    target_s: float
    left_s: float
    idempotent: bool
    now: float

    def choose(
        self,
        order: Sequence[UpstreamLoad],
    ) -> Placed | Crowded | Unplaced:
        """Choose among upstreams in the order of the object."""
        if not order:
            return Unplaced('no upstream is registered')
        best = self._best(order, 0, COMPARED)
        if best is None:
            best = self._best(order, COMPARED, len(order))
        if best is None:
            return self._none(order)
        excess_s = self._excess_s(best)
        return Crowded(excess_s) if excess_s > 0 else best

    def _best(
        self,
        order: Sequence[UpstreamLoad],
        start: int,
        end: int,
    ) -> Placed | None:
        best = None
        lowest = float('inf')
        for place, load in enumerate(order[start:end], start):
            if not self._takes(load):
                continue
            placed = self._expect(load)
            cost = self._cost(placed, place)
            if cost < lowest:
                best = placed
                lowest = cost
        return best

    def _takes(self, load: UpstreamLoad) -> bool:
        if self._is_full(load):
            return False
        return load.usable(self.now, idempotent=self.idempotent)

    def _cost(self, placed: Placed, place: int) -> float:
        """Return the expected time with the cost of the place."""
        cost = placed.expected_s + place * PLACE_COST_PART * self.times.cold_s
        if place == 0 and not placed.warm:
            # Other hosts send the object here as well.
            cost -= self.times.cold_s - self.times.warm_s
        return cost

    def _expect(self, load: UpstreamLoad) -> Placed:
        warm = load.is_warm(self.object_key, self.now)
        work_s = self.times.expected_s(warm=warm)
        slots = max(load.record.slots, 1)
        ahead = max(load.load(self.now) + 1 - slots, 0)
        wait_s = ahead / slots * self.times.warm_s
        slowness = load.slowness_now(self.now)
        if load.stalled(self.now, work_s):
            slowness *= STALL_COST
        trip_s = 0 if load.record.region == self.region else REGION_TRIP_S
        expected_s = (work_s + wait_s) * slowness + trip_s
        return Placed(
            load,
            expected_s,
            wait_s * slowness,
            work_s + trip_s,
            warm,
            ahead == 0,
        )

    def _excess_s(self, placed: Placed) -> float:
        """Return by how much the wait for a slot is too long.

        Under lasting overload a longer queue serves no more requests, it
        only makes all of them late. A request without a wait is sent even
        if its work may exceed the target, which is not known beforehand.
        """
        patience_s = max(
            self.target_s * PATIENCE_PART,
            self.target_s - self.times.warm_s,
        )
        late_s = self.times.warm_s + placed.wait_s - self.left_s
        return max(placed.wait_s - patience_s, late_s)

    def _is_full(self, load: UpstreamLoad) -> bool:
        bound = FULL_FACTOR * max(load.record.slots, 1)
        return load.load(self.now) >= bound

    def _none(self, order: Sequence[UpstreamLoad]) -> Crowded | Unplaced:
        full = [load for load in order if self._is_full(load)]
        held = [load for load in order if self.now < load.held_until]
        cold = [load for load in order if load.cold.is_cold(self.now)]
        if full or held or cold:
            return Crowded(self.times.warm_s)
        return Unplaced('all upstreams are left out after failures')
