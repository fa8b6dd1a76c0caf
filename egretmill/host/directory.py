"""Which entry hosts a caller should use."""

from collections.abc import Sequence

from egretmill.host.state import HostState
from egretmill.peers.beat import Beat

__all__ = ('CACHE_S', 'entry_hosts')

#: Callers keep an answer for this time; bounds how long they use a host that
#: has gone, against one look-up per caller and time.
CACHE_S = 2.0
#: Most hosts that an answer names.
MOST_HOSTS = 64


def entry_hosts(state: HostState, region: str) -> tuple[str, ...]:
    """Return the ready hosts of the caller's region, or all ready ones.

    Hosts of another region must not get what has its home elsewhere.
    """
    now = state.now()
    beats = [
        peer.beat
        for peer in state.peers.alive(now)
        if peer.beat is not None and peer.beat.ready
    ]
    near = _entries(beats, region)
    if state.ready and state.settings.region == region:
        near.append(str(state.settings.entry))
    if near:
        return tuple(sorted(near)[:MOST_HOSTS])
    everyone = [beat.entry for beat in beats]
    if state.ready or not everyone:
        everyone.append(str(state.settings.entry))
    return tuple(sorted(everyone)[:MOST_HOSTS])


def _entries(beats: Sequence[Beat], region: str) -> list[str]:
    return [beat.entry for beat in beats if beat.region == region]
