"""Admission of one request: account rate, site, upstream and slot."""

import dataclasses
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from egretmill.admission.entry import TransientFailure
from egretmill.entry.limits import account_total, shift_total, slots_total
from egretmill.entry.request import CallerRequest, authenticate
from egretmill.errors import ErrorKind, Failure
from egretmill.quota.holdings import Refused, Taken
from egretmill.routing.decision import Decision
from egretmill.wire.messages import UpstreamRecord

if TYPE_CHECKING:
    from egretmill.entry.state import EntryState

__all__ = ('Admission', 'Grant')

# Waiting requests are tried again on every release and arriving loan; this
# is the interval of a try without either.
RETRY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What an admitted attempt holds until it ends.

    :param slots: name of the concurrency total of which one is held.
    """

    decision: Decision
    slots: str

    @property
    def upstream(self) -> UpstreamRecord:
        """Return the chosen upstream."""
        return self.decision.upstream


class Admission:
    """Admits the attempts of one request.

    The account pays once per request, not per attempt.
    """

    def __init__(self, state: 'EntryState', caller: CallerRequest) -> None:
        """Start without a payment."""
        self.state = state
        self.caller = caller
        self.paid = caller.account is None
        self.excluded: frozenset[str] = frozenset()
        self.waited: set[str] = set()

    def exclude(self, upstream: str) -> None:
        """Do not choose an upstream again for this request."""
        self.excluded |= {upstream}

    async def wait(self) -> Result[Grant, Failure]:
        """Return a grant or a failure before the deadline."""
        return await self.state.gate.admit(
            self.caller.route.service,
            self.caller.account_name,
            self.caller.deadline_at,
            self.attempt,
        )

    def attempt(self, now: float) -> Result[Grant, Failure]:
        """Try to take everything that an attempt needs."""
        allowed = self.check_key()
        if isinstance(allowed, Err):
            return allowed
        paid = self.pay(now)
        if isinstance(paid, Err):
            return paid
        chosen = self.state.router.choose(
            self.caller.route.service,
            self.state.environment,
            self.state.limits,
            now,
            self.excluded,
            idempotent=self.caller.route.idempotent,
        )
        if isinstance(chosen, Err):
            self.register_demand(chosen.err_value, now)
            return chosen
        return self.take(chosen.ok_value, now)

    def try_take(self, total: str, now: float) -> Taken | Refused:
        """Take one of a total; repeated tries count as one demand."""
        waited = total in self.waited
        taken = self.state.holdings.try_take(total, 1, now, waited=waited)
        if isinstance(taken, Refused):
            self.waited.add(total)
            self.state.short.set()
        return taken

    def check_key(self) -> Result[None, Failure]:
        """Refuse a key that was withdrawn while the request waited."""
        granted = authenticate(
            self.caller.route,
            self.caller.headers,
            self.state.environment,
        )
        return granted.map(lambda _: None)

    def pay(self, now: float) -> Result[None, Failure]:
        """Take one request out of the account's share."""
        if self.paid:
            return Ok(None)
        total = account_total(self.caller.account_name)
        taken = self.try_take(total, now)
        if isinstance(taken, Refused):
            return Err(shortage(ErrorKind.RATE_LIMITED, total, taken))
        self.paid = True
        return Ok(None)

    def take(self, decision: Decision, now: float) -> Result[Grant, Failure]:
        """Take the slot and, off the preferred site, a shift token."""
        slots = slots_total(decision.service, decision.site)
        taken = self.try_take(slots, now)
        if isinstance(taken, Refused):
            return Err(shortage(ErrorKind.OVERLOADED, slots, taken))
        if decision.is_shifted:
            shift = shift_total(decision.preferred, decision.site)
            moved = self.try_take(shift, now)
            if isinstance(moved, Refused):
                self.state.holdings.release(slots, 1, now)
                return Err(shortage(ErrorKind.OVERLOADED, shift, moved))
        return Ok(Grant(decision, slots))

    def register_demand(self, failure: Failure, now: float) -> None:
        """Let the holdings know that slots of the service are wanted.

        The preferred site is the one to borrow for: an empty take fails
        and counts as demand.
        """
        if failure.kind is not ErrorKind.OVERLOADED:
            return
        service = self.caller.route.service
        preferred = self.state.preferred_site(service)
        if preferred:
            total = slots_total(service, preferred)
            taken = self.try_take(total, now)
            if not isinstance(taken, Refused):
                self.state.holdings.release(total, 1, now)


def shortage(kind: ErrorKind, total: str, refused: Refused) -> TransientFailure:
    """Return the failure of a total that is used up for now."""
    wait_s = refused.after_s or RETRY_S
    return TransientFailure(kind, total, min(wait_s, RETRY_S))
