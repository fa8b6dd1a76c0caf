"""Keeps the pauses that upstreams ask of this host."""

from collections.abc import Mapping

from egretmill import events
from egretmill.fleet.upstreams import Upstream
from egretmill.logs import log_event
from egretmill.placement.load import UpstreamLoad
from egretmill.placement.pause import Pause

__all__ = ('UpstreamPauses',)

#: Bound of a stated pause in the logs, in seconds.
MAX_LOGGED_S = 1e9


class UpstreamPauses:
    """Records pauses, also those of upstreams that are not registered.

    An upstream whose entry has lapsed may return under its incarnation.
    """

    def __init__(self, loads: Mapping[str, UpstreamLoad]) -> None:
        """Record pauses in the loads of a pool."""
        self.loads = loads
        #: Incarnations and pauses of removed upstreams, by name.
        self.kept: dict[str, tuple[int, Pause]] = {}

    def record(self, upstream: Upstream, pause_s: float, now: float) -> None:
        """Record a pause that an answer to this host asks for.

        :param upstream: record by which the request was sent.
        """
        load = self.loads.get(upstream.name)
        if load is None:
            pause = self.take(upstream)
        elif load.record.incarnation == upstream.incarnation:
            pause = load.pause
        else:
            return
        if pause.record(pause_s, now):
            log_event(
                events.CATALOGUE.UPSTREAM_PAUSED,
                upstream=upstream.name,
                asked_s=round(min(pause_s, MAX_LOGGED_S), 3),
                pause_s=round(pause.wait_s(now), 3),
            )
        if load is None:
            self.keep(upstream, pause, now)

    def keep(self, upstream: Upstream, pause: Pause, now: float) -> None:
        """Keep the pause of a removed upstream until its end."""
        self.kept = {
            name: kept
            for name, kept in self.kept.items()
            if kept[1].wait_s(now)
        }
        if pause.wait_s(now):
            self.kept[upstream.name] = (upstream.incarnation, pause)

    def take(self, upstream: Upstream) -> Pause:
        """Return the pause of an upstream that was removed, or a new one."""
        incarnation, pause = self.kept.pop(upstream.name, (-1, Pause()))
        return pause if incarnation == upstream.incarnation else Pause()
