"""Fault matrix of idempotency keys: every fault at every step of a request.

``python -m bench.ledger_matrix`` runs all cells in virtual time and prints
them. It exits with status 1 when a cell is empty. Each cell shows:

- ``first``: what the caller of the request gets: an outcome, ``cut`` (the
  connection is lost) or the status of the claim;
- ``during``: the claim status of a repeat during the fault;
- ``later``: the claim status of a repeat at the other host after recovery;
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

__all__ = ('FAULTS', 'STEPS', 'Cell', 'run_all_cells', 'main', 'run_cell')

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
FAULT_DURATION_S = 3
CLAIM_TIMEOUT_S = 2
REPEAT_TIMEOUT_S = 0.4
RECOVERY_S = 30
# Delays before and after the claim is in the table; together they are within
# the deadline of 0.5 s of the fake store.
REQUEST_DELAY_S = 0.02
ANSWER_DELAY_S = 0.44
WATCH_INTERVAL_S = 0.01
REPEAT_DELAY_S = 0.2
REPEAT_FAULTS = FAULTS[-3:]


class OwnerKilledError(Exception):
    """The programs of the owner were killed."""


@dataclasses.dataclass(frozen=True)
class Cell:
    """Outcomes of a fault at a step."""

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
    """One request at host ``a``, the owner of its claim, and a host ``b``."""

    def __init__(self, step: str, fault: str) -> None:
        """Start both hosts."""
        self.step = step
        self.fault = fault
        self.table = FakeTable()
        self.fleet = Fleet(self.table)
        self.owner_service = self.fleet.start('a')
        self.other_service = self.fleet.start('b')
        self.runs = 0
        self.during = ''
        self.is_killed = False
        self.call_fault = Fault(REQUEST_DELAY_S, ANSWER_DELAY_S)

    async def run(self) -> Cell:
        """Make the request with the fault, then a repeat after recovery."""
        watch_task = asyncio.create_task(self.watch_table())
        try:
            first = await self.serve()
        except OwnerKilledError:
            first = 'cut'
        await watch_task
        await asyncio.sleep(RECOVERY_S)
        later = await self.other_service.claim(claim(timeout_s=1))
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
        await self.report_step('before claim')
        if self.step == 'claim written':
            self.fleet.stores['a'].next_fault = lambda: self.call_fault
        message = claim(timeout_s=CLAIM_TIMEOUT_S)
        decision = await self.owner_service.claim(message)
        await self.wait_for_owner()
        if decision.status == 'unavailable':
            return 'not-run'
        if decision.status != 'granted':
            return decision.status
        await self.report_step('claim answered')
        self.runs += 1
        for step in ('sent', 'first byte', 'done'):
            await self.report_step(step)  # noqa: WPS476 steps in order
        await self.record_answer(message)
        await self.report_step('recorded')
        return 'ran'

    async def record_answer(self, message) -> None:
        """Retry recording the answer until it is acknowledged."""
        while True:
            recorded = await self.owner_service.record(record(message))
            await self.wait_for_owner()
            if recorded.is_ok():
                return
            await asyncio.sleep(REPEAT_TIMEOUT_S)

    async def report_step(self, step: str) -> None:
        """Inject the fault if it is due at this step."""
        if step == self.step:
            await self.inject_fault()
        await self.wait_for_owner()

    async def wait_for_owner(self) -> None:
        """Wait while the owner is paused; raise if it was killed."""
        await self.fleet.stores['a'].wait_until_resumed()
        if self.is_killed:
            raise OwnerKilledError

    async def watch_table(self) -> None:
        """Inject a fault once the claim is in the table, before its answer."""
        while self.step == 'claim written' and not self.table.history:
            await asyncio.sleep(WATCH_INTERVAL_S)
        if self.step == 'claim written':
            await self.inject_fault()

    async def inject_fault(self) -> None:
        """Begin the fault, schedule its end and make a repeat meanwhile."""
        stores = self.fleet.stores
        loop = asyncio.get_running_loop()
        match self.fault:
            case 'owner killed':
                self.is_killed = True
                self.fleet.live.pop('a')
                await self.owner_service.close()
            case 'owner paused':
                stores['a'].switches.paused_until = (
                    loop.time() + FAULT_DURATION_S
                )
            case 'answer lost':
                self.lose_answer()
            case 'cut off':
                stores['a'].switches.down = True
            case 'store down' | 'store slow':
                for store in stores.values():
                    store.switches.down = self.fault == 'store down'
                    store.switches.slow_s = 1
        loop.call_later(FAULT_DURATION_S, self.end_fault)
        if self.step == STEPS[0] and self.fault not in REPEAT_FAULTS:
            # Delay the repeat so that the fault affects the request as well.
            self.repeat_task = asyncio.create_task(self.send_repeat_later())
        else:
            await self.send_repeat()

    async def send_repeat_later(self) -> None:
        """Make the repeat shortly after the request."""
        await asyncio.sleep(REPEAT_DELAY_S)
        await self.send_repeat()

    def lose_answer(self) -> None:
        """Lose the answer to the write in flight, or to the next one."""
        store = self.fleet.stores['a']
        if self.step == 'claim written':
            self.call_fault.lost = True
            store.next_fault = Fault
        else:
            store.switches.lose_answers = 1

    async def send_repeat(self) -> None:
        """Make a repeat during the fault."""
        same_host = self.fault == 'repeat at the same host'
        service = self.owner_service if same_host else self.other_service
        digest = 'd2' if self.fault == 'mismatch' else 'd1'
        message = claim(digest=digest, timeout_s=REPEAT_TIMEOUT_S)
        decision = await service.claim(message)
        self.during = decision.status
        if decision.status == 'granted':
            self.runs += 1
            await service.record(record(message))

    def end_fault(self) -> None:
        """End all faults except a kill."""
        for store in self.fleet.stores.values():
            store.next_fault = Fault
            store.switches.down = False
            store.switches.slow_s = 0


def run_cell(step: str, fault: str) -> Cell:
    """Run one cell in virtual time."""
    return run_virtual(run_cell_async(step, fault))


async def run_cell_async(step: str, fault: str) -> Cell:
    """Run one cell in the running loop."""
    return await CellRun(step, fault).run()


def run_all_cells() -> Iterator[Cell]:
    """Run all cells, by fault and step."""
    for fault in FAULTS:
        for step in STEPS:
            yield run_cell(step, fault)


def main() -> None:
    """Print all cells; fail when one is empty."""
    logs.configure('ERROR', 'text')
    print('step | fault | first | during | later | runs')
    empty_cells = 0
    for cell in run_all_cells():
        print(cell)
        empty_cells += not (cell.first and cell.during and cell.later)
    sys.exit(1 if empty_cells else 0)


if __name__ == '__main__':
    main()
