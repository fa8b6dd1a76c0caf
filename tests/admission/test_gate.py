"""Asynchronous admission control."""

import asyncio
import dataclasses

from result import Err, Ok

from egretmill.admission import AdmissionController, FairQueue, TransientFailure
from egretmill.errors import ErrorKind, Failure


@dataclasses.dataclass
class Slots:
    """A pool of grants; ``Err`` while it is empty."""

    free: int
    granted: list[str] = dataclasses.field(default_factory=list)

    def attempt_for(self, label: str):
        """Return an attempt that takes one slot for a label."""

        def attempt(now):
            if not self.free:
                return Err(TransientFailure(ErrorKind.OVERLOADED, 'none', 60))
            self.free -= 1
            self.granted.append(label)
            return Ok(label)

        return attempt


def make_gate(capacity: int = 100, **options) -> AdmissionController:
    """Return a gate on the clock of the running loop."""
    clock = asyncio.get_running_loop().time
    return AdmissionController(FairQueue(capacity), clock, **options)


async def test_admits_immediately_with_capacity():
    """Guards against queueing a request although capacity is available."""
    gate = make_gate()
    slots = Slots(1)
    deadline = gate.clock() + 1
    answer = await gate.admit('s', 'a', deadline, slots.attempt_for('a'))
    assert answer == Ok('a')


async def test_release_admits_accounts_in_turn():
    """Guards against an account with many requests that starves others."""
    gate = make_gate()
    slots = Slots(0)
    deadline = gate.clock() + 5
    accounts = ['big', 'big', 'big', 'small']
    tasks = [
        asyncio.create_task(
            gate.admit('s', account, deadline, slots.attempt_for(account)),
        )
        for account in accounts
    ]
    await asyncio.sleep(0)
    slots.free = 2
    gate.retry_queued()
    assert slots.granted == ['big', 'small']
    slots.free = 2
    gate.retry_queued()
    assert await asyncio.gather(*tasks) == [Ok(name) for name in accounts]


async def test_deadline_ends_the_wait():
    """Guards against a caller that waits past its deadline."""
    gate = make_gate()
    deadline = gate.clock() + 0.03
    attempt = Slots(0).attempt_for('a')
    answer = await gate.admit('s', 'a', deadline, attempt)
    assert answer.unwrap_err().kind == ErrorKind.QUEUE_TIMEOUT
    assert gate.clock() <= deadline + 0.02
    assert not gate.futures


async def test_grant_of_a_cancelled_caller_is_released():
    """Guards against slots that leak when callers disconnect."""
    returned = []
    gate = make_gate(release_grant=returned.append)
    slots = Slots(0)
    call = gate.admit('s', 'a', gate.clock() + 5, slots.attempt_for('a'))
    task = asyncio.create_task(call)
    await asyncio.sleep(0)
    slots.free = 1
    gate.retry_queued()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert returned == ['a']
    assert not len(gate.queue)


async def test_no_repeated_attempts_without_capacity():
    """Guards against needless attempts under overload."""
    gate = make_gate()
    attempts = []

    def attempt(now):
        attempts.append(now)
        return Err(TransientFailure(ErrorKind.OVERLOADED, 'none', 60))

    calls = [
        gate.admit('s', account, gate.clock() + 0.03, attempt)
        for account in ('a', 'b', 'a')
    ]
    await asyncio.gather(*calls)
    assert len(attempts) == 1


async def test_rate_limited_account_does_not_block_others():
    """Guards against one account's limit that is taken for overload."""
    gate = make_gate()
    slots = Slots(5)

    def limited(now):
        return Err(TransientFailure(ErrorKind.RATE_LIMITED, 'bucket', 60))

    deadline = gate.clock() + 0.03
    first = asyncio.create_task(gate.admit('s', 'x', deadline, limited))
    await asyncio.sleep(0)
    other = await gate.admit('s', 'a', deadline, slots.attempt_for('a'))
    assert other == Ok('a')
    assert gate.clock() < deadline
    assert (await first).unwrap_err().kind == ErrorKind.RATE_LIMITED


async def test_timer_retries_after_the_stated_delay():
    """Guards against requests that are retried only after a release."""
    gate = make_gate()
    ready_at = gate.clock() + 0.02

    def attempt(now):
        if now < ready_at:
            return Err(
                TransientFailure(ErrorKind.RATE_LIMITED, '', ready_at - now)
            )
        return Ok('late')

    deadline = gate.clock() + 5
    assert await gate.admit('s', 'a', deadline, attempt) == Ok('late')
    assert gate.clock() < ready_at + 0.1


async def test_permanent_failure_is_returned_immediately():
    """Guards against waiting for a service without upstreams."""
    gate = make_gate()
    failure = Failure(ErrorKind.NO_UPSTREAM, 'none')
    deadline = gate.clock() + 5
    answer = await gate.admit('s', 'a', deadline, lambda now: Err(failure))
    assert answer == Err(failure)
    assert gate.clock() < deadline - 4
