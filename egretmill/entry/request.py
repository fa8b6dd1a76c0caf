"""Validates, routes and authenticates a caller's request head."""

import dataclasses
import uuid

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders, HTTPServerRequest

from egretmill.decoding import parse_count
from egretmill.document import ClientAccount, Environment, Route
from egretmill.entry import headers as header_names
from egretmill.errors import ErrorKind, Failure

__all__ = ('OPEN_ACCOUNT', 'CallerRequest', 'parse_request')

MAX_HEADER_BYTES = 16384
MAX_REQUEST_ID_CHARACTERS = 64
MILLISECONDS = 1000
CHUNKED_METHODS = frozenset(('POST', 'PUT'))
#: Queue name of requests on open routes, which have no client account.
OPEN_ACCOUNT = '(open)'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request that is well formed, routed and authenticated."""

    request_id: str
    method: str
    uri: str
    headers: HTTPHeaders
    route: Route
    account: ClientAccount | None
    deadline_at: float
    body_size: int | None
    idempotency_key: str | None

    @property
    def account_name(self) -> str:
        """Return the client account's name or that of open routes."""
        return self.account.name if self.account else OPEN_ACCOUNT

    def remaining_ms(self, now: float) -> int:
        """Return the time until the deadline, at least 1 ms."""
        return max(1, int((self.deadline_at - now) * MILLISECONDS))


def parse_request(
    request: HTTPServerRequest,
    environment: Environment,
    now: float,
) -> Result[CallerRequest, Failure]:
    """Check a request head against the version in force.

    :param now: time on the loop's clock from which the time limit counts.
    """
    if header_bytes(request.headers) > MAX_HEADER_BYTES:
        limit = f'more than {MAX_HEADER_BYTES} bytes'
        return Err(Failure(ErrorKind.HEADERS_TOO_LARGE, limit))
    routed = environment.route_for(request.method or '', request.path)
    if isinstance(routed, Err):
        return routed
    route = routed.ok_value
    account = authenticate(route, request.headers, environment)
    if isinstance(account, Err):
        return account
    size = body_size(request.method or '', request.headers, route)
    if isinstance(size, Err):
        return size
    limit_ms = time_limit_ms(request.headers, route)
    if isinstance(limit_ms, Err):
        return limit_ms
    idempotency_key = request.headers.get(header_names.IDEMPOTENCY_KEY)
    return Ok(
        CallerRequest(
            request_id=request_id_of(request.headers),
            method=request.method or '',
            uri=request.uri or '/',
            headers=kept_headers(request.headers, idempotency_key),
            route=route,
            account=account.ok_value,
            deadline_at=now + limit_ms.ok_value / MILLISECONDS,
            body_size=size.ok_value,
            idempotency_key=idempotency_key,
        ),
    )


def header_bytes(headers: HTTPHeaders) -> int:
    """Return the size of all header lines in bytes."""
    return sum(len(name) + len(text) + 4 for name, text in headers.get_all())


def kept_headers(
    headers: HTTPHeaders, idempotency_key: str | None
) -> HTTPHeaders:
    """Return headers that last as long as the request is served.

    One with an idempotency key is served on when its caller has disconnected;
    the server drops its headers then.
    """
    return headers if idempotency_key is None else headers.copy()


def authenticate(
    route: Route,
    headers: HTTPHeaders,
    environment: Environment,
) -> Result[ClientAccount | None, Failure]:
    """Return the account of the key; ``None`` on open routes."""
    if route.access == 'open':
        return Ok(None)
    return environment.account_for(headers.get(header_names.API_KEY))


def body_size(
    method: str,
    headers: HTTPHeaders,
    route: Route,
) -> Result[int | None, Failure]:
    """Return the Content-Length, ``None`` for a chunked body."""
    if 'Transfer-Encoding' in headers:
        if method not in CHUNKED_METHODS:
            # tornado's client frames chunks for these methods only; the
            # body of another one would be read as a further request.
            detail = f'{method} needs a Content-Length'
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        return Ok(None)
    text = headers.get('Content-Length', '0')
    size = parse_count(text.encode())
    if size is None:
        return Err(Failure(ErrorKind.BAD_REQUEST, 'bad Content-Length'))
    if size > route.max_body_bytes:
        limit = f'{size} bytes, at most {route.max_body_bytes}'
        return Err(Failure(ErrorKind.BODY_TOO_LARGE, limit))
    return Ok(size)


def time_limit_ms(headers: HTTPHeaders, route: Route) -> Result[int, Failure]:
    """Return the time limit: the caller's, but at most the route's."""
    text = headers.get(header_names.DEADLINE)
    if text is None:
        return Ok(route.time_limit_ms)
    limit_ms = parse_count(text.encode())
    if not limit_ms:
        detail = f'{header_names.DEADLINE} must be a positive integer'
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    return Ok(min(limit_ms, route.time_limit_ms))


def request_id_of(headers: HTTPHeaders) -> str:
    """Return the caller's request id if it is usable, else a new one."""
    given = headers.get(header_names.REQUEST_ID, '')
    if given.isalnum() and len(given) <= MAX_REQUEST_ID_CHARACTERS:
        return given
    return uuid.uuid4().hex
