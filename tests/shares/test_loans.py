"""Loans of fractions between hosts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.shares.loans import LOAN_S, LoanBook, Shortage, lendable_fraction

NOW = 50.0
SHORTAGES = {'acct': Shortage(need=0.5, held=0.1)}


def test_lender_counts_a_loan_longer_than_its_borrower():
    """Guards against a fraction that lender and borrower use at once."""
    lender, borrower = LoanBook(), LoanBook()
    loans = lender.lend('b', SHORTAGES, {'acct': 0.3}, 1, NOW)
    borrower.accept_answer('a', loans, request_sent_at=NOW - 0.1)
    assert borrower.borrowed_fraction('acct', NOW) == loans['acct']
    end = NOW - 0.1 + LOAN_S
    assert borrower.borrowed_fraction('acct', end + 0.01) == 0
    assert lender.lent_fraction('acct', end + 0.01) == loans['acct']
    assert lender.lent_fraction('acct', end + 1) == 0


def test_smaller_answer_applies_after_the_larger_one_has_ended():
    """Guards against reusing a fraction whose reduction was lost.

    A borrower that misses the answer still uses the larger fraction.
    """
    lender = LoanBook()
    first = lender.lend('b', SHORTAGES, {'acct': 0.3}, 1, NOW)
    no_shortage = {'acct': Shortage(need=0.0, held=0.5)}
    lender.lend('b', no_shortage, {'acct': 0.3}, 1, NOW + 0.2)
    assert lender.lent_fraction('acct', NOW + 0.5) == first['acct']
    assert lender.lent_fraction('acct', NOW + 1.15) < first['acct']


def test_nothing_is_lent_beyond_the_spare_fraction():
    """Guards against a lender that refuses its own callers after lending."""
    lender = LoanBook()
    loans = lender.lend('b', SHORTAGES, {'acct': 0.05}, 1, NOW)
    assert loans['acct'] == pytest.approx(0.05)
    assert lender.lend('c', SHORTAGES, {'acct': 0}, 1, NOW) == {}


def test_older_answer_does_not_replace_a_newer_one():
    """Guards against reordered datagrams."""
    borrower = LoanBook()
    borrower.accept_answer('a', {'acct': 0.1}, request_sent_at=NOW)
    borrower.accept_answer('a', {'acct': 0.4}, request_sent_at=NOW - 0.5)
    assert borrower.borrowed_fraction('acct', NOW) == pytest.approx(0.1)


def test_lendable_fraction_keeps_a_reserve_and_the_own_need():
    """Guards against lending what the host's own callers need next."""
    assert lendable_fraction(0.5, 0, 0) == pytest.approx(0.4)
    assert lendable_fraction(0.5, 0.1, 0.2) < 0.5 - 0.1 - 0.2
    assert lendable_fraction(0.5, 0, 1) == 0


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0, 0.6),
            st.sampled_from('ab'),
            st.floats(0, 1),
            st.floats(0, 1),
            st.booleans(),
        ),
        max_size=25,
    ),
)
def test_lent_covers_what_borrowers_use(steps):
    """Guards against using more than is lent.

    Answers are lost and needs change in any order.
    """
    lender = LoanBook()
    books = {'a': LoanBook(), 'b': LoanBook()}
    now = NOW
    for wait_s, name, need, held, arrives in steps:
        now += wait_s
        lent = lender.lent_fraction('acct', now)
        spare = {'acct': lendable_fraction(1, lent, 0)}
        shortages = {'acct': Shortage(need, held)}
        loans = lender.lend(name, shortages, spare, 2, now)
        if arrives:
            books[name].accept_answer('lender', loans, request_sent_at=now)
        used = sum(
            book.borrowed_fraction('acct', now) for book in books.values()
        )
        assert used <= lender.lent_fraction('acct', now) + 1e-9
        assert lender.lent_fraction('acct', now) <= 1 + 1e-9
