"""Slow start: the rate limit of cold upstreams over all hosts."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.placement import ColdGate

COLD_PER_S = 13.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
WINDOW_S = 1.0


def test_limit_ends_when_the_upstream_is_warm():
    """Guards against a slow start that never ends."""
    gate = ColdGate()
    gate.close(10.0, 7.0)
    gate.own(0)
    assert not gate.can_send(7.5)
    assert gate.can_send(10.0)
    gate.close(20.0, 11.0)
    gate.open()
    assert gate.can_send(12.0)


@settings(max_examples=50, deadline=None)
@given(st.integers(1, 4), st.integers(0, 2**32))
def test_hosts_together_keep_the_rate(hosts, seed):
    """Guards against hosts that exceed the rate in sum, each in its share."""
    rng = random.Random(seed)
    gates = [ColdGate() for _ in range(hosts)]
    for gate in gates:
        gate.close(5.0, 0)
        gate.own(COLD_PER_S / hosts)
    sent = []
    now = 0.0
    while now < 4:
        now += rng.expovariate(100)
        chosen = rng.choice(gates)
        if chosen.can_send(now):
            chosen.record_request(now)
            sent.append(now)
    for start in sent:
        window = [at for at in sent if start <= at < start + WINDOW_S]
        assert len(window) <= COLD_PER_S * TOLERATED_FACTOR + TOLERATED_REQUESTS
