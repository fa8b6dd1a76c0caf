"""Tells operators how a request would be decided."""

from collections.abc import Iterator

from result import Err

from egretmill.document import Environment, Route
from egretmill.entry.limits import account_total
from egretmill.entry.state import EntryState
from egretmill.wire.messages import Explain, Explained

__all__ = ('explain',)


def explain(state: EntryState, question: Explain) -> Explained:
    """Return the decision step by step; nothing is taken or sent."""
    return Explained(tuple(steps(state, question)))


def steps(state: EntryState, question: Explain) -> Iterator[str]:
    """Yield one line per step until the request would be refused."""
    environment = state.environment
    if environment is None:
        yield 'refused: not_ready: no version is known yet'
        return
    yield f'host: {state.settings.name}, version {environment.version}'
    routed = environment.route_for(question.method, question.path)
    if isinstance(routed, Err):
        yield refused(routed.err_value)
        return
    route = routed.ok_value
    yield f'route: {route.path} to service {route.service}, {route.access}'
    yield f'time limit: {route.time_limit_ms} ms'
    yield confirmation(state, route)
    yield account(state, environment, route, question.key_digest)
    yield from state.router.explain(
        route.service,
        environment,
        state.limits,
        state.now(),
    )


def refused(failure) -> str:
    """Return the line of a refusal."""
    return f'refused: {failure.kind.value}: {failure.detail}'


def confirmation(state: EntryState, route: Route) -> str:
    """Return the line on the freshness of the version."""
    if state.is_confirmed_for(route):
        return 'version: fresh enough for this route'
    return 'refused: unconfirmed: the version may have been replaced'


def account(
    state: EntryState,
    environment: Environment,
    route: Route,
    key_digest: str,
) -> str:
    """Return the line on the client account and its share."""
    if route.access == 'open':
        return 'account: none needed, the route is open'
    found = environment.account_by_digest.get(key_digest)
    if found is None:
        return 'refused: unknown_key: no client account has this key digest'
    available = state.holdings.available(
        account_total(found.name),
        state.now(),
    )
    return (
        f'account: {found.name}, {found.rate_per_s}/s with burst '
        f'{found.burst}; {available:.1f} requests available on this host now'
    )
