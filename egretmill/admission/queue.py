"""Bounded, deadline-aware queue that is fair between client accounts."""

import heapq
import itertools
from collections.abc import Iterator

from result import Err, Ok

from egretmill.admission.entry import Outcome, Waiting, is_transient
from egretmill.admission.flow import Flow, Ring, retry_after_s
from egretmill.errors import ErrorKind, Failure

__all__ = ('FairQueue',)

#: Units of cost that an account gets in each turn.
QUANTUM = 1.0
#: Most unused units that an account keeps. Requests arrive in bursts: with
#: no credit, a small account loses each turn that finds its queue empty and
#: gets less than its fair share.
CREDIT = 20.0
#: Part of the time until the latest admission that a request may expect to
#: wait. Less lowers the latency in overload, more refuses fewer requests of
#: small accounts (docs/decisions/admission-queue.md).
WAIT_PART = 0.5
#: Requests of an account that may wait until their deadline. With fewer, the
#: queue of an account with a low rate runs empty and its turns are lost.
FEWEST_WAITING = 4


class FairQueue:
    """Deficit round robin over client accounts, one ring per service.

    A service that is short blocks its own ring, an account whose bucket is
    empty blocks its own flow; neither blocks the others.

    :param capacity: most entries over all services.
    :param wait_part: longest expected wait as a part of the time left.
    """

    def __init__(self, capacity: int, wait_part: float = WAIT_PART) -> None:
        self.capacity = capacity
        self.wait_part = wait_part
        self.rings: dict[str, Ring] = {}
        self.queued: set[Waiting] = set()
        self.deadlines: list[tuple[float, int, Waiting]] = []
        self.sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queued)

    def is_idle(self, service: str) -> bool:
        """Tell whether nobody waits for a service."""
        return service not in self.rings

    def push(
        self,
        waiting: Waiting,
        now: float,
        shortage: Failure | None = None,
    ) -> list[Outcome]:
        """Queue a request and return the refusals that this causes.

        A full queue refuses the newest request of the account that has the
        most waiting, so that an account that floods the queue displaces
        only itself. A request is refused at once when, at the pace of its
        account's last admissions, its turn would come too late.

        :param shortage: failure of an attempt that was just made.
        """
        ring = self.rings.setdefault(waiting.service, Ring())
        flow = ring.flows.setdefault(waiting.account, Flow(waiting.account))
        flow.add(waiting, now)
        if shortage is not None:
            _block(ring, flow, shortage, now)
        ring.length += 1
        self.queued.add(waiting)
        entry = (waiting.latest_at, next(self.sequence), waiting)
        heapq.heappush(self.deadlines, entry)
        patience_s = waiting.latest_at - now
        if len(flow.waiting) > FEWEST_WAITING:
            patience_s *= self.wait_part
        if flow.wait_s(now) > patience_s:
            failure = flow.refusal('its turn would come too late')
            return [self._refuse(waiting, failure)]
        return self._displace() if len(self) > self.capacity else []

    def remove(self, waiting: Waiting) -> bool:
        """Remove a request whose caller has gone; tell if it was queued."""
        if waiting not in self.queued:
            return False
        flow = self.rings[waiting.service].flows[waiting.account]
        flow.waiting.pop(waiting)
        self._forget(waiting)
        return True

    def unblock(self) -> None:
        """Forget all hints, because something was released or lent."""
        for ring in self.rings.values():
            ring.blocked_until = 0
            for flow in ring.flows.values():
                flow.blocked_until = 0

    def serve(self, now: float) -> list[Outcome]:
        """Answer all requests that can be answered now."""
        outcomes = list(self._expire(now))
        for service in tuple(self.rings):
            ring = self.rings[service]
            while ring.can_turn(now):
                outcomes.extend(self._turn(ring, now))
        return outcomes

    def next_wake(self) -> float | None:
        """Return when :meth:`serve` can next change anything."""
        self._forget_answered()
        if not self.deadlines:
            return None
        wakes = [ring.wake_at() for ring in self.rings.values()]
        return min(*wakes, self.deadlines[0][0])

    def _turn(self, ring: Ring, now: float) -> Iterator[Outcome]:
        flow = ring.next_flow(now)
        if not flow.waiting:
            flow.deficit = min(CREDIT, flow.deficit + QUANTUM)
            ring.flows.move_to_end(flow.account)
            return
        if flow.deficit < flow.head.cost:
            flow.deficit += QUANTUM
        while flow.waiting and flow.deficit >= flow.head.cost:
            head = flow.head
            answer = head.attempt(now)
            if isinstance(answer, Ok):
                flow.admit(now)
            elif is_transient(answer.err_value):
                _block(ring, flow, answer.err_value, now)
                break
            else:
                flow.waiting.pop(head)
            self._forget(head)
            yield head, answer
        if ring.blocked_until <= now:
            ring.flows.move_to_end(flow.account)

    def _expire(self, now: float) -> Iterator[Outcome]:
        self._forget_answered()
        while self.deadlines:
            latest_at, _, waiting = self.deadlines[0]
            if latest_at > now:
                return
            flow = self.rings[waiting.service].flows[waiting.account]
            failure = Failure(ErrorKind.QUEUE_TIMEOUT, 'deadline in the queue')
            if flow.is_rate_limited:
                failure = flow.refusal('rate reached until the deadline')
            yield self._refuse(waiting, failure)
            self._forget_answered()

    def _displace(self) -> list[Outcome]:
        flows = itertools.chain.from_iterable(
            ring.flows.values() for ring in self.rings.values()
        )
        longest = max(flows, key=lambda flow: len(flow.waiting))
        newest = next(reversed(longest.waiting))
        return [self._refuse(newest, longest.refusal('the queue is full'))]

    def _refuse(self, waiting: Waiting, failure: Failure) -> Outcome:
        self.remove(waiting)
        return waiting, Err(failure)

    def _forget_answered(self) -> None:
        while self.deadlines and self.deadlines[0][2] not in self.queued:
            heapq.heappop(self.deadlines)

    def _forget(self, waiting: Waiting) -> None:
        self.queued.discard(waiting)
        ring = self.rings[waiting.service]
        ring.length -= 1
        if not ring.length:
            self.rings.pop(waiting.service)


def _block(ring: Ring, flow: Flow, shortage: Failure, now: float) -> None:
    if shortage.kind == ErrorKind.RATE_LIMITED:
        flow.block(shortage, now)
        return
    flow.shortage = shortage
    ring.blocked_until = now + retry_after_s(shortage)
