"""Names of headers in requests and responses, told by the adapter."""

import dataclasses
from collections.abc import Mapping

from egretmill.errors import ANSWERS, ErrorKind

__all__ = ('Dialect',)


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case, and statuses that differ from the table.

    :param request_id: names one attempt of a caller; echoed by upstreams.
    :param deadline_ms: time that the sender waits, in milliseconds.
    :param affinity_cookie: cookie with the object of the request.
    :param signature: an upstream's mark on its responses.
    :param account: the client account, set for upstreams.
    :param target: the only upstream that may run the request.
    :param load: running, waiting and slots of the upstream.
    :param not_run: present when the upstream has not run the request.
    :param statuses: statuses of own answers that differ from the table.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_cookie: bytes
    signature: bytes
    account: bytes
    target: bytes
    load: bytes
    not_run: bytes
    statuses: Mapping[ErrorKind, int] = dataclasses.field(default_factory=dict)

    def status(self, kind: ErrorKind) -> int:
        """Return the status of an own answer."""
        return self.statuses.get(kind, ANSWERS[kind].status)
