"""The pause that an upstream asks of this host. No I/O.

Times are boot times in seconds.
"""

import dataclasses

__all__ = ('MAX_PAUSE_S', 'MAX_PROBES', 'Pause')

#: Longest pause that is believed, in seconds. After it, probes show whether
#: the upstream still wants none.
MAX_PAUSE_S = 300.0
#: Requests that are sent after a pause until one of them is answered. The
#: contract of the users allows two within a pause.
MAX_PROBES = 2


@dataclasses.dataclass(slots=True)
class Pause:
    """Lets no request pass until its end, and then few until one is answered.

    :param until: end of the longest pause that was asked for.
    :param is_probing: no answer since the end has shown that it is over.
    :param probes: requests in flight that were sent since the end.
    """

    until: float = 0
    is_probing: bool = False
    probes: int = 0

    def record(self, pause_s: float, now: float) -> bool:
        """Record a pause that an answer asks for; return whether it is longer.

        Each answer asks for itself, so a shorter pause does not end a longer
        one.
        """
        until = now + min(pause_s, MAX_PAUSE_S)
        if until <= max(self.until, now):
            return False
        self.until = until
        self.is_probing = True
        self.probes = 0
        return True

    def wait_s(self, now: float) -> float:
        """Return the time until the end, 0 when it is past."""
        return max(self.until - now, 0)

    def can_send(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if now < self.until:
            return False
        return not self.is_probing or self.probes < MAX_PROBES

    def record_request(self) -> None:
        """Count a request that is sent."""
        if self.is_probing:
            self.probes += 1

    def record_end(self, sent_at: float, *, is_answered: bool) -> None:
        """Record the end of a request.

        One that was sent before the end of the pause shows nothing.
        """
        if not self.is_probing or sent_at < self.until:
            return
        self.probes = max(self.probes - 1, 0)
        if is_answered:
            self.is_probing = False
