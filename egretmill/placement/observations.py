"""What a request or a load report tells about an upstream."""

import dataclasses
import enum

__all__ = ('LoadReport', 'Observation', 'ObservationKind')


class ObservationKind(enum.StrEnum):
    """How an attempt at an upstream ended."""

    OK = 'ok'
    SHED = 'shed'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The end of one attempt.

    :param latency_s: seconds from sending to the end of the attempt.
    :param kind: an :class:`ObservationKind` or its text. ``draining`` is an
        answer that carries ``X-Draining``; ``refused`` means that no
        connection was made; ``failed`` is a broken connection or answer.
    """

    latency_s: float
    kind: ObservationKind


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report; ``running`` counts the requests of all hosts."""

    running: int
    draining: bool
    received_at: float
