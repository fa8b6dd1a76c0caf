"""Admission of one request: account quota, upstream and concurrency slot."""

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

# Queued requests are retried whenever a slot is released or a loan arrives,
# and at the latest after this time.
MAX_RETRY_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """The routing decision and the slot of an admitted attempt.

    :param slot_total: name of the concurrency total whose slot is held
        until the attempt ends.
    """

    decision: Decision
    slot_total: str

    @property
    def upstream(self) -> UpstreamRecord:
        """Return the chosen upstream."""
        return self.decision.upstream


class Admission:
    """Admits the attempts of one request.

    The account's rate quota is charged once per request, not per attempt.
    """

    def __init__(self, state: 'EntryState', caller: CallerRequest) -> None:
        """Start with nothing charged; open routes have no account."""
        self.state = state
        self.caller = caller
        self.is_account_charged = caller.account is None
        self.excluded: frozenset[str] = frozenset()
        self.refused_totals: set[str] = set()

    def exclude(self, upstream: str) -> None:
        """Exclude an upstream from further attempts of this request."""
        self.excluded |= {upstream}

    async def wait_for_grant(self) -> Result[Grant, Failure]:
        """Queue for admission; return a grant or a failure by the deadline."""
        return await self.state.admission_controller.admit(
            self.caller.route.service,
            self.caller.account_name,
            self.caller.deadline_at,
            self.try_admit,
        )

    def try_admit(self, now: float) -> Result[Grant, Failure]:
        """Try to take all quota that one attempt needs, without waiting."""
        key_check = self.check_key()
        if isinstance(key_check, Err):
            return key_check
        charged = self.charge_account(now)
        if isinstance(charged, Err):
            return charged
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
        return self.acquire_slot(chosen.ok_value, now)

    def try_take(self, total: str, now: float) -> Taken | Refused:
        """Take one unit of a total.

        Repeated tries of a queued request count once in the demand from
        which loans are sized.
        """
        was_refused = total in self.refused_totals
        taken = self.state.holdings.try_take(total, 1, now, waited=was_refused)
        if isinstance(taken, Refused):
            self.refused_totals.add(total)
            self.state.shortage.set()
        return taken

    def check_key(self) -> Result[None, Failure]:
        """Refuse a key that was withdrawn while the request was queued."""
        authenticated = authenticate(
            self.caller.route,
            self.caller.headers,
            self.state.environment,
        )
        return authenticated.map(lambda _: None)

    def charge_account(self, now: float) -> Result[None, Failure]:
        """Charge one request to the account's quota share, once."""
        if self.is_account_charged:
            return Ok(None)
        total = account_total(self.caller.account_name)
        taken = self.try_take(total, now)
        if isinstance(taken, Refused):
            return Err(quota_failure(ErrorKind.RATE_LIMITED, total, taken))
        self.is_account_charged = True
        return Ok(None)

    def acquire_slot(
        self, decision: Decision, now: float
    ) -> Result[Grant, Failure]:
        """Take a slot and, away from the preferred site, a shift token."""
        slot_total = slots_total(decision.service, decision.site)
        taken = self.try_take(slot_total, now)
        if isinstance(taken, Refused):
            return Err(quota_failure(ErrorKind.OVERLOADED, slot_total, taken))
        if decision.is_shifted:
            shift = shift_total(decision.preferred, decision.site)
            shifted = self.try_take(shift, now)
            if isinstance(shifted, Refused):
                self.state.holdings.release(slot_total, 1, now)
                return Err(quota_failure(ErrorKind.OVERLOADED, shift, shifted))
        return Ok(Grant(decision, slot_total))

    def register_demand(self, failure: Failure, now: float) -> None:
        """Record demand for slots when no site of the service had a free one.

        Slots are borrowed for the preferred site. A refused take there
        counts as demand; a slot that is free by now is released again.
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


def quota_failure(
    kind: ErrorKind, total: str, refused: Refused
) -> TransientFailure:
    """Return the transient failure of a total with no quota left now."""
    wait_s = refused.after_s or MAX_RETRY_DELAY_S
    return TransientFailure(kind, total, min(wait_s, MAX_RETRY_DELAY_S))
