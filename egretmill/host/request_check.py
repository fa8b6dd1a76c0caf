"""Checks a request's head: route, API key, deadline, regions. No I/O."""

import dataclasses
import random
from collections.abc import Sequence

from result import Err, Ok, Result

from egretmill.decoding import parse_count
from egretmill.errors import ErrorKind, Failure
from egretmill.fleet.configuration import (
    ClientAccount,
    Destination,
    FleetConfiguration,
    Route,
)
from egretmill.host.answers import Refusal
from egretmill.host.dialect import Dialect
from egretmill.host.state import HostState
from egretmill.http1 import RequestHead

__all__ = ('AcceptedRequest', 'check_request')

BEARER = b'bearer '
#: Retry-After of a host whose configuration may be outdated, in seconds.
UNCONFIRMED_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A checked request that may be sent to an upstream.

    :param object_key: the route and the object, because an upstream that has
        handled an object on one route is still cold for it on another.
    :param deadline_at: boot time at which the final answer is due.
    :param home_regions: regions that may run it; empty allows all.
    """

    request_id: bytes
    route: Route
    service: str
    account: ClientAccount | None
    object_key: str
    deadline_at: float
    home_regions: frozenset[str]
    version: int

    @property
    def priority(self) -> int:
        """Return the priority of the request, 0 for the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def account_name(self) -> str:
        """Return the name of the client account, empty on a public route."""
        return self.account.name if self.account else ''


def check_request(
    head: RequestHead,
    state: HostState,
    rng: random.Random,
) -> Result[AcceptedRequest, Refusal]:
    """Check a head against the current configuration."""
    configuration = state.configuration
    if configuration is None:
        return _refuse(ErrorKind.NOT_READY, 'no configuration is known')
    if state.view.is_configuration_outdated():
        lag_s = state.view.configuration_lag_s()
        detail = f'peers have had a newer configuration for {lag_s:.1f} s'
        return _refuse(ErrorKind.UNCONFIRMED, detail, UNCONFIRMED_RETRY_S)
    authority = head.fields.get(b'host', b'').decode('latin-1').lower()
    target = head.target.decode('latin-1')
    path = target.partition('?')[0]
    route = configuration.match(authority, path)
    if route is None:
        return _refuse_unknown(state, ErrorKind.UNKNOWN_ROUTE, path)
    account = _authenticate(head, configuration, route, state)
    if isinstance(account, Err):
        return account
    home_regions = _common_home_regions(route, account.ok_value)
    if home_regions is None:
        detail = 'route and client account have no home region in common'
        return _refuse(ErrorKind.NO_UPSTREAM, detail)
    return Ok(
        AcceptedRequest(
            head.fields.get(state.dialect.request_id, b''),
            route,
            _pick_service(route.destinations, rng),
            account.ok_value,
            f'{route.name}/{_object_key(head, state.dialect, rng)}',
            head.received_at + _request_timeout_s(head, route, state.dialect),
            home_regions,
            configuration.version,
        ),
    )


def _authenticate(
    head: RequestHead,
    configuration: FleetConfiguration,
    route: Route,
    state: HostState,
) -> Result[ClientAccount | None, Refusal]:
    if route.public or not configuration.requires_keys:
        return Ok(None)
    age_s = state.view.configuration_age_s()
    if not state.confirms_keys(age_s):
        detail = f'keys were last confirmed {age_s:.1f} s ago'
        return _refuse(ErrorKind.UNCONFIRMED, detail, UNCONFIRMED_RETRY_S)
    header = head.fields.get(b'authorization', b'')
    if header[: len(BEARER)].lower() != BEARER:
        return _refuse(ErrorKind.MISSING_KEY, 'no bearer key')
    key = header[len(BEARER) :].strip().decode('latin-1')
    account = configuration.account_by_key.get(key)
    if account is None:
        return _refuse_unknown(state, ErrorKind.UNKNOWN_KEY, 'key is not known')
    return Ok(account)


def _refuse_unknown(
    state: HostState,
    kind: ErrorKind,
    detail: str,
) -> Result[object, Refusal]:
    """Refuse what the configuration does not contain.

    A host that may have missed a newer version refuses without claiming that
    the route or key does not exist.
    """
    age_s = state.view.configuration_age_s()
    if age_s > state.settings.bounds.apply_s:
        detail = f'configuration was last confirmed {age_s:.1f} s ago'
        return _refuse(ErrorKind.UNCONFIRMED, detail, UNCONFIRMED_RETRY_S)
    return _refuse(kind, detail)


def _refuse(
    kind: ErrorKind,
    detail: str,
    retry_after_s: float | None = None,
) -> Err[Refusal]:
    return Err(Refusal.not_run(Failure(kind, detail), retry_after_s))


def _common_home_regions(
    route: Route,
    account: ClientAccount | None,
) -> frozenset[str] | None:
    """Return the regions that both allow; ``None`` if there are none."""
    of_account = account.home_regions if account else frozenset()
    if not route.home_regions or not of_account:
        return route.home_regions or of_account
    return (route.home_regions & of_account) or None


def _pick_service(
    destinations: Sequence[Destination], rng: random.Random
) -> str:
    if len(destinations) == 1:
        return destinations[0].service
    weights = [row.weight for row in destinations]
    return rng.choices(destinations, weights)[0].service


def _object_key(
    head: RequestHead,
    dialect: Dialect,
    rng: random.Random,
) -> str:
    """Return the key of the requested object, or a random one."""
    cookies = head.fields.get(b'cookie', b'')
    for cookie in cookies.split(b';'):
        name, _, text = cookie.strip().partition(b'=')
        if name.lower() == dialect.affinity_cookie and text:
            return text.decode('latin-1')
    return f'~{rng.randrange(64)}'  # noqa: S311


def _request_timeout_s(
    head: RequestHead, route: Route, dialect: Dialect
) -> float:
    requested_ms = parse_count(head.fields.get(dialect.deadline_ms, b''))
    if requested_ms is None:
        return route.timeout_s
    return min(requested_ms / 1000, route.timeout_s)
