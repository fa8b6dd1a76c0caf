"""Which headers pass between caller and upstream."""

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
    listed = ','.join(headers.get_list('Connection'))
    return frozenset(
        name.strip().lower() for name in listed.split(',') if name.strip()
    )


def passing(
    headers: HTTPHeaders,
    removed: frozenset[str],
) -> Iterable[tuple[str, str]]:
    """Yield the end-to-end headers that are not removed."""
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
    """Return the headers for an upstream; never the caller's key.

    :param authority: host and port of the upstream.
    :param remaining_ms: what is left of the deadline, in milliseconds.
    :param body_size: bytes of the body; ``None`` when not known.
    """
    sent = HTTPHeaders()
    for name, text in passing(headers, NOT_FORWARDED):
        sent.add(name, text)
    sent['Host'] = authority
    sent['Connection'] = 'close'
    sent[REQUEST_ID] = request_id
    sent[DEADLINE] = str(remaining_ms)
    if body_size is not None:
        sent['Content-Length'] = str(body_size)
    return sent


def answer_pairs(headers: HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers of an upstream's answer for the caller."""
    return tuple(passing(headers, NOT_RETURNED))
