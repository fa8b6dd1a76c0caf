"""The limit of an upstream over all hosts, divided among its owners."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.placement.stated_limit import (
    RENEWAL_S,
    UNRENEWED_FRACTION,
    RateStatement,
    StatedLimit,
    StatedRate,
    announces_limit,
    host_rate_per_s,
)
from egretmill.shares.roster import ROSTER_LEASE_S, FleetShare

NAME = 'u1'
#: Of the users' rule: requests in a window, by the stated rate.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
HEARTBEAT_S = 0.5
ANSWER_S = 0.2
STEP_S = 0.02
START = 100.0
END = 130.0


def limited(rate_per_s, stated_at=0.0):
    """Return a statement of a limit."""
    return RateStatement(StatedRate(rate_per_s), stated_at)


def unlimited(stated_at):
    """Return a statement of no limit."""
    return RateStatement(StatedRate(), stated_at)


def make_share(host, members, now=START):
    """Return the share of a host that has been a member for long."""
    share = FleetShare(host)
    share.record_joined(now - 60, 0)
    share.apply_roster(members, now, now)
    return share


class Host:
    """A host that sends requests to one upstream whenever it may."""

    def __init__(self, name, members, now=START):
        """Start without knowing of a limit."""
        self.share = make_share(name, members, now)
        self.limit = StatedLimit()
        self.told_at = None
        self.answers = []
        self.is_cut_off = False

    def restart(self, now):
        """Lose all state; the part of the rates is used after a wait."""
        self.limit = StatedLimit()
        self.told_at = None
        self.answers = []
        self.share.record_joined(now, 1.0)

    def record(self, statement, now):
        """Record a statement and divide its rate."""
        self.limit.record(statement)
        self.divide(now)

    def divide(self, now):
        """Set the host's part of the rate."""
        statement = self.limit.statement
        if statement is not None:
            rate = host_rate_per_s(NAME, statement, self.share, now)
            self.limit.set_host_rate(rate, now)

    def read_answers(self, rate_per_s, now):
        """Record the answers that have arrived."""
        while self.answers and self.answers[0] <= now:
            self.record(limited(rate_per_s, self.answers.pop(0)), now)
            self.told_at = self.told_at or now

    def send(self, now):
        """Send a request; return whether it counts for the users' rule."""
        self.limit.record_request(now)
        self.answers.append(now + ANSWER_S)
        return self.told_at is not None and now >= self.told_at + WINDOW_S / 8

    def confirm_roster(self, now):
        """Read the roster, unless the host is cut off."""
        if not self.is_cut_off:
            self.share.freshness.confirm(now)


def exchange_statements(hosts, now):
    """Let hosts hear what the announcers pass on, and divide anew."""
    connected = [host for host in hosts if not host.is_cut_off]
    statements = [
        host.limit.statement
        for host in connected
        if host.limit.statement and announces_limit(NAME, host.share)
    ]
    for host in hosts:
        host.confirm_roster(now)
        for statement in statements * (not host.is_cut_off):
            host.record(statement, now)
        host.divide(now)


def play(hosts, rate_per_s, demand_per_s, rng, change):
    """Play a limit over a day; return when counted requests were sent.

    :param change: called in each step with the time.
    """
    sent = []
    now = START
    next_heartbeat_at = START
    while now < END:
        now += STEP_S
        change(now)
        if now >= next_heartbeat_at:
            exchange_statements(hosts, now)
            next_heartbeat_at = now + HEARTBEAT_S
        for host in hosts:
            host.read_answers(rate_per_s, now)
        for _ in range(round(demand_per_s * STEP_S + rng.random())):
            chosen = rng.choice(hosts)
            if chosen.limit.can_send(now) and chosen.send(now):
                sent.append(now)
    return sent


def assert_limit_is_kept(sent, rate_per_s):
    """Check each window of the rule."""
    allowed = TOLERATED_FACTOR * WINDOW_S * rate_per_s + TOLERATED_REQUESTS
    for number, start in enumerate(sent):
        window = [at for at in sent[number:] if at < start + WINDOW_S]
        assert len(window) <= allowed


@settings(max_examples=25, deadline=None)
@given(
    st.integers(2, 40),
    st.sampled_from((0.5, 2.0, 8.3, 13.8)),
    st.integers(0, 2**32),
)
def test_hosts_together_keep_a_stated_limit(size, rate_per_s, seed):
    """Guards against hosts that each send what is stated for all of them.

    Also while hosts restart, are cut off, or hear of the limit late.
    """
    rng = random.Random(seed)
    members = [f'h{number}' for number in range(size)]
    hosts = [Host(name, members) for name in members]

    def change(now):
        host = rng.choice(hosts)
        if rng.random() < STEP_S / 5:
            host.restart(now)
        if rng.random() < STEP_S / 2:
            host.is_cut_off = not host.is_cut_off

    sent = play(hosts, rate_per_s, 6 * rate_per_s, rng, change)
    assert_limit_is_kept(sent, rate_per_s)


@pytest.mark.parametrize('size', [3, 7, 32])
def test_stated_limit_is_used_up_under_load(size):
    """Guards against an upstream that stays idle while requests wait."""
    rng = random.Random(size)
    members = [f'h{number}' for number in range(size)]
    hosts = [Host(name, members) for name in members]
    sent = play(hosts, 10.0, 80.0, rng, lambda now: None)
    assert len(sent) >= 0.8 * 10.0 * (END - START)


def test_end_of_a_limit_is_heard_by_hosts_that_own_no_part():
    """Guards against hosts that avoid an upstream after it has recovered."""
    members = [f'h{number}' for number in range(32)]
    hosts = [Host(name, members) for name in members]
    for host in hosts:
        host.record(limited(4.0, START), START)
    idle = [each for each in hosts if not each.limit.bucket.limit.amount]
    assert len(idle) == 28
    owner = next(each for each in hosts if announces_limit(NAME, each.share))
    owner.record(unlimited(START + 1), START + 1)
    exchange_statements(hosts, START + 1.5)
    assert all(each.limit.can_send(START + 1.5) for each in hosts)


def test_older_statement_does_not_replace_a_newer_one():
    """Guards against a limit that a delayed message brings back."""
    limit = StatedLimit()
    assert limit.record(limited(4.0, 1.0))
    assert limit.record(unlimited(3.0))
    assert not limit.record(limited(4.0, 2.0))
    assert limit.can_send(3.1)


def test_host_without_a_confirmed_roster_uses_no_part():
    """Guards against a part that another host may own by now."""
    share = make_share('h1', ['h1', 'h2'])
    statement = limited(10.0, START)
    assert host_rate_per_s(NAME, statement, share, START) == 5
    late = START + ROSTER_LEASE_S + 1
    assert host_rate_per_s(NAME, statement, share, late) == 0


def test_host_that_owns_no_part_tries_again_when_nobody_renews_the_limit():
    """Guards against an upstream that is avoided for good."""
    members = [f'h{number}' for number in range(32)]
    shares = [make_share(name, members) for name in members]
    share = next(
        each
        for each in shares
        if not host_rate_per_s(NAME, limited(4.0, START), each, START)
    )
    now = START + RENEWAL_S + 1
    share.freshness.confirm(now)
    rate_per_s = host_rate_per_s(NAME, limited(4.0, START), share, now)
    assert rate_per_s == pytest.approx(4.0 * UNRENEWED_FRACTION / len(members))


def test_smallest_rate_still_shows_its_end():
    """Guards against a limit of 0 that no request can end."""
    share = make_share('h1', ['h1', 'h2'])
    assert host_rate_per_s(NAME, limited(0.0, START), share, START) > 0
