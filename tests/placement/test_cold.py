"""Rate of cold upstreams over all hosts."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.placement import ColdGate

COLD_PER_S = 13.0
OVERAGE = 1.5
SLACK = 5
WINDOW_S = 1.0


def test_gate_opens_when_the_upstream_is_warm():
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
def test_owners_together_keep_the_bound(owners, seed):
    """Guards against hosts that each keep to the rate but not together."""
    rng = random.Random(seed)
    gates = [ColdGate() for _ in range(owners)]
    for gate in gates:
        gate.close(5.0, 0)
        gate.own(COLD_PER_S / owners)
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
        assert len(window) <= COLD_PER_S * OVERAGE + SLACK
