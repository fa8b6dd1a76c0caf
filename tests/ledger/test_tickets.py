"""A ticket runs at most once, and only while it is in memory."""

import collections
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretmill.errors import ErrorKind
from egretmill.ledger import Ticket, TicketLimits, TicketRegistry
from egretmill.wire.messages import StoredAnswer

ANSWER = StoredAnswer(200, (), b'done')
LIFETIME_S = 10


@pytest.fixture
def registry():
    """Return a ticket registry with low limits."""
    limits = TicketLimits(LIFETIME_S, 3, 2, 100)
    return TicketRegistry('host-a', 7, limits)


def issue(registry, now=0, account='rota'):
    """Issue a ticket; fails if it is refused."""
    return registry.issue(account, now, random.Random(1)).ok_value


def begin(registry, ticket, now=0, account='rota', digest='d1'):
    """Return the status of a request with a ticket."""
    return registry.begin(ticket, account, digest, now).status


def test_ticket_names_its_origin(registry):
    """Guards against a repeat that cannot find the issuing host."""
    ticket = Ticket.parse(issue(registry))
    assert (ticket.host, ticket.incarnation) == ('host-a', 7)
    assert str(ticket) == issue(TicketRegistry('host-a', 7))


@pytest.mark.parametrize(
    'text',
    ['', 'egt1.a.1.1', 'egt1.A.1.1.0123456789abcdef', 'instalment-7'],
)
def test_other_keys_are_no_tickets(text):
    """Guards against treating a key chosen by a caller as a ticket."""
    assert Ticket.parse(text) is None


def test_ticket_runs_once_and_repeats_its_answer(registry):
    """Guards against a second execution."""
    ticket = issue(registry)
    assert begin(registry, ticket) == 'granted'
    assert begin(registry, ticket) == 'in_progress'
    registry.finish(ticket, 'done', ANSWER, 1)
    assert begin(registry, ticket) == 'repeat'
    assert registry.begin(ticket, 'rota', 'd1', 1).answer == ANSWER


def test_other_account_or_body_is_a_mismatch(registry):
    """Guards against an answer for another account or request."""
    ticket = issue(registry)
    assert begin(registry, ticket, account='other') == 'mismatch'
    assert begin(registry, ticket) == 'granted'
    assert begin(registry, ticket, digest='d2') == 'mismatch'
    assert begin(registry, ticket, account='other') == 'mismatch'


def test_released_ticket_runs_again_and_unknown_does_not(registry):
    """Guards against refusing a released ticket or rerunning an unknown one."""
    ticket = issue(registry)
    assert begin(registry, ticket) == 'granted'
    registry.finish(ticket, 'released', None, 0)
    assert begin(registry, ticket) == 'granted'
    registry.finish(ticket, 'unknown', None, 0)
    assert begin(registry, ticket) == 'owner_lost'


def test_expired_and_foreign_tickets_never_run(registry):
    """Guards against running a request that an earlier run may have run."""
    ticket = issue(registry)
    assert begin(registry, ticket, now=LIFETIME_S) == 'owner_lost'
    assert begin(registry, 'egt1.host-a.6.1.0000000000000000') == 'owner_lost'


def test_running_ticket_outlives_its_lifetime(registry):
    """Guards against expiring the ticket of a running request."""
    ticket = issue(registry)
    assert begin(registry, ticket) == 'granted'
    assert begin(registry, ticket, now=99) == 'in_progress'
    registry.finish(ticket, 'done', ANSWER, 100)
    assert begin(registry, ticket, now=109) == 'repeat'
    assert begin(registry, ticket, now=110) == 'owner_lost'


def test_tickets_are_bounded_in_total_and_per_account(registry):
    """Guards against one account using up all tickets."""
    issue(registry)
    issue(registry)
    refused = registry.issue('rota', 0, random.Random(1))
    assert refused.err_value.kind is ErrorKind.OVERLOADED
    issue(registry, account='other')
    refused = registry.issue('third', 0, random.Random(1))
    assert refused.err_value.kind is ErrorKind.OVERLOADED
    issue(registry, now=LIFETIME_S)


def test_answers_are_bounded(registry):
    """Guards against memory that grows with the answers."""
    tickets = [issue(registry), issue(registry)]
    started = [begin(registry, ticket) for ticket in tickets]
    assert started == ['granted', 'granted']
    for ticket in tickets:
        registry.finish(ticket, 'done', StoredAnswer(200, (), bytes(60)), 0)
    statuses = [begin(registry, name) for name in tickets]
    assert statuses == ['not_stored', 'repeat']


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('issue', 'begin', 'done', 'unknown', 'released')),
        st.integers(0, 5),
        st.sampled_from(('rota', 'other')),
        st.sampled_from((0, 0, 1, 6)),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(STEPS)
def test_no_order_of_events_runs_a_ticket_twice(steps):
    """Guards against a second grant after any order of expiry and repeats."""
    limits = TicketLimits(LIFETIME_S, 4, 3, 120)
    registry = TicketRegistry('host-a', 1, limits)
    rng = random.Random(5)
    tickets = ['egt1.host-a.1.99.0000000000000000']
    grants = collections.Counter()
    answers = {}
    now = 0
    for action, number, account, passed in steps:
        now += passed
        ticket = tickets[number % len(tickets)]
        if action == 'issue':
            tickets.extend(
                [registry.issue(account, now, rng).unwrap_or(tickets[0])],
            )
        elif action == 'begin':
            decision = registry.begin(ticket, account, 'd1', now)
            grants[ticket] += decision.status == 'granted'
            if decision.status == 'repeat':
                assert decision.answer == answers[ticket]
        elif ticket in registry.running:
            answer = StoredAnswer(200, (), f'{ticket}'.encode())
            registry.finish(ticket, action, answer, now)
            answers[ticket] = answer
            grants[ticket] -= action == 'released'
        held = len(registry.idle) + len(registry.running)
        assert held <= limits.tickets
        assert registry.answer_bytes <= limits.answer_bytes
        assert sum(registry.per_account.values()) == held
        assert all(count <= 1 for count in grants.values())
    assert tickets[0] not in +grants
