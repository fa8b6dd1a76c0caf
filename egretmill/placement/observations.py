"""Outcomes of attempts and load reports of upstreams."""

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
    """Outcome and duration of one attempt at an upstream.

    :param latency_s: seconds from sending to the end of the attempt.
    :param kind: an :class:`ObservationKind` or its value. ``draining`` is a
        response with ``X-Draining``; ``refused`` means that no connection
        was established; ``failed`` is a broken connection or response.
    """

    latency_s: float
    kind: ObservationKind


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an upstream; ``running`` counts all hosts."""

    running: int
    draining: bool
    received_at: float
