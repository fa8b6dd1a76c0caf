"""Headers of a request on its way to an upstream, and back."""

import dataclasses
from collections.abc import Iterator

from egretmill.host.dialect import Dialect
from egretmill.http1 import RequestHead, Response
from egretmill.http1.messages import UNFORWARDED_HEADERS, Header

__all__ = ('Added', 'for_caller', 'for_upstream')

AUTHORIZATION = b'authorization'


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """What the host states to an upstream.

    :param left_ms: time until the caller gets a final answer.
    """

    upstream: str
    account: str
    left_ms: int


def for_upstream(
    head: RequestHead,
    dialect: Dialect,
    added: Added,
) -> Iterator[Header]:
    """Yield the caller's headers without its key, then the own ones."""
    dropped = {
        AUTHORIZATION,
        dialect.deadline_ms,
        dialect.target,
        dialect.account,
        *head.connection_options(),
    }
    for name, text in head.headers:
        lower = name.lower()
        if lower not in UNFORWARDED_HEADERS and lower not in dropped:
            yield name, text
    yield dialect.deadline_ms, b'%d' % added.left_ms
    yield dialect.target, added.upstream.encode()
    if added.account:
        yield dialect.account, added.account.encode()


def for_caller(response: Response, dialect: Dialect) -> Response:
    """Drop what an upstream tells only this host."""
    response.headers = [
        header
        for header in response.headers
        if header[0].lower() not in {dialect.load, dialect.not_run}
    ]
    return response
