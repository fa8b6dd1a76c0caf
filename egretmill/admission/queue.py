"""Bounded queue with deadlines, fair between client accounts."""

import heapq
import itertools
from collections.abc import Iterator

from result import Err, Ok

from egretmill.admission.entry import Outcome, QueuedRequest, is_transient
from egretmill.admission.flow import Flow, Ring, retry_after_s
from egretmill.errors import ErrorKind, Failure

__all__ = ('FairQueue',)

#: Units of cost added to an account's deficit in each turn.
QUANTUM = 1.0
#: Limit of the deficit that an account keeps while its queue is empty.
#: Requests arrive in bursts: if nothing were kept, an account with few
#: requests would lose each turn that finds its queue empty and get less than
#: its fair share.
MAX_DEFICIT = 20.0
#: Maximum expected wait relative to the time until the latest admission. A
#: lower value reduces the latency under overload, a higher one refuses fewer
#: requests of small accounts (docs/decisions/admission-queue.md).
MAX_WAIT_RATIO = 0.5
#: Queued requests of an account that may wait until their deadline. With
#: fewer, the queue of an account with a low rate runs empty and it loses turns.
FULL_WAIT_REQUESTS = 4


class FairQueue:
    """Deficit round robin over client accounts, one ring per service.

    A service without capacity blocks only its own ring, and an account with
    an empty token bucket blocks only its own flow.

    :param capacity: maximum number of queued requests over all services.
    :param max_wait_ratio: maximum expected wait relative to the time left.
    """

    def __init__(
        self, capacity: int, max_wait_ratio: float = MAX_WAIT_RATIO
    ) -> None:
        self.capacity = capacity
        self.max_wait_ratio = max_wait_ratio
        self.rings: dict[str, Ring] = {}
        self.queued: set[QueuedRequest] = set()
        self.expiry_heap: list[tuple[float, int, QueuedRequest]] = []
        self.sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self.queued)

    def is_empty_for(self, service: str) -> bool:
        """Return whether no request waits for a service."""
        return service not in self.rings

    def push(
        self,
        request: QueuedRequest,
        now: float,
        last_failure: Failure | None = None,
    ) -> list[Outcome]:
        """Queue a request and return the refusals that this causes.

        A full queue refuses the newest request of the account with the most
        queued requests, so that an account that floods the queue evicts
        only its own requests. A request is refused immediately if, at the
        rate of its account's recent admissions, it would wait too long.

        :param last_failure: failure of an attempt that was just made.
        """
        ring = self.rings.setdefault(request.service, Ring())
        flow = ring.flows.setdefault(request.account, Flow(request.account))
        flow.add(request, now)
        if last_failure is not None:
            _block(ring, flow, last_failure, now)
        ring.length += 1
        self.queued.add(request)
        entry = (request.latest_admission_at, next(self.sequence), request)
        heapq.heappush(self.expiry_heap, entry)
        max_wait_s = request.latest_admission_at - now
        if len(flow.requests) > FULL_WAIT_REQUESTS:
            max_wait_s *= self.max_wait_ratio
        if flow.expected_wait_s(now) > max_wait_s:
            failure = flow.make_refusal('its turn would come too late')
            return [self._refuse(request, failure)]
        return self._evict() if len(self) > self.capacity else []

    def remove(self, request: QueuedRequest) -> bool:
        """Remove a request; return whether it was queued."""
        if request not in self.queued:
            return False
        flow = self.rings[request.service].flows[request.account]
        flow.requests.pop(request)
        self._unregister(request)
        return True

    def unblock(self) -> None:
        """Unblock all accounts and services after a release or a loan."""
        for ring in self.rings.values():
            ring.blocked_until = 0
            for flow in ring.flows.values():
                flow.blocked_until = 0

    def serve(self, now: float) -> list[Outcome]:
        """Refuse expired requests and try to admit the others in turn."""
        outcomes = list(self._refuse_expired(now))
        for service in tuple(self.rings):
            ring = self.rings[service]
            while ring.has_due_request(now):
                outcomes.extend(self._serve_turn(ring, now))
        return outcomes

    def next_wake(self) -> float | None:
        """Return when :meth:`serve` must be called next."""
        self._drop_answered()
        if not self.expiry_heap:
            return None
        try_times = [ring.next_try_at() for ring in self.rings.values()]
        return min(*try_times, self.expiry_heap[0][0])

    def _serve_turn(self, ring: Ring, now: float) -> Iterator[Outcome]:
        flow = ring.next_unblocked_flow(now)
        if not flow.requests:
            flow.deficit = min(MAX_DEFICIT, flow.deficit + QUANTUM)
            ring.flows.move_to_end(flow.account)
            return
        if flow.deficit < flow.head.cost:
            flow.deficit += QUANTUM
        while flow.requests and flow.deficit >= flow.head.cost:
            head = flow.head
            answer = head.attempt(now)
            if isinstance(answer, Ok):
                flow.admit(now)
            elif is_transient(answer.err_value):
                _block(ring, flow, answer.err_value, now)
                break
            else:
                flow.requests.pop(head)
            self._unregister(head)
            yield head, answer
        if ring.blocked_until <= now:
            ring.flows.move_to_end(flow.account)

    def _refuse_expired(self, now: float) -> Iterator[Outcome]:
        self._drop_answered()
        while self.expiry_heap:
            latest_admission_at, _, request = self.expiry_heap[0]
            if latest_admission_at > now:
                return
            flow = self.rings[request.service].flows[request.account]
            failure = Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline in the queue')
            if flow.is_rate_limited:
                failure = flow.make_refusal('rate reached until the deadline')
            yield self._refuse(request, failure)
            self._drop_answered()

    def _evict(self) -> list[Outcome]:
        flows = itertools.chain.from_iterable(
            ring.flows.values() for ring in self.rings.values()
        )
        longest = max(flows, key=lambda flow: len(flow.requests))
        newest = next(reversed(longest.requests))
        return [self._refuse(newest, longest.make_refusal('the queue is full'))]

    def _refuse(self, request: QueuedRequest, failure: Failure) -> Outcome:
        self.remove(request)
        return request, Err(failure)

    def _drop_answered(self) -> None:
        while self.expiry_heap and self.expiry_heap[0][2] not in self.queued:
            heapq.heappop(self.expiry_heap)

    def _unregister(self, request: QueuedRequest) -> None:
        self.queued.discard(request)
        ring = self.rings[request.service]
        ring.length -= 1
        if not ring.length:
            self.rings.pop(request.service)


def _block(ring: Ring, flow: Flow, failure: Failure, now: float) -> None:
    if failure.kind == ErrorKind.RATE_LIMITED:
        flow.block(failure, now)
        return
    flow.last_failure = failure
    ring.blocked_until = now + retry_after_s(failure)
