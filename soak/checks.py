"""Promises that a record must keep; pure."""

import collections
import dataclasses
import functools
from collections.abc import Callable, Iterator

from soak.operator import BURST, RATE_PER_S, ROUTES
from soak.record import Asked, Execution, Record

__all__ = ('CHECKS', 'Violation', 'check')

#: Times are stated in seconds and mirror the bounds of the hosts' settings.
REVOKE_S = 5.0
APPLY_S = 2.5
DRAIN_S = 2.5
#: Hosts are in touch when nothing has disturbed them for this time.
CONTACT_S = 3.0
QUOTA_WINDOW_S = 5.0
QUOTA_PART = 0.1
QUOTA_SLACK = 20
QUOTA_MOST = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (
    1 + QUOTA_PART
) + QUOTA_SLACK
BUDGET_WINDOW_S = 10.0
BUDGET_PART = 0.2
BUDGET_ALLOWANCE = 20
#: Least part of the requests after the faults that get a success.
RECOVERED_PART = 0.9
RECOVERY_SAMPLE_S = 3.0
SUCCESS = 200
NOT_RUN = frozenset((408, 421, 429, 503))
OWN_REFUSALS = frozenset((400, 401, 403, 404))
BY_NAME = {route.name: route for route in ROUTES}


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was not kept."""

    promise: str
    detail: str


Check = Callable[[Record], Iterator[str]]
CHECKS: dict[str, Check] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register a check under the name of its promise."""
    return functools.partial(register, name)


def register(name: str, found: Check) -> Check:
    """Add a check to the table."""
    CHECKS[name] = found
    return found


def check(record: Record) -> list[Violation]:
    """Return everything that was not kept."""
    return [
        Violation(name, detail)
        for name, found in CHECKS.items()
        for detail in found(record)
    ]


def runs_by_request(record: Record) -> dict[str, list[Execution]]:
    """Return the executions of each request."""
    found = collections.defaultdict(list)
    for execution in record.executions:
        found[execution.identifier].append(execution)
    return found


@promise('at most once')
def check_once(record: Record) -> Iterator[str]:
    """Yield requests that ran twice and must not."""
    for identifier, runs in runs_by_request(record).items():
        asked = record.asked.get(identifier)
        if asked is None or BY_NAME[asked.route].kind == 'safe':
            continue
        if len(runs) > 1:
            yield f'{identifier} ran at {[run.upstream for run in runs]}'


@promise('true refusals')
def check_refusals(record: Record) -> Iterator[str]:
    """Yield refusals of requests that ran and must not be repeated."""
    runs = runs_by_request(record)
    for asked in record.asked.values():
        if asked.status not in NOT_RUN or asked.identifier not in runs:
            continue
        if BY_NAME[asked.route].kind != 'safe':
            yield f'{asked.identifier} got {asked.status} and ran'


@promise('whole answers')
def check_answers(record: Record) -> Iterator[str]:
    """Yield successes that are not the answer to their request."""
    for asked in record.asked.values():
        if asked.status == SUCCESS and not asked.intact:
            yield f'{asked.identifier} got a foreign or cut answer'


@promise('only what was asked')
def check_requests(record: Record) -> Iterator[str]:
    """Yield executions that no caller asked for in this form."""
    for run in record.executions:
        asked = record.asked.get(run.identifier)
        if asked is None:
            yield f'{run.identifier!r} was never sent'
            continue
        route = BY_NAME[asked.route]
        if run.service != route.service:
            yield f'{run.identifier} ran at service {run.service}'
        if run.account != asked.account or run.key_seen:
            yield f'{run.identifier} ran with the wrong account or the key'
        if run.path != route.prefix + asked.identifier:
            yield f'{run.identifier} ran with path {run.path}'


@promise('attempts')
def check_attempts(record: Record) -> Iterator[str]:
    """Yield requests that ran at more upstreams than their route allows."""
    for identifier, runs in runs_by_request(record).items():
        asked = record.asked.get(identifier)
        if asked and len(runs) > BY_NAME[asked.route].attempts:
            yield f'{identifier} ran {len(runs)} times'


@promise('withdrawn keys')
def check_keys(record: Record) -> Iterator[str]:
    """Yield requests that ran long after their key was withdrawn."""
    for run in record.executions:
        asked = record.asked.get(run.identifier)
        if asked is None:
            continue
        late_s = asked.at - record.keys[asked.key].withdrawn_at
        if late_s > REVOKE_S:
            yield f'{run.identifier} ran with a key gone for {late_s:.1f} s'


@promise('leaving upstreams')
def check_leaving(record: Record) -> Iterator[str]:
    """Yield requests to upstreams that had left, hosts being in touch."""
    for run in record.executions:
        left_at = record.left.get(run.upstream)
        asked = record.asked.get(run.identifier)
        if left_at is None or asked is None or run.at - left_at <= DRAIN_S:
            continue
        if record.calm(left_at - CONTACT_S, run.at):
            yield f'{run.identifier} ran {run.at - left_at:.1f} s too late'


@promise('rates')
def check_rates(record: Record) -> Iterator[str]:
    """Yield windows with more requests of an account than its rate."""
    by_account = collections.defaultdict(list)
    for run in record.executions:
        asked = record.asked.get(run.identifier)
        if asked is not None:
            by_account[asked.account].append((asked.at, run.at))
    for account, spans in by_account.items():
        most = max(
            sum(
                start <= sent_at and run_at < start + QUOTA_WINDOW_S
                for sent_at, run_at in spans
            )
            for start, _ in spans
        )
        if most > QUOTA_MOST:
            yield f'{account}: {most} in a window, {QUOTA_MOST:g} allowed'


@promise('retry budget')
def check_budget(record: Record) -> Iterator[str]:
    """Yield services with more repeats in a window than the budget."""
    repeats = collections.defaultdict(list)
    for runs in runs_by_request(record).values():
        for run in runs[1:]:
            repeats[run.service].append(run.at)
    for route in ROUTES:
        asked = [
            row.at for row in record.asked.values() if row.route == route.name
        ]
        for start in repeats[route.service]:
            count = in_window(repeats[route.service], start, BUDGET_WINDOW_S)
            allowed = most_repeats(asked, start)
            if count > allowed:
                yield f'{route.service}: {count} repeats, {allowed:.0f} allowed'
                break


def most_repeats(asked: list[float], start: float) -> float:
    """Return the budget of a window; an earlier one counts if it is larger."""
    requests = max(
        in_window(asked, start - shift, BUDGET_WINDOW_S)
        for shift in (0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S)
    )
    return requests * BUDGET_PART + BUDGET_ALLOWANCE


@promise('configured requests')
def check_denied(record: Record) -> Iterator[str]:
    """Yield own refusals of what every configuration in force allows.

    A host that may have missed a version says 503 instead, so this holds
    for hosts out of touch as well.
    """
    for asked in record.asked.values():
        key = record.keys[asked.key]
        is_new = asked.at - key.added_at <= APPLY_S
        withdrawn = key.withdrawn_at < asked.ended_at
        if asked.status in OWN_REFUSALS and not (withdrawn or is_new):
            yield f'{asked.identifier} got {asked.status} from {asked.host}'


@promise('recovery')
def check_recovery(record: Record) -> Iterator[str]:
    """Yield a fleet that does not serve again after the faults."""
    late = [
        row
        for row in record.asked.values()
        if row.at > record.calm_from and row.ended_at < float('inf')
    ]
    last_at = max((row.at for row in late), default=0)
    sample = [row for row in late if row.at > last_at - RECOVERY_SAMPLE_S]
    served = sum(is_served(row) for row in sample)
    if served < RECOVERED_PART * max(len(sample), 1):
        yield f'{served} of {len(sample)} requests served at the end'


def is_served(asked: Asked) -> bool:
    """Tell whether a request got its success or was beyond its rate."""
    return asked.status in {SUCCESS, 429}


def in_window(times: list[float], start: float, length_s: float) -> int:
    """Count the times in a window."""
    return sum(start <= at < start + length_s for at in times)
