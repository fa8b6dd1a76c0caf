"""Operators promote concurrently while the platform fails at random."""

import asyncio
import random

import pytest
from result import Err, Ok

from egretmill.document.promotion import HISTORY_KEY, History, Promoter
from egretmill.document.promotion import decode_row as decode
from egretmill.errors import ErrorKind
from tests.document.fakes import Clock, FakeStore, Fault, sample

TEXT = sample().encode()
STALE_KINDS = ('down', 'lost', 'late', 'stale')
KINDS = ('down', 'lost', 'late', 'slow', 'stale', 'damaged')
#: Kinds and rate of faults, number of calls before the recovery, and seed.
#: Seeds 256, 20 and 34 gave wrong outcomes before stale reads were detected.
CASES = [
    *((KINDS, 0.4, 150, seed) for seed in (*range(12), 256)),
    *((STALE_KINDS, 0.7, 400, seed) for seed in (20, 34)),
]
OPERATORS = ('anna', 'boris', 'carla')
PROMOTIONS_EACH = 3


class FailingStore(FakeStore):
    """A platform whose calls fail at random, and which then recovers."""

    def __init__(self, kinds, rate, faulty_calls, seed) -> None:
        """Draw all faults from one seed."""
        super().__init__(Clock())
        self.kinds = kinds
        self.rate = rate
        self.faulty_calls = faulty_calls
        self.generator = random.Random(seed)

    def next_fault(self, step: str) -> Fault | None:
        """Return a random fault, or none after the recovery."""
        faulty = len(self.calls) < self.faulty_calls
        if not faulty or self.generator.random() > self.rate:
            return None
        delay = self.generator.choice((1, 3, 20, 100))
        return Fault(step, self.generator.choice(self.kinds), delay_calls=delay)


class Operator:
    """Promotes several documents and keeps the outcome of each attempt."""

    def __init__(self, name: str, store: FakeStore) -> None:
        """Use a separate agent for each operator."""
        clock = store.clock
        self.name = name
        self.promoter = Promoter(store, name, clock, sleep=clock.sleep)
        self.attempts = 0
        self.outcomes: dict[str, Ok | Err] = {}

    async def work(self) -> None:
        """Promote until the planned number of attempts has succeeded."""
        successes = 0
        while successes < PROMOTIONS_EACH:
            current = await self.promoter.fetch_current()
            if current.is_ok():
                version = current.unwrap().version if current.unwrap() else 0
                successes += await self.attempt(version)

    async def attempt(self, version: int) -> bool:
        """Repeat one attempt until the answer is definite."""
        self.attempts += 1
        attempt_id = f'{self.name}-attempt-{self.attempts}'
        body = TEXT + f'# {attempt_id}'.encode()
        for _ in range(100):
            call = self.promoter.promote(body, version, attempt_id, self.name)
            answer = await call  # noqa: WPS476
            if answer.is_ok():
                break
            if answer.unwrap_err().kind is ErrorKind.VERSION_CONFLICT:
                break
        self.outcomes[attempt_id] = answer
        return answer.is_ok()


@pytest.mark.parametrize('case', CASES, ids=str)
def test_reported_outcomes_match_the_history(case):
    """Guards against faults whose combination gives a wrong outcome."""
    store = FailingStore(*case)
    operators = [Operator(name, store) for name in OPERATORS]

    async def race():
        await asyncio.gather(*(operator.work() for operator in operators))

    asyncio.run(race())
    store.apply_late(every=True)
    history = decode(store.rows[HISTORY_KEY], History).unwrap().versions
    assert [row.version for row in history] == list(range(1, 10))
    outcomes = {}
    for operator in operators:
        outcomes |= operator.outcomes
    promoted = {name for name, answer in outcomes.items() if answer.is_ok()}
    assert promoted == {row.attempt_id for row in history}
    for row in history:
        assert outcomes[row.attempt_id].unwrap().version == row.version
