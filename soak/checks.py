"""Invariants that the record of a run must satisfy; no I/O, no state."""

import collections
import dataclasses
import functools
from collections.abc import Callable, Iterator

from soak.operator import BURST, RATE_PER_S, ROUTES
from soak.record import (
    Execution,
    Notice,
    Record,
    RequestArrival,
    RequestRecord,
)

__all__ = ('CHECKS', 'Violation', 'find_violations')

#: Bounds in seconds; they mirror those in the settings of the hosts.
REVOCATION_S = 5.0
CONFIG_APPLY_S = 2.5
#: Time within which hosts stop using an upstream that leaves.
DRAIN_NOTICE_S = 2.5
#: Hosts count as in contact after this time without a disturbance.
CONTACT_S = 3.0
#: A request that was sent before a refusal arrives within this time.
CROSSING_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
EXCUSING_FAULTS = frozenset(
    (
        'host_kill',
        'host_term',
        'host_pause',
        'all_kill',
        'upstream_cut',
        'upstream_cut_back',
        'upstream_delay',
    )
)
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20
MAX_REQUESTS = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (
    1 + QUOTA_OVERAGE
) + QUOTA_SLACK
BUDGET_WINDOW_S = 10.0
RETRY_BUDGET_RATIO = 0.2
RETRY_ALLOWANCE = 20
#: Least fraction of the requests after the faults that must succeed.
MIN_RECOVERED_FRACTION = 0.9
RECOVERY_SAMPLE_S = 3.0
SUCCESS = 200
#: Statuses that state that no upstream executed the request.
NOT_EXECUTED = frozenset((408, 421, 429, 503))
#: Statuses of a host's own refusals.
OWN_REFUSALS = frozenset((400, 401, 403, 404))
ROUTES_BY_NAME = {route.name: route for route in ROUTES}


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that did not hold."""

    invariant: str
    detail: str


Check = Callable[[Record], Iterator[str]]
CHECKS: dict[str, Check] = {}


def invariant(name: str) -> Callable[[Check], Check]:
    """Register a check under the name of its invariant."""
    return functools.partial(register, name)


def register(name: str, check: Check) -> Check:
    """Add a check to the table."""
    CHECKS[name] = check
    return check


def find_violations(record: Record) -> list[Violation]:
    """Run all checks on a record."""
    return [
        Violation(name, detail)
        for name, check in CHECKS.items()
        for detail in check(record)
    ]


def group_by_request(record: Record) -> dict[str, list[Execution]]:
    """Return the executions of each request."""
    groups = collections.defaultdict(list)
    for execution in record.executions:
        groups[execution.request_id].append(execution)
    return groups


@invariant('at most once')
def check_once(record: Record) -> Iterator[str]:
    """Yield requests that are not safe to repeat and ran more than once."""
    for request_id, runs in group_by_request(record).items():
        request = record.asked.get(request_id)
        if request is None or ROUTES_BY_NAME[request.route].kind == 'safe':
            continue
        if len(runs) > 1:
            yield f'{request_id} ran at {[run.upstream for run in runs]}'


@invariant('true refusals')
def check_refusals(record: Record) -> Iterator[str]:
    """Yield unsafe requests that ran although a status denies it."""
    runs = group_by_request(record)
    for request in record.asked.values():
        if request.status not in NOT_EXECUTED or request.request_id not in runs:
            continue
        if ROUTES_BY_NAME[request.route].kind != 'safe':
            yield f'{request.request_id} got {request.status} and ran'


@invariant('whole answers')
def check_answers(record: Record) -> Iterator[str]:
    """Yield successes whose answer is cut or belongs to another request."""
    for request in record.asked.values():
        if request.status == SUCCESS and not request.is_intact:
            yield f'{request.request_id} got a foreign or cut answer'


@invariant('only what was asked')
def check_requests(record: Record) -> Iterator[str]:
    """Yield executions that differ from what the caller sent."""
    for run in record.executions:
        request = record.asked.get(run.request_id)
        if request is None:
            yield f'{run.request_id!r} was never sent'
            continue
        route = ROUTES_BY_NAME[request.route]
        if run.service != route.service:
            yield f'{run.request_id} ran at service {run.service}'
        if run.account != request.account or run.has_credentials:
            yield f'{run.request_id} ran with the wrong account or the key'
        if run.path != route.prefix + request.request_id:
            yield f'{run.request_id} ran with path {run.path}'


@invariant('attempts')
def check_attempts(record: Record) -> Iterator[str]:
    """Yield requests that ran more often than their route allows."""
    for request_id, runs in group_by_request(record).items():
        request = record.asked.get(request_id)
        if request and len(runs) > ROUTES_BY_NAME[request.route].max_attempts:
            yield f'{request_id} ran {len(runs)} times'


@invariant('withdrawn keys')
def check_keys(record: Record) -> Iterator[str]:
    """Yield requests that ran long after their key was withdrawn."""
    for run in record.executions:
        request = record.asked.get(run.request_id)
        if request is None:
            continue
        late_s = request.sent_at - record.keys[request.key].withdrawn_at
        if late_s > REVOCATION_S:
            yield f'{run.request_id} ran with a key gone for {late_s:.1f} s'


@invariant('leaving upstreams')
def check_leaving(record: Record) -> Iterator[str]:
    """Yield requests that started at upstreams that had left.

    Only spans without a disturbance count: a host that is out of contact
    does not learn that an upstream leaves.
    """
    for run in record.executions:
        left_at = record.left.get(run.upstream)
        request = record.asked.get(run.request_id)
        if (
            left_at is None
            or request is None
            or run.started_at - left_at <= DRAIN_NOTICE_S
        ):
            continue
        if record.is_undisturbed(left_at - CONTACT_S, run.started_at):
            yield (
                f'{run.request_id} ran '
                f'{run.started_at - left_at:.1f} s too late'
            )


@invariant('words of upstreams')
def check_notices(record: Record) -> Iterator[str]:
    """Yield requests at upstreams that had told the host to send none.

    A host that restarts forgets, and one that is paused or whose links are
    cut acts late.
    """
    for notice in record.notices:
        arrivals = record.arrivals[notice.upstream, notice.host]
        late = [row for row in arrivals if is_against(notice, row)]
        allowed = 0 if notice.pause_s is None else MAX_REQUESTS_IN_PAUSE
        if len(late) <= allowed or record.overlaps_fault(
            EXCUSING_FAULTS, notice.told_at, late[-1].arrived_at
        ):
            continue
        yield (
            f'{notice.upstream} told {notice.host}, '
            f'{len(late)} requests followed'
        )


def is_against(notice: Notice, arrival: RequestArrival) -> bool:
    """Return whether a request came although its host was told otherwise."""
    if notice.pause_s is None:
        return arrival.sent_at > notice.told_at + DRAIN_NOTICE_S
    after_s = arrival.arrived_at - notice.told_at
    return CROSSING_S < after_s < notice.pause_s


@invariant('rates')
def check_rates(record: Record) -> Iterator[str]:
    """Yield accounts with more requests in a window than their rate."""
    by_account = collections.defaultdict(list)
    for run in record.executions:
        request = record.asked.get(run.request_id)
        if request is not None:
            by_account[request.account].append(
                (request.sent_at, run.started_at)
            )
    for account, spans in by_account.items():
        peak = max(
            sum(
                start <= sent_at and run_at < start + QUOTA_WINDOW_S
                for sent_at, run_at in spans
            )
            for start, _ in spans
        )
        if peak > MAX_REQUESTS:
            yield f'{account}: {peak} in a window, {MAX_REQUESTS:g} allowed'


@invariant('retry budget')
def check_budget(record: Record) -> Iterator[str]:
    """Yield services with more retries in a window than the budget."""
    retries = collections.defaultdict(list)
    for runs in group_by_request(record).values():
        for run in runs[1:]:
            retries[run.service].append(run.started_at)
    for route in ROUTES:
        sent = [
            request.sent_at
            for request in record.asked.values()
            if request.route == route.name
        ]
        for start in retries[route.service]:
            count = count_in_window(
                retries[route.service], start, BUDGET_WINDOW_S
            )
            allowed = compute_budget(sent, start)
            if count > allowed:
                yield f'{route.service}: {count} repeats, {allowed:.0f} allowed'
                break


def compute_budget(sent: list[float], start: float) -> float:
    """Return the retries allowed in a window.

    The budget follows the requests of the window or of an earlier one that
    overlaps or adjoins it, whichever had more.
    """
    requests = max(
        count_in_window(sent, start - shift, BUDGET_WINDOW_S)
        for shift in (0, BUDGET_WINDOW_S / 2, BUDGET_WINDOW_S)
    )
    return requests * RETRY_BUDGET_RATIO + RETRY_ALLOWANCE


@invariant('own bodies')
def check_foreign_bytes(record: Record) -> Iterator[str]:
    """Yield bodies in whose place an upstream has read other bytes."""
    for upload in record.uploads:
        if upload.foreign:
            yield f'{upload.request_id}: {upload.foreign[:40]!r}'


@invariant('whole bodies')
def check_whole_bodies(record: Record) -> Iterator[str]:
    """Yield bodies that were cut although their callers got a success.

    A fault since the request was sent excuses it, as does the end of the run.
    """
    for upload in record.uploads:
        request = record.asked.get(upload.request_id)
        if request is None or request.status != SUCCESS or upload.is_whole:
            continue
        start = request.sent_at - CONTACT_S
        is_excused = upload.ended_at >= record.ends_at or record.overlaps_fault(
            None, start, upload.ended_at
        )
        if not is_excused:
            yield f'{upload.request_id} was cut at {upload.ended_at:.2f}'


@invariant('configured requests')
def check_denied(record: Record) -> Iterator[str]:
    """Yield refusals of what every configuration in force allows.

    A host that may have missed a version answers 503 instead, so this also
    holds for hosts out of contact.
    """
    for request in record.asked.values():
        key = record.keys[request.key]
        is_new = request.sent_at - key.added_at <= CONFIG_APPLY_S
        withdrawn = key.withdrawn_at < request.ended_at
        if request.status in OWN_REFUSALS and not (withdrawn or is_new):
            yield (
                f'{request.request_id} got {request.status} from {request.host}'
            )


@invariant('recovery')
def check_recovery(record: Record) -> Iterator[str]:
    """Yield a fleet that does not serve again after the faults."""
    completed = [
        request
        for request in record.asked.values()
        if request.sent_at > record.calm_from
        and request.ended_at < float('inf')
    ]
    last_at = max((request.sent_at for request in completed), default=0)
    sample = [
        request
        for request in completed
        if request.sent_at > last_at - RECOVERY_SAMPLE_S
    ]
    served = sum(is_served(request) for request in sample)
    if served < MIN_RECOVERED_FRACTION * max(len(sample), 1):
        yield f'{served} of {len(sample)} requests served at the end'


def is_served(request: RequestRecord) -> bool:
    """Return whether a request succeeded or exceeded its account's rate."""
    return request.status in {SUCCESS, 429}


def count_in_window(times: list[float], start: float, duration_s: float) -> int:
    """Count the times in a window."""
    return sum(start <= at < start + duration_s for at in times)
