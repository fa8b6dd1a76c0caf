"""Fair queue: order, capacity, deadlines, blocked accounts."""

import collections
import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretmill.admission import FairQueue, QueuedRequest, TransientFailure
from egretmill.errors import ErrorKind, Failure


@dataclasses.dataclass
class Pool:
    """Slots and token buckets from which attempts acquire."""

    slots: int = 0
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    admitted: list[str] = dataclasses.field(default_factory=list)
    hint_s: float = 60

    def waiting(self, account, deadline_at=100, **options) -> QueuedRequest:
        """Return a request of an account for the queue."""
        service = options.pop('service', 'board')

        def attempt(now):
            tokens_left = self.tokens.get(account)
            if tokens_left == 0:
                kind = ErrorKind.RATE_LIMITED
                return Err(TransientFailure(kind, account, self.hint_s))
            if not self.slots:
                return Err(
                    TransientFailure(ErrorKind.OVERLOADED, '', self.hint_s)
                )
            self.slots -= 1
            if tokens_left is not None:
                self.tokens[account] = tokens_left - 1
            self.admitted.append(account)
            return Ok(account)

        return QueuedRequest(service, account, deadline_at, attempt, **options)


def serve(queue, pool, slots, now=1.0):
    """Release some slots and serve the queue."""
    pool.slots += slots
    queue.unblock()
    return queue.serve(now)


def kinds(outcomes):
    """Return the kinds of failures."""
    return [
        answer.err_value.kind
        for _, answer in outcomes
        if isinstance(answer, Err)
    ]


def test_accounts_take_turns():
    """Guards against an account with many requests that starves others."""
    queue = FairQueue(100)
    pool = Pool()
    for account in ('a', 'a', 'a', 'a', 'b', 'c'):
        queue.push(pool.waiting(account), 0)
    queue.serve(0)
    serve(queue, pool, 4)
    assert sorted(pool.admitted[:3]) == ['a', 'b', 'c']
    assert pool.admitted[3] == 'a'


def test_cost_counts_against_the_account():
    """Guards against an account that gains by costly requests."""
    queue = FairQueue(100)
    pool = Pool()
    for _ in range(12):
        queue.push(pool.waiting('costly', cost=3), 0)
        queue.push(pool.waiting('cheap'), 0)
    serve(queue, pool, 12)
    counts = collections.Counter(pool.admitted)
    assert counts['cheap'] == 3 * counts['costly']


def test_blocked_account_does_not_block_others():
    """Guards against one account's empty bucket that blocks all accounts."""
    queue = FairQueue(100)
    pool = Pool(tokens={'limited': 0})
    for account in ('limited', 'limited', 'other'):
        queue.push(pool.waiting(account), 0)
    serve(queue, pool, 3)
    assert pool.admitted == ['other']
    pool.tokens['limited'] = 1
    serve(queue, pool, 0)
    assert pool.admitted == ['other', 'limited']


def test_overloaded_service_does_not_block_another():
    """Guards against an overloaded service that blocks an idle one."""
    queue = FairQueue(100)
    full = Pool()
    idle = Pool(slots=1)
    queue.push(full.waiting('a'), 0)
    queue.push(idle.waiting('a', service='ledger'), 0)
    queue.serve(0)
    assert idle.admitted == ['a']
    assert len(queue) == 1


@pytest.mark.parametrize(
    ('tokens', 'kind'),
    [({}, ErrorKind.QUEUE_TIMEOUT), ({'a': 0}, ErrorKind.RATE_LIMITED)],
)
def test_request_is_refused_before_it_misses_its_deadline(tokens, kind):
    """Guards against admission too late to respond before the deadline."""
    queue = FairQueue(100)
    pool = Pool(tokens=tokens)
    queue.push(pool.waiting('a', 2, expected_service_s=0.5), 0)
    assert not queue.serve(0)
    assert queue.next_wake() == pytest.approx(1.5)
    assert kinds(queue.serve(1.5)) == [kind]
    assert queue.next_wake() is None


def test_full_queue_evicts_from_the_longest_account():
    """Guards against a flood by one account that evicts other accounts."""
    queue = FairQueue(5)
    pool = Pool()
    refused = []
    for account in ('a', 'a', 'a', 'a', 'a', 'b', 'c'):
        refused.extend(queue.push(pool.waiting(account), 0))
    assert [waiting.account for waiting, _ in refused] == ['a', 'a']
    assert set(kinds(refused)) == {ErrorKind.OVERLOADED}


def test_too_long_expected_wait_is_refused_immediately():
    """Guards against callers who wait until their deadline for a refusal."""
    queue = FairQueue(1000)
    pool = Pool()
    for _ in range(20):
        queue.push(pool.waiting('a'), 0)
    for now in range(1, 11):
        serve(queue, pool, 1, now)
    refused = queue.push(pool.waiting('a', 15), 10)
    assert kinds(refused) == [ErrorKind.OVERLOADED]
    assert not queue.push(pool.waiting('a', 90), 10)
    assert not queue.push(pool.waiting('b', 15), 10)


def test_permanent_failure_is_answered_immediately():
    """Guards against waiting although no capacity can become free."""
    queue = FairQueue(10)
    failure = Failure(ErrorKind.NO_UPSTREAM, 'none')
    queue.push(QueuedRequest('board', 'a', 9, lambda now: Err(failure)), 0)
    assert kinds(queue.serve(0)) == [ErrorKind.NO_UPSTREAM]


def test_removed_request_is_not_tried():
    """Guards against a grant for a caller that has disconnected."""
    queue = FairQueue(10)
    pool = Pool()
    removed = pool.waiting('a')
    queue.push(removed, 0)
    assert queue.remove(removed)
    assert not queue.remove(removed)
    serve(queue, pool, 1)
    assert not pool.admitted
    assert queue.is_empty_for('board')


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.data())
def test_backlogged_accounts_get_equal_service(case):
    """Guards against an order of arrival that favours an account."""
    queue = FairQueue(1000)
    pool = Pool()
    accounts = ('a', 'b', 'c', 'd')
    order = case.draw(st.permutations(accounts * 12))
    for account in order:
        queue.push(pool.waiting(account), 0)
    for slots in case.draw(st.lists(st.integers(0, 5), max_size=12)):
        serve(queue, pool, slots)
        counts = collections.Counter(pool.admitted)
        served = [counts[name] for name in accounts]
        if min(served) < 12:
            assert max(served) - min(served) <= 1


class RandomRun:
    """Applies random events to a queue and checks its invariants."""

    def __init__(self) -> None:
        self.queue = FairQueue(8)
        self.pool = Pool(tokens={'a': 2}, hint_s=0.5)
        self.pushed: list[QueuedRequest] = []
        self.answered: list[QueuedRequest] = []
        self.now = 0.0

    def step(self, action, account, amount):
        """Apply one event and serve."""
        match action:
            case 'push':
                self.push(account, amount)
            case 'slot':
                self.pool.slots += 1
            case 'token':
                self.pool.tokens['a'] += 1
            case 'remove' if self.pushed:
                if self.queue.remove(self.pushed[-1]):
                    self.pushed.pop()
            case _:
                later = self.now + amount
                self.now = min(later, self.queue.next_wake() or later)
        self.serve()

    def push(self, account, amount):
        """Queue a request."""
        waiting = self.pool.waiting(account, self.now + amount)
        self.pushed.append(waiting)
        refused = self.queue.push(waiting, self.now)
        self.answered.extend(request for request, _ in refused)

    def serve(self):
        """Serve the queue and check the answers."""
        self.queue.unblock()
        answered = [request for request, _ in self.queue.serve(self.now)]
        assert all(self.now <= request.deadline_at for request in answered)
        self.answered.extend(answered)
        assert len(self.queue) <= 8
        assert len(self.queue) + len(self.answered) == len(self.pushed)
        others = {request.account for request in self.queue.queued} - {'a'}
        assert not (self.pool.slots and others)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['push', 'slot', 'token', 'remove', 'wait']),
            st.sampled_from(['a', 'b', 'c']),
            st.floats(0.01, 4),
        ),
        max_size=80,
    ),
)
def test_every_request_gets_one_answer_before_its_deadline(steps):
    """Guards against lost, repeated or late answers and unused slots."""
    run = RandomRun()
    for step in steps:
        run.step(*step)
    assert len(set(run.answered)) == len(run.answered)
