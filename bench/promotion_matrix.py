"""Fault matrix of promotions and key withdrawals.

``python -m bench.promotion_matrix`` runs every fault at every step against
an in-memory platform on virtual time and prints what the operator saw. A
cell is empty when one of the checks failed; then the exit status is 1.
"""

import asyncio
import dataclasses
import sys
from collections.abc import Awaitable, Callable, Iterator

import msgspec
from result import Err, Ok, Result

from egretmill import logs
from egretmill.document import Environment
from egretmill.document.promotion import (
    HISTORY_KEY,
    History,
    Promoted,
    Promoter,
)
from egretmill.errors import ErrorKind, Failure
from tests.document.fakes import AgentKilled, Clock, FakeStore, Fault, sample

__all__ = ('FAULTS', 'PROMOTION_STEPS', 'WITHDRAWAL_STEPS', 'Cell', 'matrix')

KEY = 'egk_example-spare-key-of-ward-south'
FIRST = sample()
WITHDRAWN = '\n'.join(
    line for line in FIRST.splitlines() if 'south spare' not in line
)
RIVAL = FIRST.replace('rate_per_s = 40.0', 'rate_per_s = 50.0')
#: Each configuration change is in force everywhere within this time.
IN_FORCE_LIMIT_S = 18.0
#: A promotion ends within its own limit, a pause of its agent excepted.
CALL_LIMIT_S = 8.0 + 1.0
PAUSE_S = 120.0
POLL_S = 0.5
HEAL_AFTER_S = 10.0
READ_BACK = 'read back'
SAME_DOCUMENT = 'same document by a rival'

#: Column title and fault.
FAULTS: dict[str, dict] = {
    'none': {'kind': '', 'times': 0},
    'down once': {'kind': 'down', 'times': 1},
    'down': {'kind': 'down'},
    'answer lost once': {'kind': 'lost', 'times': 1},
    'answers lost': {'kind': 'lost'},
    'late': {'kind': 'late', 'times': 1},
    'very late': {'kind': 'late', 'delay_calls': 1000},
    'slow': {'kind': 'slow'},
    'caller paused': {'kind': 'paused', 'times': 1},
    'stale read': {'kind': 'stale', 'times': 2},
    'damaged answer': {'kind': 'damaged', 'times': 1},
    'rival first': {'kind': 'rival', 'times': 1},
    SAME_DOCUMENT: {'kind': 'rival', 'times': 1},
    'agent killed before': {'kind': 'killed', 'times': 1},
    'agent killed after': {'kind': 'killed after', 'times': 1},
}
PROMOTION_STEPS = (
    'get config/current',
    'get config/history',
    'get object',
    'put object',
    'put rows',
    READ_BACK,
)
HOST_STEPS = ('host get config/current', 'host get object')
WITHDRAWAL_STEPS = (*PROMOTION_STEPS, *HOST_STEPS)


@dataclasses.dataclass(frozen=True)
class Cell:
    """What was seen for one fault at one step; empty text means failure."""

    step: str
    fault: str
    text: str
    problem: str = ''


class Host:
    """Follows the version row as an agent does, and authenticates a key."""

    def __init__(self, store: FakeStore) -> None:
        """Start without a document."""
        seen = store.view('host ')
        self.promoter = Promoter(seen, 'eh-9', seen.clock)
        self.environment: Environment | None = None
        self.applied: list[int] = [0]

    async def poll(self) -> None:
        """Read the row and apply a higher version."""
        read = await self.promoter.fetch_current()
        current = read.unwrap_or(None)
        if current is None or current.version <= self.applied[-1]:
            return
        found = await self.promoter.fetch_document(current)
        if isinstance(found, Ok):
            self.environment = found.ok_value
            self.applied.append(current.version)

    def accepts(self) -> bool:
        """Tell whether the key of the scenario still works here."""
        return isinstance(self.environment.account_for(KEY), Ok)


class Scenario:
    """One promotion that replaces version 1 under one fault."""

    def __init__(self, step: str, fault: str) -> None:
        """Start with an empty platform."""
        self.clock = Clock()
        self.store = FakeStore(self.clock)
        self.store.rival = self.rival
        self.fault = fault
        self.step = step
        self.host = Host(self.store)

    def promoter(self, host: str) -> Promoter:
        """Return the promoter of one agent."""
        return Promoter(self.store, host, self.clock, sleep=self.clock.sleep)

    async def prepare(self) -> None:
        """Promote version 1, then switch the fault on."""
        await self.promoter('eh-1').promote(
            FIRST.encode(),
            0,
            'attempt-first',
            'anna',
        )
        await self.host.poll()
        faults = [Fault(self.step, **FAULTS[self.fault])]
        if self.step == READ_BACK:
            faults = [
                Fault('put rows', 'lost', times=1),
                Fault('get config/current', skip=1, **FAULTS[self.fault]),
            ]
        self.store.switch_faults(*faults)

    async def attempt(self, host: str) -> Result[Promoted, Failure]:
        """Promote the document without the key, always as one attempt."""
        return await self.promoter(host).promote(
            WITHDRAWN.encode(),
            1,
            'attempt-own',
            'anna',
        )

    async def rival(self) -> None:
        """Promote another document over a connection without faults."""
        clear = self.store.view('rival ')
        body = WITHDRAWN if self.fault == SAME_DOCUMENT else RIVAL
        promoter = Promoter(clear, 'eh-3', self.clock, sleep=self.clock.sleep)
        await promoter.promote(body.encode(), 1, 'attempt-rival', 'boris')

    async def first_call(self) -> Result[Promoted, Failure] | None:
        """Return the first answer, ``None`` when the agent died."""
        began = self.clock()
        try:
            answer = await self.attempt('eh-1')
        except AgentKilled:
            return None
        limit = CALL_LIMIT_S
        if self.fault == 'caller paused':
            limit += PAUSE_S
        require(self.clock() - began <= limit, 'the call took too long')
        return answer

    async def settle(self) -> tuple[str, Result[Promoted, Failure]]:
        """Promote, heal, repeat the attempt, and check the answers."""
        first = await self.first_call()
        self.check_answer(first)
        if kind_of(first) == ErrorKind.PLATFORM_UNAVAILABLE:
            # The answer says that nothing was written, so no write of this
            # call may take effect afterwards either.
            self.store.apply_late(every=True)
            self.check_not_written()
        if not self.step.startswith('host'):
            self.store.switch_faults()
        again = await self.attempt('eh-2')
        self.store.apply_late(every=True)
        self.check_answer(again)
        if is_definite(first):
            require(kind_of(first) == kind_of(again), 'the answers differ')
        require(is_definite(again), 'the repeat gave no definite answer')
        said = kind_of(first)
        if said != kind_of(again):
            said = f'{said}, then {kind_of(again)}'
        return said, again

    def history(self) -> list[tuple[int, str]]:
        """Return versions and attempts of all promotions."""
        row = self.store.rows[HISTORY_KEY]
        found = msgspec.json.decode(row.body, type=History)
        return [(item.version, item.attempt_id) for item in found.versions]

    def check_answer(self, answer: Result[Promoted, Failure] | None) -> None:
        """Compare an answer with what the platform holds."""
        history = self.history()
        versions = [version for version, _ in history]
        rising = list(range(1, len(versions) + 1))
        require(versions == rising, 'versions do not rise by one')
        own = [attempt for _, attempt in history].count('attempt-own')
        require(own < 2, 'the attempt took effect twice')
        if isinstance(answer, Ok):
            require(own == 1, 'promoted, but not in the history')
        elif is_definite(answer):
            self.check_not_written()

    def check_not_written(self) -> None:
        """Require that the attempt has no effect."""
        attempts = [attempt for _, attempt in self.history()]
        require('attempt-own' not in attempts, 'not written, but in history')

    async def withdraw(self, said: str) -> str:
        """Poll on one host until the key is refused there."""
        began = self.clock()
        while self.host.accepts():
            waited = self.clock() - began
            if waited >= HEAL_AFTER_S:
                self.store.switch_faults()
            limit = IN_FORCE_LIMIT_S + PAUSE_S * (self.fault == 'caller paused')
            require(waited <= limit, 'the key still works')
            await self.poll_once()
        took = self.clock() - began
        for _ in range(3):
            await self.poll_once()  # noqa: WPS476
            require(not self.host.accepts(), 'the key works again')
        rising = sorted(set(self.host.applied))
        require(self.host.applied == rising, 'a host went back')
        return f'{said}, refused after {took:.1f} s'

    async def poll_once(self) -> None:
        """Let the host poll; its agent restarts when it was killed."""
        try:
            await self.host.poll()
        except AgentKilled:
            self.host = Host(self.store)
            self.host.environment = Environment.from_bytes(
                FIRST.encode(),
            ).unwrap()
        await self.clock.sleep(POLL_S)


class CheckError(Exception):
    """A check of a cell failed."""


def require(holds: bool, problem: str) -> None:
    """Fail the cell unless a condition holds."""
    if not holds:
        raise CheckError(problem)


def is_definite(answer: Result[Promoted, Failure] | None) -> bool:
    """Tell whether an answer says what became of the attempt for good.

    ``platform_unavailable`` is definite about its own call only, so a
    repeat may answer otherwise.
    """
    return kind_of(answer) in {'promoted', 'version_conflict'}


def kind_of(answer: Result[Promoted, Failure] | None) -> str:
    """Return an answer in one word."""
    match answer:
        case Ok():
            return 'promoted'
        case Err(Failure(kind=ErrorKind.PROMOTION_UNKNOWN)):
            return 'unknown'
        case Err(failure):
            return str(failure.kind)
    return 'agent killed'


async def run_promotion(step: str, fault: str) -> str:
    """Run one cell of the promotion table."""
    scenario = Scenario(step, fault)
    await scenario.prepare()
    said, _ = await scenario.settle()
    return said


async def run_withdrawal(step: str, fault: str) -> str:
    """Run one cell of the withdrawal table.

    An operator who lost to a rival withdraws the key from the version of
    the rival.
    """
    scenario = Scenario(step, fault)
    await scenario.prepare()
    said, answer = await scenario.settle()
    if isinstance(answer, Err):
        body = f'{WITHDRAWN}# rebased'
        answer = await scenario.promoter('eh-2').promote(
            body.encode(),
            2,
            'attempt-rebased',
            'anna',
        )
        said = f'{said}, then {kind_of(answer)}'
    require(isinstance(answer, Ok), 'the key was not withdrawn')
    return await scenario.withdraw(said)


async def run_cell(
    step: str,
    fault: str,
    scenario: Callable[[str, str], Awaitable[str]],
) -> Cell:
    """Run one cell; a failed check leaves it empty."""
    try:
        return Cell(step, fault, await scenario(step, fault))
    except CheckError as error:
        return Cell(step, fault, '', str(error))


def matrix(
    steps: tuple[str, ...],
    scenario: Callable[[str, str], Awaitable[str]],
) -> list[Cell]:
    """Run all faults at all steps."""
    return [
        asyncio.run(run_cell(step, fault, scenario))
        for step in steps
        for fault in FAULTS
    ]


def table(cells: list[Cell], steps: tuple[str, ...]) -> Iterator[str]:
    """Yield the lines of a table, one row for each fault."""
    found = {(cell.fault, cell.step): cell.text for cell in cells}
    yield '| fault | ' + ' | '.join(steps) + ' |'
    yield '|---' * (len(steps) + 1) + '|'
    for fault in FAULTS:
        texts = (found.get((fault, step), '') for step in steps)
        yield f'| {fault} | ' + ' | '.join(texts) + ' |'


def main() -> int:
    """Print both tables; 1 when a cell is empty."""
    logs.configure('ERROR', 'text')
    status = 0
    for title, steps, scenario in (
        ('Promotion', PROMOTION_STEPS, run_promotion),
        ('Key withdrawal', WITHDRAWAL_STEPS, run_withdrawal),
    ):
        cells = matrix(steps, scenario)
        print(f'## {title}\n')
        print('\n'.join(table(cells, steps)))
        empty = [cell for cell in cells if not cell.text]
        print(f'\n{len(cells)} cells, {len(empty)} empty\n')
        for cell in empty:
            print(f'empty: {cell.step}, {cell.fault}: {cell.problem}')
            status = 1
    return status


if __name__ == '__main__':
    sys.exit(main())
