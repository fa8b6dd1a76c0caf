"""Headers of forwarded requests and of the responses to them."""

import dataclasses
from collections.abc import Iterator

from egretmill.host.dialect import Dialect
from egretmill.http1 import RequestHead, Response
from egretmill.http1.messages import UNFORWARDED_HEADERS, Header

__all__ = ('AddedHeaders', 'forwarded_headers', 'strip_internal_headers')

AUTHORIZATION = b'authorization'


@dataclasses.dataclass(frozen=True, slots=True)
class AddedHeaders:
    """Headers that the host adds for an upstream.

    :param left_ms: time until the caller must get a final answer.
    """

    upstream: str
    account: str
    left_ms: int


def forwarded_headers(
    head: RequestHead,
    dialect: Dialect,
    added: AddedHeaders,
) -> Iterator[Header]:
    """Yield the caller's headers without its key, then the added ones."""
    removed_names = {
        AUTHORIZATION,
        dialect.deadline_ms,
        dialect.target,
        dialect.account,
        *head.connection_options(),
    }
    for name, text in head.headers:
        lower = name.lower()
        if lower not in UNFORWARDED_HEADERS and lower not in removed_names:
            yield name, text
    yield dialect.deadline_ms, b'%d' % added.left_ms
    yield dialect.target, added.upstream.encode()
    if added.account:
        yield dialect.account, added.account.encode()


def strip_internal_headers(response: Response, dialect: Dialect) -> Response:
    """Remove the headers that an upstream sets for this host only."""
    response.headers = [
        header
        for header in response.headers
        if header[0].lower() not in {dialect.load, dialect.not_run}
    ]
    return response
