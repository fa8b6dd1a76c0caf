"""Limits of client accounts across several hosts."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.fleet.configuration import ClientAccount
from egretmill.shares.accounts import (
    MAX_TOKEN_WAIT_S,
    AccountLimits,
    Admitted,
    Limited,
    Tolerance,
)
from egretmill.shares.loans import LoanBook, Shortage
from egretmill.shares.roster import FleetShare

NOW = 500.0
RATE = 40.0
BURST = 40.0
ACCOUNT = ClientAccount('acct', RATE, BURST)
WINDOW_S = 5.0


class Host:
    """Limits of one host, without a network."""

    def __init__(self, name, members, now=NOW, tolerance=None):
        self.name = name
        share = FleetShare(name)
        share.apply_roster(members, now, now)
        share.record_joined(now - 10, 0)
        self.loans = LoanBook()
        self.share = share
        self.limits = AccountLimits(share, self.loans, tolerance)
        self.limits.apply({'acct': ACCOUNT}, now)

    def try_admit(self, now):
        """Return whether a request may be sent at once; it takes a token."""
        self.share.freshness.confirm(now)
        admitted = self.limits.admit(ACCOUNT, now, max_wait_s=0)
        return isinstance(admitted, Admitted)


def fleet(count=4, **options):
    """Return hosts that are all in the roster."""
    names = [f'h{number}' for number in range(count)]
    return [Host(name, names, **options) for name in names]


def exchange(hosts, now):
    """Let every host answer the shortages of all other hosts."""
    for host in hosts:
        host.limits.refresh(now)
    for borrower in hosts:
        shortages = borrower.limits.find_shortages(now)
        for lender in hosts:
            if lender is borrower:
                continue
            loans = lender.loans.lend(
                borrower.name,
                {name: Shortage(*row) for name, row in _rows(shortages)},
                lender.limits.lendable_fractions(now),
                len(hosts) - 1,
                now,
            )
            borrower.loans.accept_answer(lender.name, loans, now)


def _rows(shortages):
    return [(name, (row.need, row.held)) for name, row in shortages.items()]


def restart_all(hosts, now):
    """Replace all hosts by newly started ones."""
    names = [host.name for host in hosts]
    hosts[:] = [Host(name, names, now) for name in names]


def send_requests(hosts, choose_hosts, seconds, per_s, rng, restart_at=None):
    """Send requests; return the times of those admitted and refused."""
    admitted_at = []
    refused_at = []
    now = NOW
    exchange_at = now
    while now < NOW + seconds:
        now += rng.expovariate(per_s)
        if now >= exchange_at:
            exchange(hosts, now)
            exchange_at = now + 0.25
        if restart_at is not None and now >= restart_at:
            restart_all(hosts, now)
            restart_at = None
        if rng.choice(choose_hosts(hosts)).try_admit(now):
            admitted_at.append(now)
        else:
            refused_at.append(now)
    return admitted_at, refused_at


def max_in_window(admitted_at):
    """Return the largest number of requests in any window."""
    return max(
        len([at for at in admitted_at if start <= at < start + WINDOW_S])
        for start in admitted_at
    )


def test_buckets_start_empty():
    """Guards against a second burst after a restart."""
    assert not fleet()[0].try_admit(NOW)


def test_request_waits_briefly_for_its_token():
    """Guards against refusals for lack of a fraction of a token."""
    host = fleet()[0]
    admitted = host.limits.admit(ACCOUNT, NOW + 0.01, max_wait_s=1)
    assert isinstance(admitted, Admitted)
    assert 0 < admitted.wait_s <= MAX_TOKEN_WAIT_S


def test_refusal_states_when_there_is_a_token():
    """Guards against a Retry-After that is too short."""
    host = fleet()[0]
    limited = host.limits.admit(ACCOUNT, NOW, max_wait_s=0)
    assert isinstance(limited, Limited)
    later = NOW + limited.retry_after_s + 0.001
    assert host.try_admit(later)


def test_token_of_a_request_that_was_not_sent_returns():
    """Guards against requests that use up the rate without being sent."""
    host = fleet(1)[0]
    now = NOW + 10
    admitted = [host.try_admit(now) for _ in range(100)]
    assert not admitted[-1]
    host.limits.return_token(ACCOUNT, now)
    assert host.try_admit(now)


def test_rate_follows_callers_that_move_to_one_host():
    """Guards against refusals below the rate after callers move."""
    rng = random.Random(1)
    hosts = fleet()
    _, refused_at = send_requests(hosts, lambda hosts: hosts[:1], 12, 30, rng)
    late = [at for at in refused_at if at > NOW + 2]
    assert len(late) < 0.05 * 10 * 30


def test_tokens_accrue_before_the_first_request():
    """Guards against refusing the first requests of an idle account."""
    host = fleet()[0]
    host.limits.refresh(NOW)
    host.share.freshness.confirm(NOW + 1)
    assert host.try_admit(NOW + 1)


def test_unlimited_account_passes():
    """Guards against a limit for an account that has none."""
    host = fleet()[0]
    free = ClientAccount('free')
    host.limits.apply({'free': free}, NOW)
    assert host.limits.admit(free, NOW) == Admitted()


def test_lower_limit_applies_at_once():
    """Guards against tokens that remain from a former, higher burst."""
    host = fleet(1)[0]
    host.limits.refresh(NOW)
    host.share.freshness.confirm(NOW + 60)
    host.limits.refresh(NOW + 60)
    host.limits.apply({'acct': ClientAccount('acct', 1, 1)}, NOW + 60)
    low = ClientAccount('acct', 1, 1)
    taken = [host.limits.admit(low, NOW + 60, 0) for _ in range(5)]
    assert sum(isinstance(row, Admitted) for row in taken) == 1


@settings(max_examples=30, deadline=None)
@given(
    st.integers(0, 2**32),
    st.integers(1, 7),
    st.one_of(st.none(), st.floats(3, 7)),
)
def test_fleet_keeps_the_limit(seed, count, restart_s):
    """Guards against exceeding the limit under overload with loans.

    All hosts may restart at once in the middle.
    """
    rng = random.Random(seed)
    hosts = fleet(count, tolerance=Tolerance(10, 0.05))
    restart_at = None if restart_s is None else NOW + restart_s
    admitted_at, _ = send_requests(
        hosts, lambda hosts: hosts, 10, 200, rng, restart_at
    )
    bound = (RATE * WINDOW_S + BURST) * 1.1 + 20
    assert max_in_window(admitted_at) <= bound
