"""All error kinds and the answer that each of them gets."""

import dataclasses
import enum
from collections.abc import Mapping
from types import MappingProxyType

__all__ = ('ANSWERS', 'Answer', 'ErrorKind', 'Failure', 'Outcome')


class Outcome(enum.StrEnum):
    """Whether a request was executed, as far as the system knows."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class ErrorKind(enum.StrEnum):
    """The kinds of failure that the programs of the system report."""

    BAD_REQUEST = 'bad_request'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_SERVICE = 'unknown_service'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    MISSING_KEY = 'missing_key'
    UNKNOWN_KEY = 'unknown_key'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    NO_UPSTREAM = 'no_upstream'
    QUEUE_TIMEOUT = 'queue_timeout'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_SHED = 'upstream_shed'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    LEDGER_UNAVAILABLE = 'ledger_unavailable'
    IN_PROGRESS = 'in_progress'
    OWNER_LOST = 'owner_lost'
    ANSWER_NOT_STORED = 'answer_not_stored'
    IDEMPOTENCY_KEY_REUSED = 'idempotency_key_reused'
    NOT_READY = 'not_ready'
    SHUTTING_DOWN = 'shutting_down'
    UNCONFIRMED = 'unconfirmed'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    VERSION_CONFLICT = 'version_conflict'
    INVALID_DOCUMENT = 'invalid_document'
    TRANSITION_REFUSED = 'transition_refused'
    PROMOTION_UNKNOWN = 'promotion_unknown'
    MALFORMED_FRAME = 'malformed_frame'
    PEER_UNREACHABLE = 'peer_unreachable'
    NOT_FOUND = 'not_found'
    INTERNAL = 'internal'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """HTTP status, outcome and Retry-After (seconds, or ``None``)."""

    status: int
    outcome: Outcome
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failure of a known kind, with a detail for human readers."""

    kind: ErrorKind
    detail: str = ''

    @property
    def answer(self) -> Answer:
        """Return the answer that a failure of this kind gets."""
        return ANSWERS[self.kind]


ANSWERS: Mapping[ErrorKind, Answer] = MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: Answer(400, Outcome.NOT_RUN),
        ErrorKind.HEADERS_TOO_LARGE: Answer(431, Outcome.NOT_RUN),
        ErrorKind.BODY_TOO_LARGE: Answer(413, Outcome.NOT_RUN),
        ErrorKind.UNKNOWN_ROUTE: Answer(404, Outcome.NOT_RUN),
        ErrorKind.UNKNOWN_SERVICE: Answer(404, Outcome.NOT_RUN),
        ErrorKind.METHOD_NOT_ALLOWED: Answer(405, Outcome.NOT_RUN),
        ErrorKind.MISSING_KEY: Answer(401, Outcome.NOT_RUN),
        ErrorKind.UNKNOWN_KEY: Answer(403, Outcome.NOT_RUN),
        ErrorKind.RATE_LIMITED: Answer(429, Outcome.NOT_RUN, 1),
        ErrorKind.OVERLOADED: Answer(503, Outcome.NOT_RUN, 1),
        ErrorKind.NO_UPSTREAM: Answer(503, Outcome.NOT_RUN, 2),
        ErrorKind.QUEUE_TIMEOUT: Answer(504, Outcome.NOT_RUN, 1),
        ErrorKind.UPSTREAM_REFUSED: Answer(502, Outcome.NOT_RUN, 1),
        ErrorKind.UPSTREAM_SHED: Answer(503, Outcome.NOT_RUN, 1),
        ErrorKind.UPSTREAM_FAILED: Answer(502, Outcome.UNKNOWN),
        ErrorKind.UPSTREAM_TIMEOUT: Answer(504, Outcome.UNKNOWN),
        ErrorKind.LEDGER_UNAVAILABLE: Answer(503, Outcome.NOT_RUN, 2),
        ErrorKind.IN_PROGRESS: Answer(409, Outcome.UNKNOWN, 1),
        ErrorKind.OWNER_LOST: Answer(409, Outcome.UNKNOWN),
        ErrorKind.ANSWER_NOT_STORED: Answer(409, Outcome.RAN),
        ErrorKind.IDEMPOTENCY_KEY_REUSED: Answer(422, Outcome.NOT_RUN),
        ErrorKind.NOT_READY: Answer(503, Outcome.NOT_RUN, 1),
        ErrorKind.SHUTTING_DOWN: Answer(503, Outcome.NOT_RUN, 1),
        ErrorKind.UNCONFIRMED: Answer(503, Outcome.NOT_RUN, 2),
        ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, Outcome.NOT_RUN, 2),
        ErrorKind.VERSION_CONFLICT: Answer(409, Outcome.NOT_RUN),
        ErrorKind.INVALID_DOCUMENT: Answer(422, Outcome.NOT_RUN),
        ErrorKind.TRANSITION_REFUSED: Answer(409, Outcome.NOT_RUN),
        ErrorKind.PROMOTION_UNKNOWN: Answer(504, Outcome.UNKNOWN, 2),
        ErrorKind.MALFORMED_FRAME: Answer(400, Outcome.NOT_RUN),
        ErrorKind.PEER_UNREACHABLE: Answer(503, Outcome.NOT_RUN, 1),
        ErrorKind.NOT_FOUND: Answer(404, Outcome.NOT_RUN),
        ErrorKind.INTERNAL: Answer(500, Outcome.UNKNOWN),
    }
)
