"""Fault matrix of idempotency keys: every fault at every step of a request.

``python -m bench.ledger_matrix`` runs all cells in virtual time and prints
them. It ends with status 1 when a cell is empty. Each cell says:

- ``first``: what the caller of the request gets: an outcome, ``cut`` (its
  connection breaks) or the status of the claim;
- ``during``: the status of a repeat that is made while the fault lasts;
- ``later``: the status of a repeat at the other host after all has settled;
- ``runs``: how often the request was sent before the later repeat.
"""

import asyncio
import dataclasses
import sys
from collections.abc import Iterator

from egretmill import logs
from tests.fakes import FakeTable, Fault
from tests.ledger.support import Fleet, claim, record
from tests.virtual_time import run_virtual

__all__ = ('FAULTS', 'STEPS', 'Cell', 'all_cells', 'main', 'run_cell')

STEPS = (
    'before claim',
    'claim written',
    'claim answered',
    'sent',
    'first byte',
    'done',
    'recorded',
)
FAULTS = (
    'owner killed',
    'owner paused',
    'store down',
    'store slow',
    'answer lost',
    'cut off',
    'repeat at another host',
    'repeat at the same host',
    'mismatch',
)
FAULT_S = 3
CLAIM_TIMEOUT_S = 2
REPEAT_TIMEOUT_S = 0.4
SETTLE_S = 30
# Both sides of the moment at which the claim is in the table, within the
# deadline of 0.5 s of the fake.
REQUEST_S = 0.02
ANSWER_S = 0.44
WATCH_S = 0.01
REPEAT_DELAY_S = 0.2
REPEATS = FAULTS[-3:]


class Killed(Exception):
    """The programs of the owner have ended."""


@dataclasses.dataclass(frozen=True)
class Cell:
    """What happens when a fault strikes at a step."""

    step: str
    fault: str
    first: str
    during: str
    later: str
    runs: int

    def __str__(self) -> str:
        """Return the cell as a line of the expected outcomes."""
        parts = dataclasses.astuple(self)
        return ' | '.join(str(part) for part in parts)


class CellRun:
    """One request at host ``a``, with host ``b`` beside it."""

    def __init__(self, step: str, fault: str) -> None:
        """Start both hosts."""
        self.step = step
        self.fault = fault
        self.table = FakeTable()
        self.fleet = Fleet(self.table)
        self.first = self.fleet.start('a')
        self.second = self.fleet.start('b')
        self.runs = 0
        self.during = ''
        self.killed = False
        self.call_fault = Fault(REQUEST_S, ANSWER_S)

    async def play(self) -> Cell:
        """Make the request, strike, and ask again later."""
        watcher = asyncio.create_task(self.watch())
        try:
            first = await self.serve()
        except Killed:
            first = 'cut'
        await watcher
        await asyncio.sleep(SETTLE_S)
        later = await self.second.claim(claim(timeout_s=1))
        return Cell(
            self.step,
            self.fault,
            first,
            self.during,
            later.status,
            self.runs,
        )

    async def serve(self) -> str:
        """Serve the request as the entry program does."""
        await self.reach('before claim')
        if self.step == 'claim written':
            self.fleet.stores['a'].next_fault = lambda: self.call_fault
        message = claim(timeout_s=CLAIM_TIMEOUT_S)
        decision = await self.first.claim(message)
        await self.go_on()
        if decision.status == 'unavailable':
            return 'not-run'
        if decision.status != 'granted':
            return decision.status
        await self.reach('claim answered')
        self.runs += 1
        for step in ('sent', 'first byte', 'done'):
            await self.reach(step)  # noqa: WPS476 steps in order
        await self.keep(message)
        await self.reach('recorded')
        return 'ran'

    async def keep(self, message) -> None:
        """Record the answer until that is acknowledged."""
        while True:
            recorded = await self.first.record(record(message))
            await self.go_on()
            if recorded.is_ok():
                return
            await asyncio.sleep(REPEAT_TIMEOUT_S)

    async def reach(self, step: str) -> None:
        """Arrive at a step; the fault may strike there."""
        if step == self.step:
            await self.strike()
        await self.go_on()

    async def go_on(self) -> None:
        """Wait while the owner is paused; stop when it was killed."""
        await self.fleet.stores['a'].wait_until_resumed()
        if self.killed:
            raise Killed

    async def watch(self) -> None:
        """Strike when the claim is in the table, before its answer."""
        while self.step == 'claim written' and not self.table.history:
            await asyncio.sleep(WATCH_S)
        if self.step == 'claim written':
            await self.strike()

    async def strike(self) -> None:
        """Apply the fault for its time and make a repeat under it."""
        stores = self.fleet.stores
        loop = asyncio.get_running_loop()
        match self.fault:
            case 'owner killed':
                self.killed = True
                self.fleet.live.pop('a')
                await self.first.close()
            case 'owner paused':
                stores['a'].switches.paused_until = loop.time() + FAULT_S
            case 'answer lost':
                self.lose_answer()
            case 'cut off':
                stores['a'].switches.down = True
            case 'store down' | 'store slow':
                for store in stores.values():
                    store.switches.down = self.fault == 'store down'
                    store.switches.slow_s = 1
        loop.call_later(FAULT_S, self.end_fault)
        if self.step == STEPS[0] and self.fault not in REPEATS:
            # The request itself meets the fault, not only the repeat.
            self.repeating = asyncio.create_task(self.repeat_later())
        else:
            await self.repeat()

    async def repeat_later(self) -> None:
        """Make the repeat a little after the request."""
        await asyncio.sleep(REPEAT_DELAY_S)
        await self.repeat()

    def lose_answer(self) -> None:
        """Lose the answer of the write under way, or of the next one."""
        store = self.fleet.stores['a']
        if self.step == 'claim written':
            self.call_fault.lost = True
            store.next_fault = Fault
        else:
            store.switches.lose_answers = 1

    async def repeat(self) -> None:
        """Make a repeat while the fault lasts."""
        same_host = self.fault == 'repeat at the same host'
        service = self.first if same_host else self.second
        digest = 'd2' if self.fault == 'mismatch' else 'd1'
        message = claim(digest=digest, timeout_s=REPEAT_TIMEOUT_S)
        decision = await service.claim(message)
        self.during = decision.status
        if decision.status == 'granted':
            self.runs += 1
            await service.record(record(message))

    def end_fault(self) -> None:
        """End all faults but a kill."""
        for store in self.fleet.stores.values():
            store.next_fault = Fault
            store.switches.down = False
            store.switches.slow_s = 0


def run_cell(step: str, fault: str) -> Cell:
    """Run one cell in virtual time."""
    return run_virtual(play_cell(step, fault))


async def play_cell(step: str, fault: str) -> Cell:
    """Run one cell in the running loop."""
    return await CellRun(step, fault).play()


def all_cells() -> Iterator[Cell]:
    """Run all cells, by fault and step."""
    for fault in FAULTS:
        for step in STEPS:
            yield run_cell(step, fault)


def main() -> None:
    """Print all cells; fail when one is empty."""
    logs.configure('ERROR', 'text')
    print('step | fault | first | during | later | runs')
    empty = 0
    for cell in all_cells():
        print(cell)
        empty += not (cell.first and cell.during and cell.later)
    sys.exit(1 if empty else 0)


if __name__ == '__main__':
    main()
