"""Quota of one host: admission, loans, leases and versions."""

import pytest

from bench.quota_fleet import create_environment, create_upstreams
from egretmill.quota import Holdings, Refused, Taken
from egretmill.shares.bucket import EMPTY_SHARE
from egretmill.wire.messages import Loans, ShareSlot

ACCOUNT = 'account/a'
SLOTS = 'slots/rota/tbilisi-a'
WORKERS = create_upstreams(7, 4)
LEASE_S = 100.0
LIMIT_S = 1.0
#: Loans of the slots' previous holders (2 s and a margin) have ended by then.
READY_S = 4.0


def environment(version=1, rate=14.0, burst=14):
    """Return a version of the document."""
    return create_environment(
        {'a': (rate, burst)}, version, int(LIMIT_S * 1000)
    )


def host(index, name, lease_s=LEASE_S):
    """Return the holdings of a host that has just acquired a share slot."""
    holdings = Holdings(name, 1)
    slot = ShareSlot(index, 7, lease_s, 0.0)
    holdings.apply(environment(), WORKERS, slot, 1, 0.0)
    holdings.available(SLOTS, 0.0)
    return holdings


@pytest.fixture
def borrower():
    """Return a host outside the failure domain of the site."""
    return host(3, 'borrower')


@pytest.fixture
def lender():
    """Return a host in the failure domain of the site."""
    return host(0, 'lender')


def take_all(holdings, total, now):
    """Take until nothing is left; return how often. One demand stays unmet."""
    taken = 0
    while isinstance(holdings.try_take(total, 1, now), Taken):
        taken += 1
    return taken


def build_request(holdings, total, now):
    """Use up a total and return the loan request that follows."""
    take_all(holdings, total, now)
    loan_requests = holdings.create_loan_requests(now, ['lender'])
    return next(row for _, row in loan_requests if row.total == total)


def test_owned_share_needs_no_loan(borrower):
    """Guards against a loan request while the owned share suffices."""
    assert borrower.try_take(ACCOUNT, 1, READY_S) == Taken(ACCOUNT, 1)
    assert not borrower.create_loan_requests(READY_S, ['lender'])


def test_refusal_gives_retry_time(borrower):
    """Guards against callers that poll, or wait when waiting cannot help."""
    take_all(borrower, ACCOUNT, READY_S)
    refused = borrower.try_take(ACCOUNT, 1, READY_S, waited=True)
    assert refused == Refused(ACCOUNT, pytest.approx(0.5))
    assert borrower.try_take(ACCOUNT, 9, READY_S).after_s is None
    assert borrower.try_take('account/none', 1, READY_S).after_s is None


def test_loan_serves_a_waiting_request(borrower, lender):
    """Guards against refusing a waiting request while a peer has tokens."""
    borrow = build_request(borrower, ACCOUNT, READY_S)
    loans = lender.lend(borrow, READY_S)
    borrower.receive_loans(borrow, loans, READY_S, READY_S)
    retried = borrower.try_take(ACCOUNT, 1, READY_S, waited=True)
    assert isinstance(retried, Taken)
    assert lender.available(ACCOUNT, READY_S) < 2


def test_loan_moves_tokens_and_makes_none(borrower, lender):
    """Guards against tokens that both sides of a loan may spend."""
    take_all(lender, ACCOUNT, READY_S)
    now = READY_S + 0.75
    borrow = build_request(borrower, ACCOUNT, now)
    held = [lender.available(ACCOUNT, now), borrower.available(ACCOUNT, now)]
    loans = lender.lend(borrow, now)
    borrower.receive_loans(borrow, loans, now, now)
    after = [lender.available(ACCOUNT, now), borrower.available(ACCOUNT, now)]
    assert int(loans.loans[0].tokens) == 1
    assert sum(after) == pytest.approx(sum(held))


@pytest.mark.parametrize('total', [ACCOUNT, SLOTS])
def test_duplicate_request_gets_one_loan(borrower, lender, total):
    """Guards against a second loan that the borrower does not know of."""
    borrow = build_request(borrower, total, READY_S)
    first = lender.lend(borrow, READY_S)
    left = lender.available(total, READY_S)
    assert first.loans
    assert lender.lend(borrow, READY_S) == first
    assert lender.available(total, READY_S) == left


@pytest.mark.parametrize('total', [ACCOUNT, SLOTS])
def test_duplicate_reply_is_ignored(borrower, lender, total):
    """Guards against tokens or slots added twice by a duplicated reply."""
    borrow = build_request(borrower, total, READY_S)
    loans = lender.lend(borrow, READY_S)
    borrower.receive_loans(borrow, loans, READY_S, READY_S)
    held = borrower.available(total, READY_S)
    borrower.receive_loans(borrow, loans, READY_S, READY_S)
    assert held >= 1
    assert borrower.available(total, READY_S) == held


@pytest.mark.parametrize('total', [ACCOUNT, SLOTS])
def test_late_reply_is_not_used(borrower, lender, total):
    """Guards against using a loan after the lender has reclaimed it."""
    borrow = build_request(borrower, total, READY_S)
    loans = lender.lend(borrow, READY_S)
    before = borrower.owned(total)
    late = READY_S + borrow.duration_s
    borrower.receive_loans(borrow, loans, READY_S, late)
    assert not borrower.by_total[total].borrowed.by_id
    assert borrower.owned(total) == before


def test_reply_to_another_request_is_not_used(borrower, lender):
    """Guards against a loan end counted from the wrong request."""
    first = build_request(borrower, ACCOUNT, READY_S)
    loans = lender.lend(first, READY_S)
    borrower.record_unanswered(first, READY_S + 1)
    second = build_request(borrower, ACCOUNT, READY_S + 2)
    borrower.receive_loans(second, loans, READY_S + 2, READY_S + 2)
    assert not borrower.by_total[ACCOUNT].borrowed.by_id


def test_backoff_after_a_refused_loan_request(borrower):
    """Guards against a storm of loan requests while all hosts lack quota."""
    borrow = build_request(borrower, ACCOUNT, READY_S)
    none = Loans((), borrow.borrow_id)
    borrower.receive_loans(borrow, none, READY_S, READY_S)
    take_all(borrower, ACCOUNT, READY_S)
    assert not borrower.create_loan_requests(READY_S + 0.05, ['lender'])
    assert borrower.create_loan_requests(READY_S + 0.15, ['lender'])


def test_several_peers_are_asked_at_once(borrower):
    """Guards against waiting for one peer after the other."""
    take_all(borrower, SLOTS, READY_S)
    for _ in range(4):
        borrower.try_take(SLOTS, 1, READY_S)
    loan_requests = borrower.create_loan_requests(READY_S, ['lender', 'other'])
    assert {peer for peer, _ in loan_requests} == {'lender', 'other'}


@pytest.mark.parametrize('total', [ACCOUNT, SLOTS])
def test_nothing_is_admitted_after_lease_expiry(total):
    """Guards against admission by a paused host that has lost its slot."""
    short = host(3, 'short', lease_s=10.0)
    limit_s = LIMIT_S if total == SLOTS else 0.0
    assert short.available(total, 10.0 - limit_s - 0.01) > 0
    assert not short.available(total, 10.0 - limit_s)


def test_loan_ends_before_the_lease(borrower):
    """Guards against a loan that outlives the lender's lease."""
    left_s = 0.2
    short = host(0, 'short', lease_s=READY_S + left_s)
    borrow = build_request(borrower, ACCOUNT, READY_S)
    loans = short.lend(borrow, READY_S)
    assert loans.loans
    assert loans.loans[0].duration_s < left_s


def test_lent_slots_stay_unused_while_requests_may_run(borrower, lender):
    """Guards against reusing a slot on which a borrower's request may run."""
    owned = lender.available(SLOTS, READY_S)
    borrow = build_request(borrower, SLOTS, READY_S)
    loans = lender.lend(borrow, READY_S)
    borrower.receive_loans(borrow, loans, READY_S, READY_S)
    last_start = READY_S + borrow.duration_s - LIMIT_S
    assert isinstance(borrower.try_take(SLOTS, 1, last_start), Taken)
    assert isinstance(borrower.try_take(SLOTS, 1, last_start + 0.1), Refused)
    runs_until = last_start + LIMIT_S
    assert lender.available(SLOTS, runs_until) < owned
    assert lender.available(SLOTS, runs_until + 0.2) == owned


def test_slots_in_use_are_not_given_back(borrower, lender):
    """Guards against two requests on one slot when a host shuts down."""
    borrow = build_request(borrower, SLOTS, READY_S)
    loans = lender.lend(borrow, READY_S)
    borrower.receive_loans(borrow, loans, READY_S, READY_S)
    used = take_all(borrower, SLOTS, READY_S)
    assert used
    assert not borrower.return_all_loans(READY_S)
    borrower.release(SLOTS, used, READY_S + 0.5)
    returned = borrower.return_all_loans(READY_S + 0.5)
    owned = lender.available(SLOTS, READY_S + 0.5)
    for _, returned_loan in returned:
        lender.lend(returned_loan, READY_S + 0.5)
    assert lender.available(SLOTS, READY_S + 0.5) == owned + used


def test_released_slot_is_the_one_that_ends_first(lender):
    """Guards against a request that outlives the lease of its owned slot.

    Freed slots must be those of the lease, as it ends before the loan.
    """
    short = host(3, 'short', lease_s=READY_S + LIMIT_S + 0.5)
    owned = take_all(short, SLOTS, READY_S)
    borrow = build_request(short, SLOTS, READY_S)
    loans = lender.lend(borrow, READY_S)
    short.receive_loans(borrow, loans, READY_S, READY_S)
    borrowed = take_all(short, SLOTS, READY_S)
    short.release(SLOTS, owned, READY_S)
    used = [record.used for record in short.by_total[SLOTS].borrowed]
    assert borrowed
    assert sum(used) == borrowed


def test_restarted_host_waits_and_starts_empty():
    """Guards against using what the previous process has lent or spent."""
    again = host(0, 'again')
    assert not again.available(ACCOUNT, 2.1)
    assert not again.available(SLOTS, 2.1)
    assert again.available(ACCOUNT, 2.6) == pytest.approx(1, abs=0.1)
    owned = 9
    assert again.available(SLOTS, 2.2) == owned - owned // 2
    assert again.available(SLOTS, 2.2 + LIMIT_S) == owned


def test_share_grows_only_when_settled(lender):
    """Guards against an excess while hosts have different versions."""
    slot = ShareSlot(0, 7, LEASE_S, 0.0)
    lender.apply(environment(), WORKERS, slot, 1, READY_S)
    before = lender.owned(ACCOUNT)
    raised = environment(2, 28.0, 28)
    lender.apply(raised, WORKERS, slot, 1, READY_S)
    assert lender.owned(ACCOUNT) == before
    lender.apply(raised, WORKERS, slot, 2, READY_S)
    lender.apply(raised, WORKERS, slot, 2, READY_S + 2.0)
    assert lender.owned(ACCOUNT) == before
    lender.apply(raised, WORKERS, slot, 2, READY_S + 2.2)
    assert lender.owned(ACCOUNT).amount == 2 * before.amount


def test_lowered_total_is_in_force_at_once(lender):
    """Guards against an account that keeps its former, higher rate."""
    lowered = environment(2, 7.0, 7)
    slot = ShareSlot(0, 7, LEASE_S, 0.0)
    lender.apply(lowered, WORKERS, slot, 1, READY_S)
    assert int(lender.owned(ACCOUNT).amount) == 1
    assert lender.available(ACCOUNT, READY_S) <= 1
    lender.apply(environment(), WORKERS, slot, 1, READY_S)
    assert int(lender.owned(ACCOUNT).amount) == 1


def test_host_without_share_slot_owns_nothing(lender):
    """Guards against a host that admits after it has lost its share slot."""
    lender.apply(environment(), WORKERS, None, 1, READY_S)
    assert lender.owned(ACCOUNT) == EMPTY_SHARE
    assert not lender.available(ACCOUNT, READY_S)
