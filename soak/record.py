"""What callers, upstreams and the operator saw in a run.

All times are seconds of the same monotonic clock.
"""

import collections
import dataclasses
import math
from collections.abc import Container

__all__ = (
    'Execution',
    'Key',
    'Notice',
    'Record',
    'RequestArrival',
    'RequestRecord',
    'UploadEnd',
)


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """A request of a caller and its answer.

    :param status: 0 when the connection ended without an answer.
    :param is_intact: the answer is complete and names this request.
    """

    request_id: str
    sent_at: float
    route: str
    account: str
    key: str
    host: str
    status: int = 0
    is_intact: bool = False
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """An upstream started to execute a request.

    :param has_credentials: the caller's API key reached the upstream.
    """

    request_id: str
    started_at: float
    upstream: str
    service: str
    account: str
    path: str
    has_credentials: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrival:
    """A request of a caller reached an upstream, run or not."""

    sent_at: float
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """An upstream told a host in an answer that it leaves or wants a pause.

    :param pause_s: ``None`` when it leaves.
    """

    upstream: str
    host: str
    told_at: float
    pause_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class UploadEnd:
    """How the body of a request ended at an upstream.

    :param is_whole: the upstream has read it to its end.
    :param foreign: other bytes that it has read in the place of the body.
    """

    request_id: str
    ended_at: float
    is_whole: bool
    foreign: bytes = b''


@dataclasses.dataclass(slots=True)
class Key:
    """An API key and when the store accepted its changes.

    :param added_at: time of the first configuration that contains the key.
    :param withdrawn_at: time of the first configuration without it.
    """

    text: str
    account: str
    added_at: float = 0
    withdrawn_at: float = math.inf


@dataclasses.dataclass(slots=True)
class Record:
    """Everything that the checks need.

    :param asked: all requests of the callers, by request id.
    :param left: when the store accepted that an upstream drains or is
        removed, by upstream.
    :param arrivals: times of requests, by upstream and host.
    :param notices: what upstreams said in their answers.
    :param disturbed: spans in which hosts may have lost contact with each
        other or with the store.
    :param faults: spans and kinds of all faults, graceful restarts included.
    :param uploads: ends of all bodies, empty ones included.
    :param calm_from: time after which no fault was active.
    :param ends_at: time at which the run ends, and cuts what is left.
    """

    asked: dict[str, RequestRecord] = dataclasses.field(default_factory=dict)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    keys: dict[str, Key] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    arrivals: dict[tuple[str, str], list[RequestArrival]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    notices: list[Notice] = dataclasses.field(default_factory=list)
    disturbed: list[tuple[float, float]] = dataclasses.field(
        default_factory=list,
    )
    faults: list[tuple[float, float, str]] = dataclasses.field(
        default_factory=list,
    )
    uploads: list[UploadEnd] = dataclasses.field(default_factory=list)
    calm_from: float = math.inf
    ends_at: float = math.inf

    def is_undisturbed(self, start: float, end: float) -> bool:
        """Return whether a span overlaps no span of ``disturbed``."""
        return not any(
            begun < end and start < ended for begun, ended in self.disturbed
        )

    def record_arrival(self, upstream: str, request_id: str, now: float) -> str:
        """Record that a request reached an upstream; return its host."""
        request = self.asked.get(request_id)
        if request is None:
            return ''
        self.arrivals[upstream, request.host].append(
            RequestArrival(request.sent_at, now)
        )
        return request.host

    def overlaps_fault(
        self, kinds: Container[str] | None, start: float, end: float
    ) -> bool:
        """Return whether a span overlaps a fault of some kinds, or of any."""
        return any(
            (kinds is None or kind in kinds) and begun < end and start < ended
            for begun, ended, kind in self.faults
        )
