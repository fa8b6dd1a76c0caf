"""Fault matrix of promotions and key withdrawals.

``python -m bench.promotion_matrix`` runs every fault at every step against
an in-memory platform in virtual time and prints the outcomes for the
operator. A cell is empty if a check failed; then the exit status is 1.
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

__all__ = (
    'FAULTS',
    'PROMOTION_STEPS',
    'WITHDRAWAL_STEPS',
    'Cell',
    'run_matrix',
)

KEY = 'egk_example-spare-key-of-ward-south'
FIRST_DOCUMENT = sample()
DOCUMENT_WITHOUT_KEY = '\n'.join(
    line for line in FIRST_DOCUMENT.splitlines() if 'south spare' not in line
)
RIVAL_DOCUMENT = FIRST_DOCUMENT.replace(
    'rate_per_s = 40.0', 'rate_per_s = 50.0'
)
#: Each configuration change is in force everywhere within this time.
IN_FORCE_LIMIT_S = 18.0
#: A promotion ends within its time limit, not counting a pause of its agent.
CALL_LIMIT_S = 8.0 + 1.0
PAUSE_S = 120.0
POLL_S = 0.5
END_FAULTS_AFTER_S = 10.0
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
    """Outcome of one fault at one step; the text is empty after a failure."""

    step: str
    fault: str
    text: str
    problem: str = ''


class Host:
    """Polls the version row as an agent does, and authenticates a key."""

    def __init__(self, store: FakeStore) -> None:
        """Start without a document."""
        view = store.view('host ')
        self.promoter = Promoter(view, 'eh-9', view.clock)
        self.environment: Environment | None = None
        self.applied: list[int] = [0]

    async def poll(self) -> None:
        """Read the row and apply a higher version."""
        result = await self.promoter.fetch_current()
        current = result.unwrap_or(None)
        if current is None or current.version <= self.applied[-1]:
            return
        fetched = await self.promoter.fetch_document(current)
        if isinstance(fetched, Ok):
            self.environment = fetched.ok_value
            self.applied.append(current.version)

    def accepts(self) -> bool:
        """Return whether this host still accepts the key of the scenario."""
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
            FIRST_DOCUMENT.encode(),
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
        """Promote the document without the key, always with one attempt ID."""
        return await self.promoter(host).promote(
            DOCUMENT_WITHOUT_KEY.encode(),
            1,
            'attempt-own',
            'anna',
        )

    async def rival(self) -> None:
        """Promote a document of another operator, without faults."""
        fault_free_view = self.store.view('rival ')
        body = (
            DOCUMENT_WITHOUT_KEY
            if self.fault == SAME_DOCUMENT
            else RIVAL_DOCUMENT
        )
        promoter = Promoter(
            fault_free_view, 'eh-3', self.clock, sleep=self.clock.sleep
        )
        await promoter.promote(body.encode(), 1, 'attempt-rival', 'boris')

    async def call_once(self) -> Result[Promoted, Failure] | None:
        """Return the first answer, ``None`` if the agent was killed."""
        started_at = self.clock()
        try:
            answer = await self.attempt('eh-1')
        except AgentKilled:
            return None
        limit = CALL_LIMIT_S
        if self.fault == 'caller paused':
            limit += PAUSE_S
        require(self.clock() - started_at <= limit, 'the call took too long')
        return answer

    async def promote_twice(self) -> tuple[str, Result[Promoted, Failure]]:
        """Promote, end the fault, repeat the attempt and check the answers."""
        first = await self.call_once()
        self.check_answer(first)
        if outcome_of(first) == ErrorKind.PLATFORM_UNAVAILABLE:
            # The answer states that nothing was written, so no delayed
            # write of this call may take effect later.
            self.store.apply_late(every=True)
            self.check_not_written()
        if not self.step.startswith('host'):
            self.store.switch_faults()
        repeated = await self.attempt('eh-2')
        self.store.apply_late(every=True)
        self.check_answer(repeated)
        if is_final(first):
            require(
                outcome_of(first) == outcome_of(repeated), 'the answers differ'
            )
        require(is_final(repeated), 'the repeat gave no definite answer')
        outcome = outcome_of(first)
        if outcome != outcome_of(repeated):
            outcome = f'{outcome}, then {outcome_of(repeated)}'
        return outcome, repeated

    def history(self) -> list[tuple[int, str]]:
        """Return version and attempt ID of all promotions."""
        row = self.store.rows[HISTORY_KEY]
        decoded = msgspec.json.decode(row.body, type=History)
        return [(item.version, item.attempt_id) for item in decoded.versions]

    def check_answer(self, answer: Result[Promoted, Failure] | None) -> None:
        """Check an answer against the history on the platform."""
        history = self.history()
        versions = [version for version, _ in history]
        expected_versions = list(range(1, len(versions) + 1))
        require(versions == expected_versions, 'versions do not rise by one')
        own_attempts = [attempt for _, attempt in history].count('attempt-own')
        require(own_attempts < 2, 'the attempt took effect twice')
        if isinstance(answer, Ok):
            require(own_attempts == 1, 'promoted, but not in the history')
        elif is_final(answer):
            self.check_not_written()

    def check_not_written(self) -> None:
        """Require that the attempt had no effect."""
        attempts = [attempt for _, attempt in self.history()]
        require('attempt-own' not in attempts, 'not written, but in history')

    async def wait_until_refused(self, outcome: str) -> str:
        """Poll until the host refuses the key; check that it stays refused."""
        started_at = self.clock()
        while self.host.accepts():
            waited_s = self.clock() - started_at
            if waited_s >= END_FAULTS_AFTER_S:
                self.store.switch_faults()
            limit = IN_FORCE_LIMIT_S + PAUSE_S * (self.fault == 'caller paused')
            require(waited_s <= limit, 'the key still works')
            await self.poll_host()
        elapsed_s = self.clock() - started_at
        for _ in range(3):
            await self.poll_host()  # noqa: WPS476
            require(not self.host.accepts(), 'the key works again')
        expected_versions = sorted(set(self.host.applied))
        require(self.host.applied == expected_versions, 'a host went back')
        return f'{outcome}, refused after {elapsed_s:.1f} s'

    async def poll_host(self) -> None:
        """Let the host poll; restart its agent if it was killed."""
        try:
            await self.host.poll()
        except AgentKilled:
            self.host = Host(self.store)
            self.host.environment = Environment.from_bytes(
                FIRST_DOCUMENT.encode(),
            ).unwrap()
        await self.clock.sleep(POLL_S)


class CheckError(Exception):
    """A check of a cell failed."""


def require(condition: bool, problem: str) -> None:
    """Fail the cell unless a condition holds."""
    if not condition:
        raise CheckError(problem)


def is_final(answer: Result[Promoted, Failure] | None) -> bool:
    """Return whether an answer states the final result of the attempt.

    ``platform_unavailable`` is final for its own call only; a repeat may get
    another answer.
    """
    return outcome_of(answer) in {'promoted', 'version_conflict'}


def outcome_of(answer: Result[Promoted, Failure] | None) -> str:
    """Return the outcome of an answer as text."""
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
    outcome, _ = await scenario.promote_twice()
    return outcome


async def run_withdrawal(step: str, fault: str) -> str:
    """Run one cell of the withdrawal table.

    If a concurrent promotion came first, the operator withdraws the key in a
    further version.
    """
    scenario = Scenario(step, fault)
    await scenario.prepare()
    outcome, answer = await scenario.promote_twice()
    if isinstance(answer, Err):
        body = f'{DOCUMENT_WITHOUT_KEY}# rebased'
        answer = await scenario.promoter('eh-2').promote(
            body.encode(),
            2,
            'attempt-rebased',
            'anna',
        )
        outcome = f'{outcome}, then {outcome_of(answer)}'
    require(isinstance(answer, Ok), 'the key was not withdrawn')
    return await scenario.wait_until_refused(outcome)


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


def run_matrix(
    steps: tuple[str, ...],
    scenario: Callable[[str, str], Awaitable[str]],
) -> list[Cell]:
    """Run all faults at all steps."""
    return [
        asyncio.run(run_cell(step, fault, scenario))
        for step in steps
        for fault in FAULTS
    ]


def format_table(cells: list[Cell], steps: tuple[str, ...]) -> Iterator[str]:
    """Yield the lines of a table, one row for each fault."""
    outcomes = {(cell.fault, cell.step): cell.text for cell in cells}
    yield '| fault | ' + ' | '.join(steps) + ' |'
    yield '|---' * (len(steps) + 1) + '|'
    for fault in FAULTS:
        texts = (outcomes.get((fault, step), '') for step in steps)
        yield f'| {fault} | ' + ' | '.join(texts) + ' |'


def main() -> int:
    """Print both tables; return 1 if a cell is empty."""
    logs.configure('ERROR', 'text')
    status = 0
    for title, steps, scenario in (
        ('Promotion', PROMOTION_STEPS, run_promotion),
        ('Key withdrawal', WITHDRAWAL_STEPS, run_withdrawal),
    ):
        cells = run_matrix(steps, scenario)
        print(f'## {title}\n')
        print('\n'.join(format_table(cells, steps)))
        empty_cells = [cell for cell in cells if not cell.text]
        print(f'\n{len(cells)} cells, {len(empty_cells)} empty\n')
        for cell in empty_cells:
            print(f'empty: {cell.step}, {cell.fault}: {cell.problem}')
            status = 1
    return status


if __name__ == '__main__':
    sys.exit(main())
