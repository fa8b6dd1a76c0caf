"""Selects the headers that are passed between caller and upstream."""

from collections.abc import Iterable

from tornado.httputil import HTTPHeaders

__all__ = (
    'API_KEY',
    'DEADLINE',
    'IDEMPOTENCY_KEY',
    'OUTCOME',
    'REQUEST_ID',
    'answer_pairs',
    'upstream_headers',
)

API_KEY = 'X-Api-Key'
DEADLINE = 'X-Deadline-Ms'
IDEMPOTENCY_KEY = 'Idempotency-Key'
OUTCOME = 'X-Egretmill-Outcome'
REQUEST_ID = 'X-Request-Id'
FORWARDED_BY = 'X-Egretmill-Forwarded-By'

#: RFC 9110 section 7.6.1: these belong to one connection only.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
NOT_FORWARDED = HOP_BY_HOP | {
    API_KEY.lower(),
    DEADLINE.lower(),
    REQUEST_ID.lower(),
    FORWARDED_BY.lower(),
    'expect',
    'host',
    'content-length',
}
NOT_RETURNED = HOP_BY_HOP | {
    'content-length',
    'date',
    'server',
    'x-draining',
    OUTCOME.lower(),
    REQUEST_ID.lower(),
}


def connection_options(headers: HTTPHeaders) -> frozenset[str]:
    """Return the header names that the Connection header lists."""
    joined = ','.join(headers.get_list('Connection'))
    return frozenset(
        name.strip().lower() for name in joined.split(',') if name.strip()
    )


def end_to_end_headers(
    headers: HTTPHeaders,
    removed: frozenset[str],
) -> Iterable[tuple[str, str]]:
    """Yield all headers but the removed ones and the connection's own."""
    dropped = removed | connection_options(headers)
    for name, text in headers.get_all():
        if name.lower() not in dropped:
            yield name, text


def upstream_headers(
    headers: HTTPHeaders,
    authority: str,
    request_id: str,
    remaining_ms: int,
    body_size: int | None,
) -> HTTPHeaders:
    """Return the headers for an upstream, without the caller's API key.

    :param authority: host and port of the upstream.
    :param remaining_ms: time until the deadline, in milliseconds.
    :param body_size: bytes of the body; ``None`` when not known.
    """
    forwarded = HTTPHeaders()
    for name, text in end_to_end_headers(headers, NOT_FORWARDED):
        forwarded.add(name, text)
    forwarded['Host'] = authority
    forwarded['Connection'] = 'close'
    forwarded[REQUEST_ID] = request_id
    forwarded[DEADLINE] = str(remaining_ms)
    if body_size is not None:
        forwarded['Content-Length'] = str(body_size)
    return forwarded


def answer_pairs(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers of an upstream's answer that the caller gets."""
    return tuple(end_to_end_headers(headers, NOT_RETURNED))
