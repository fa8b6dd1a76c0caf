"""Selection of the upstream with the lowest expected response time.

Many hosts send to the same upstreams. A request takes a third of the time at
an upstream that has recently handled the same object (a warm upstream), and
an upstream whose queue is full rejects new requests.
"""

import dataclasses
import math
from collections.abc import Sequence

from egretmill.placement.load import UpstreamLoad
from egretmill.placement.round_trips import RoundTrips
from egretmill.placement.service_times import ServiceTimes

__all__ = ('NoCapacity', 'NoUpstream', 'SelectedUpstream', 'UpstreamSelector')

#: Upstreams at the start of the order that are compared first. The others
#: are compared only if none of these can take the request.
FIRST_COMPARED = 12
#: Cost of each rank in the order, relative to the service time at a cold
#: upstream. Keeps an object at its first upstreams while loads are equal.
RANK_COST_RATIO = 0.2
#: Limit of running and queued requests per slot of an upstream. Upstreams
#: queue up to three requests per slot, but a request that waits there can no
#: longer be sent to another upstream.
MAX_REQUESTS_PER_SLOT = 2.0
#: Factor on the expected response time of a stalled upstream.
STALLED_LATENCY_FACTOR = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class SelectedUpstream:
    """A selected upstream and the expected times of the request there.

    :param expected_s: expected response time, which includes ``wait_s``.
    :param wait_s: expected wait for a slot.
    :param rtt_s: round-trip time.
    :param is_warm: whether the upstream has recently handled the object.
    :param has_free_slot: whether it has a free slot, as far as this host knows.
    """

    load: UpstreamLoad
    expected_s: float
    wait_s: float
    rtt_s: float
    is_warm: bool
    has_free_slot: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoCapacity:
    """No upstream is expected to respond in time.

    :param wait_s: expected time until an upstream has capacity.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream:
    """No upstream can be used for the request."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSelector:
    """Selects the upstream for one request.

    :param round_trips: observed round-trip times of this host.
    :param service_times: service times of the request's route.
    :param target_s: target latency.
    :param remaining_s: time until the deadline of the request.
    :param wait_limit_s: longest wait that leaves room for more urgent
        requests.
    """

    object_key: str
    round_trips: RoundTrips
    service_times: ServiceTimes
    target_s: float
    remaining_s: float
    idempotent: bool
    now: float
    wait_limit_s: float = math.inf

    def choose(
        self,
        order: Sequence[UpstreamLoad],
    ) -> SelectedUpstream | NoCapacity | NoUpstream:
        """Choose among upstreams, given in the object's preference order."""
        if not order:
            return NoUpstream('no upstream is registered')
        best = self._find_cheapest(order, 0, FIRST_COMPARED)
        if best is None:
            best = self._find_cheapest(order, FIRST_COMPARED, len(order))
        if best is None:
            return self._make_rejection(order)
        excess_s = self._excess_wait_s(best)
        if excess_s <= 0 or self._can_probe(best):
            return best
        return NoCapacity(excess_s)

    def _find_cheapest(
        self,
        order: Sequence[UpstreamLoad],
        start: int,
        end: int,
    ) -> SelectedUpstream | None:
        best = None
        lowest_cost = float('inf')
        for rank, load in enumerate(order[start:end], start):
            if not self._can_send_to(load):
                continue
            candidate = self._estimate(load)
            cost = self._cost(candidate, rank)
            if cost < lowest_cost:
                best = candidate
                lowest_cost = cost
        return best

    def _can_send_to(self, load: UpstreamLoad) -> bool:
        if self._is_full(load):
            return False
        return load.can_send(self.now, idempotent=self.idempotent)

    def _cost(self, candidate: SelectedUpstream, rank: int) -> float:
        """Return the expected response time plus the cost of the rank."""
        cost = (
            candidate.expected_s
            + rank * RANK_COST_RATIO * self.service_times.cold_s
        )
        if rank == 0 and not candidate.is_warm:
            # Other hosts send the object here too, so it is probably warm.
            cost -= self.service_times.cold_s - self.service_times.warm_s
        return cost

    def _estimate(self, load: UpstreamLoad) -> SelectedUpstream:
        warm = load.is_warm(self.object_key, self.now)
        service_s = self.service_times.expected_s(warm=warm)
        slots = max(load.record.slots, 1)
        queued = max(load.estimated_requests(self.now) + 1 - slots, 0)
        wait_s = queued / slots * self.service_times.warm_s
        latency_ratio = load.latency_ratio_at(self.now)
        if load.is_stalled(self.now, service_s):
            latency_ratio *= STALLED_LATENCY_FACTOR
        round_trip_s = self.round_trips.seconds_to(load.record.region)
        expected_s = (service_s + wait_s) * latency_ratio + round_trip_s
        return SelectedUpstream(
            load,
            expected_s,
            wait_s * latency_ratio,
            round_trip_s,
            warm,
            queued == 0,
        )

    def _excess_wait_s(self, candidate: SelectedUpstream) -> float:
        """Return by how much the wait for a slot exceeds its limit.

        Under sustained overload, a longer queue does not raise throughput
        but makes all requests late. A request that finds a free slot is sent
        even if it may miss the target: its service time is only an estimate.
        """
        # A target below the round trip is missed wherever the request goes.
        target_s = max(self.target_s - candidate.rtt_s, 0)
        max_wait_s = min(
            self.service_times.max_wait_s(target_s),
            self.wait_limit_s,
        )
        lateness_s = (
            self.service_times.warm_s
            + candidate.rtt_s
            + candidate.wait_s
            - self.remaining_s
        )
        return max(candidate.wait_s - max_wait_s, lateness_s)

    def _can_probe(self, candidate: SelectedUpstream) -> bool:
        """Return whether to send a request that only an estimate refuses."""
        return candidate.has_free_slot and self.service_times.start_probe(
            self.now
        )

    def _is_full(self, load: UpstreamLoad) -> bool:
        limit = MAX_REQUESTS_PER_SLOT * max(load.record.slots, 1)
        return load.estimated_requests(self.now) >= limit

    def _make_rejection(
        self, order: Sequence[UpstreamLoad]
    ) -> NoCapacity | NoUpstream:
        paused = [load for load in order if not load.pause.can_send(self.now)]
        full = [load for load in order if self._is_full(load)]
        backing_off = [load for load in order if self.now < load.backoff_until]
        cold = [load for load in order if load.slow_start.is_cold(self.now)]
        if any(load not in paused for load in (*full, *backing_off, *cold)):
            return NoCapacity(self.service_times.warm_s)
        limited = [load.stated_limit for load in order if load.is_limited]
        if limited or paused:
            waits_s = (
                *(limit.wait_s(self.now) for limit in limited),
                *(load.pause.wait_s(self.now) for load in paused),
            )
            return NoCapacity(
                min(filter(None, waits_s), default=self.service_times.warm_s)
            )
        return NoUpstream('all upstreams are left out after failures')
