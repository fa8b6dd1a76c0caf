"""Answers that the host itself gives in place of an upstream."""

import dataclasses

import msgspec

from egretmill.errors import ErrorKind, Failure, Outcome
from egretmill.host.dialect import Dialect
from egretmill.http1 import Response

__all__ = ('Refusal', 'refusal_response')

OUTCOME_HEADER = b'X-Egretmill-Outcome'
#: Bounds of Retry-After, in seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
#: Retry-After of a host that is leaving, in seconds: others serve at once.
LEAVING_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that this host answers itself.

    :param outcome: whether an upstream may have run it.
    :param retry_after_s: when another attempt may succeed, in seconds.
    """

    kind: ErrorKind
    outcome: Outcome
    detail: str = ''
    retry_after_s: float | None = None

    @classmethod
    def not_run(
        cls,
        failure: Failure,
        retry_after_s: float | None = None,
    ) -> 'Refusal':
        """Refuse a request that no upstream has run or will run."""
        return cls(
            failure.kind,
            Outcome.NOT_RUN,
            failure.detail,
            retry_after_s or failure.answer.retry_after_s,
        )

    @classmethod
    def unknown(cls, failure: Failure) -> 'Refusal':
        """End a request that an upstream may have run."""
        return cls(failure.kind, Outcome.UNKNOWN, failure.detail)

    @classmethod
    def leaving(cls) -> 'Refusal':
        """Refuse a request because the host is shutting down."""
        failure = Failure(ErrorKind.SHUTTING_DOWN, 'host is leaving')
        return cls.not_run(failure, LEAVING_RETRY_S)

    @classmethod
    def internal(cls, error: Exception) -> 'Refusal':
        """End a request after an unexpected exception."""
        return cls(ErrorKind.INTERNAL, Outcome.UNKNOWN, repr(error))


def refusal_response(refusal: Refusal, dialect: Dialect) -> Response:
    """Return the HTTP response for a refusal."""
    response = Response(dialect.status(refusal.kind))
    response.add_header(b'Content-Type', b'application/json')
    response.add_header(OUTCOME_HEADER, refusal.outcome.value.encode())
    if refusal.retry_after_s is not None:
        at_least_s = max(refusal.retry_after_s, MIN_RETRY_AFTER_S)
        bounded_s = min(at_least_s, MAX_RETRY_AFTER_S)
        response.add_header(b'Retry-After', f'{bounded_s:.3f}'.encode())
    response.body = msgspec.json.encode(
        {'error': refusal.kind.value, 'detail': refusal.detail},
    )
    return response
