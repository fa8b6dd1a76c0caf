"""What callers, upstreams and the operator saw, on one clock (seconds)."""

import dataclasses
import math

__all__ = ('Asked', 'Execution', 'Key', 'Record')


@dataclasses.dataclass(slots=True)
class Asked:
    """A request of a caller and the answer that came.

    :param status: 0 when the connection ended without an answer.
    :param intact: the answer is that of the upstream that ran the request.
    """

    identifier: str
    at: float
    route: str
    account: str
    key: str
    host: str
    status: int = 0
    intact: bool = False
    ended_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """An upstream began to work on a request."""

    identifier: str
    at: float
    upstream: str
    service: str
    account: str
    path: str
    key_seen: bool


@dataclasses.dataclass(slots=True)
class Key:
    """A key with the times at which the store took its changes.

    :param added_at: first version that holds it.
    :param withdrawn_at: first version without it.
    """

    text: str
    account: str
    added_at: float = 0
    withdrawn_at: float = math.inf


@dataclasses.dataclass(slots=True)
class Record:
    """Everything that the checks need.

    :param left: when the store acknowledged that an upstream leaves.
    :param disturbed: spans in which hosts or the store were out of touch.
    :param faults: spans of all faults, graceful restarts included.
    """

    asked: dict[str, Asked] = dataclasses.field(default_factory=dict)
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

    def calm(self, start: float, end: float) -> bool:
        """Tell whether all hosts were in touch during a span."""
        return not any(
            begun < end and start < ended for begun, ended in self.disturbed
        )
