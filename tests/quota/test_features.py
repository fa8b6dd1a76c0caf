"""Steps of the feature file on limits of client accounts."""

import functools

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench import shares
from bench.quota_fleet import Fleet, create_environment
from egretmill.quota import Policy, Taken

scenarios('quota/features/shares.feature')

READY_S = 10.0


class Workload:
    """Requests of one account to a fleet, and their results."""

    def __init__(self, rate, burst):
        self.fleet = Fleet(create_environment({'a': (rate, burst)}), Policy())
        self.fleet.start()
        self.meter = shares.Meter(rate, burst)
        self.sent = 0
        self.served = 0
        self.length_s = 0.0

    def run(self, rate, hosts, length_s):
        """Send requests to hosts in turn; each waits up to 0.2 s."""
        self.fleet.run(READY_S)
        self.length_s = length_s
        for number in range(int(rate * length_s)):
            host = hosts[number % len(hosts)]
            at = READY_S + number / rate
            self.fleet.schedule(at, functools.partial(self.call, host, at, 0))
        self.fleet.run(READY_S + length_s + shares.WAIT_S)

    def call(self, host, first_at, attempt):
        """Try to take quota, with retries until the longest wait."""
        now = self.fleet.now
        self.sent += int(not attempt)
        result = self.fleet.try_take(host, 'account/a', waited=bool(attempt))
        if isinstance(result, Taken):
            self.served += 1
            self.meter.admit(now)
        elif now + 0.02 < first_at + shares.WAIT_S:
            retry = functools.partial(self.call, host, first_at, attempt + 1)
            self.fleet.schedule(now + 0.02, retry)


@given(
    parsers.parse(
        'a client account with {rate:d} requests per second and a burst of'
        ' {burst:d}',
    ),
    target_fixture='calls',
)
def account(rate, burst):
    """Start a fleet with this account."""
    return Workload(float(rate), burst)


@given('one entry host is cut off from all others')
def cut_off(calls):
    """Isolate the failure domain of the host that gets the requests."""
    calls.fleet.cut_domains.add(calls.fleet.hosts['entry-3'].domain)


@when(
    parsers.parse(
        'it sends {rate:d} requests per second to {where} for {length_s:d}'
        ' seconds',
    ),
)
def send(calls, rate, where, length_s):
    """Send requests to one host, or to all in turn."""
    hosts = list(calls.fleet.hosts.values())
    if where == 'one entry host':
        hosts = [calls.fleet.hosts['entry-3']]
    calls.run(rate, hosts, length_s)


@then(parsers.parse('at least {part:d} of 100 requests are served'))
def mostly_served(calls, part):
    """Compare the number of served requests with those sent."""
    assert calls.served >= calls.sent * part / 100


@then(
    parsers.parse(
        'it is served at {rate:d} requests per second, within {part:d} of 100',
    ),
)
def served_at(calls, rate, part):
    """Compare the served rate; a full burst may be served in addition."""
    expected = rate * calls.length_s
    assert calls.served >= expected * (1 - part / 100)
    burst = calls.meter.burst
    assert calls.served <= expected * (1 + part / 100) + burst


@then('it never gets more than its rate and burst')
def no_excess(calls):
    """Check that no time window had more than the limit allows."""
    assert calls.meter.excess == pytest.approx(0, abs=1e-6)
