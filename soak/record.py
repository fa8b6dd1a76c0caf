"""What callers, upstreams and the operator saw in a run.

All times are seconds of the same monotonic clock.
"""

import dataclasses
import math

__all__ = ('Execution', 'Key', 'Record', 'RequestRecord')


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
    :param disturbed: spans in which hosts may have lost contact with each
        other or with the store.
    :param faults: spans and kinds of all faults, graceful restarts included.
    :param calm_from: time after which no fault was active.
    """

    asked: dict[str, RequestRecord] = dataclasses.field(default_factory=dict)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    keys: dict[str, Key] = dataclasses.field(default_factory=dict)
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    disturbed: list[tuple[float, float]] = dataclasses.field(
        default_factory=list,
    )
    faults: list[tuple[float, float, str]] = dataclasses.field(
        default_factory=list,
    )
    calm_from: float = math.inf

    def is_undisturbed(self, start: float, end: float) -> bool:
        """Return whether a span overlaps no span of ``disturbed``."""
        return not any(
            begun < end and start < ended for begun, ended in self.disturbed
        )
