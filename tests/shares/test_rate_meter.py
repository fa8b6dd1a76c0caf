"""Smoothed rates."""

from egretmill.shares.rate_meter import RateMeter

TIME_CONSTANT_S = 10.0
PER_S = 20


def record_steadily(meter, start, duration_s):
    """Record events at a steady rate; return the end."""
    for number in range(int(duration_s * PER_S)):
        meter.record(start + number / PER_S)
    return start + duration_s


def test_rate_rises_slowly():
    """Guards against high rates after the first event."""
    meter = RateMeter(TIME_CONSTANT_S)
    now = record_steadily(meter, 100, 1)
    assert meter.rate_at(now) < 0.2 * PER_S


def test_rate_decays_without_events():
    """Guards against demand of callers that have left."""
    meter = RateMeter(TIME_CONSTANT_S)
    now = record_steadily(meter, 0, 60)
    assert meter.rate_at(now + 3 * TIME_CONSTANT_S) < 0.06 * PER_S
