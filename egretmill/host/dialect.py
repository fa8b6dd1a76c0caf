"""Platform-specific header names and statuses, provided by the adapter."""

import dataclasses
from collections.abc import Callable, Mapping

from egretmill.errors import ANSWERS, ErrorKind

__all__ = ('Dialect',)


@dataclasses.dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case, and statuses that replace the default ones.

    :param request_id: identifies one attempt of a caller; upstreams echo it.
    :param deadline_ms: time that the sender waits, in milliseconds.
    :param affinity_cookie: cookie with the key of the requested object.
    :param signature: with it, an upstream marks its responses as its own.
    :param account: the client account, set for upstreams.
    :param target: the only upstream that may run the request.
    :param load: running, waiting and slots of the upstream.
    :param rate_limit: requests per second that the upstream takes from all
        hosts together, while it is in need.
    :param decode_rate: decodes that header; ``None`` when it is malformed.
    :param leaving: says in any answer that the upstream is leaving.
    :param decode_leaving: decodes that header.
    :param pause: pause that an upstream asks of this host when it is
        unavailable.
    :param decode_pause: decodes that header into seconds; ``None`` when it is
        malformed.
    :param not_run: present when the upstream has not run the request.
    :param statuses: statuses of this host's answers by kind of error, where
        they differ from the defaults.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_cookie: bytes
    signature: bytes
    account: bytes
    target: bytes
    load: bytes
    rate_limit: bytes
    decode_rate: Callable[[bytes], float | None]
    not_run: bytes
    leaving: bytes
    decode_leaving: Callable[[bytes], bool]
    pause: bytes
    decode_pause: Callable[[bytes], float | None]
    statuses: Mapping[ErrorKind, int] = dataclasses.field(default_factory=dict)

    def status(self, kind: ErrorKind) -> int:
        """Return the status with which this host answers an error."""
        return self.statuses.get(kind, ANSWERS[kind].status)
