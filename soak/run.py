"""One seeded run: faults, recovery, checks."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Sequence

from soak.checks import Violation, find_violations
from soak.fleet import SoakFleet
from soak.plan import Fault, draw_plan

__all__ = ('Outcome', 'RunSize', 'run_seed')

#: Time after the last fault in which the fleet must serve again.
RECOVERY_S = 10.0
#: Time between the start of the callers and the first fault.
WARM_UP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Counts, faults and violations of a run."""

    seed: int
    requests: int
    served: int
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunSize:
    """Duration of the fault schedule and number of hosts."""

    duration_s: float = 12.0
    hosts: int = 3


def run_seed(seed: int, size: RunSize, folder: pathlib.Path) -> Outcome:
    """Run the fault schedule of a seed; the hosts log into the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(run_fleet(seed, size, folder))


async def run_fleet(seed: int, size: RunSize, folder: pathlib.Path) -> Outcome:
    """Run a fleet under the faults of a seed and check its record."""
    fleet = SoakFleet(folder, seed, size.hosts)
    plan = draw_plan(seed, size.duration_s)
    record = fleet.record
    try:
        await run_plan(fleet, plan)
    finally:
        await fleet.close()
    violations = find_violations(record)
    violations += [
        Violation('shutdown', f'{name} outlived the grace')
        for name in fleet.late_shutdowns
    ]
    served = sum(request.status == 200 for request in record.asked.values())
    return Outcome(
        seed,
        len(record.asked),
        served,
        tuple(fault.kind.value for fault in plan),
        tuple(violations),
    )


async def run_plan(fleet: SoakFleet, plan: Sequence[Fault]) -> None:
    """Start the fleet, inject the faults, wait for the recovery."""
    await fleet.open()
    await asyncio.sleep(WARM_UP_S)
    started_at = fleet.loop.time()
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            due_at = started_at + fault.start_s
            await asyncio.sleep(due_at - fleet.loop.time())
            group.create_task(fleet.run_fault(fault))
    fleet.record.calm_from = fleet.loop.time()
    await asyncio.sleep(RECOVERY_S)
    fleet.record.ends_at = fleet.loop.time()
