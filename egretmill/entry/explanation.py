"""Explains to operators how a request would be routed."""

from collections.abc import Iterator

from result import Err

from egretmill.document import Environment, Route
from egretmill.entry.limits import account_total
from egretmill.entry.state import EntryState
from egretmill.wire.messages import Explain, Explained

__all__ = ('explain',)


def explain(state: EntryState, query: Explain) -> Explained:
    """Return the steps of the decision; takes no quota and sends nothing."""
    return Explained(tuple(explain_steps(state, query)))


def explain_steps(state: EntryState, query: Explain) -> Iterator[str]:
    """Yield one line per step until the request would be refused."""
    environment = state.environment
    if environment is None:
        yield 'refused: not_ready: no version is known yet'
        return
    yield f'host: {state.settings.name}, version {environment.version}'
    routed = environment.route_for(query.method, query.path)
    if isinstance(routed, Err):
        yield refusal_line(routed.err_value)
        return
    route = routed.ok_value
    yield f'route: {route.path} to service {route.service}, {route.access}'
    yield f'time limit: {route.time_limit_ms} ms'
    yield confirmation_line(state, route)
    yield account_line(state, environment, route, query.key_digest)
    yield from state.router.explain(
        route.service,
        environment,
        state.limits,
        state.now(),
    )


def refusal_line(failure) -> str:
    """Return the line of a refusal."""
    return f'refused: {failure.kind.value}: {failure.detail}'


def confirmation_line(state: EntryState, route: Route) -> str:
    """Return the line on the freshness of the version."""
    if state.is_confirmed_for(route):
        return 'version: fresh enough for this route'
    return 'refused: unconfirmed: the version may have been replaced'


def account_line(
    state: EntryState,
    environment: Environment,
    route: Route,
    key_digest: str,
) -> str:
    """Return the line on the client account and its share."""
    if route.access == 'open':
        return 'account: none needed, the route is open'
    owner = environment.account_by_digest.get(key_digest)
    if owner is None:
        return 'refused: unknown_key: no client account has this key digest'
    available = state.holdings.available(
        account_total(owner.name),
        state.now(),
    )
    return (
        f'account: {owner.name}, {owner.rate_per_s}/s with burst '
        f'{owner.burst}; {available:.1f} requests available on this host now'
    )
