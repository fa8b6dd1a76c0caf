"""Slow start: the rate limit of cold upstreams over all hosts."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.placement import SlowStartLimit

COLD_PER_S = 13.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
WINDOW_S = 1.0


def test_limit_ends_when_the_upstream_is_warm():
    """Guards against a slow start that never ends."""
    limit = SlowStartLimit()
    limit.mark_cold(10.0, 7.0)
    limit.set_rate(0)
    assert not limit.can_send(7.5)
    assert limit.can_send(10.0)
    limit.mark_cold(20.0, 11.0)
    limit.mark_warm()
    assert limit.can_send(12.0)


@settings(max_examples=50, deadline=None)
@given(st.integers(1, 4), st.integers(0, 2**32))
def test_hosts_together_keep_the_rate(hosts, seed):
    """Guards against hosts that exceed the rate in sum, each in its share."""
    rng = random.Random(seed)
    limits = [SlowStartLimit() for _ in range(hosts)]
    for limit in limits:
        limit.mark_cold(5.0, 0)
        limit.set_rate(COLD_PER_S / hosts)
    sent = []
    now = 0.0
    while now < 4:
        now += rng.expovariate(100)
        chosen = rng.choice(limits)
        if chosen.can_send(now):
            chosen.record_request(now)
            sent.append(now)
    for start in sent:
        window = [at for at in sent if start <= at < start + WINDOW_S]
        assert len(window) <= COLD_PER_S * TOLERATED_FACTOR + TOLERATED_REQUESTS
