"""Incarnation numbers, which rise with each start of a program."""

__all__ = ('next_incarnation',)

MILLISECONDS = 1000


def next_incarnation(wall_clock_s: float, last_known: int = 0) -> int:
    """Return the incarnation of a program that starts now.

    :param wall_clock_s: seconds since the epoch.
    :param last_known: highest incarnation of this program that the
        platform or a peer has reported, 0 for none. It keeps the number
        rising if the wall clock was set back between two starts.
    """
    return max(int(wall_clock_s * MILLISECONDS), last_known + 1)
