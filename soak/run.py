"""One seeded run: faults, recovery, checks."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Sequence

from soak.checks import Violation, check
from soak.fleet import SoakFleet
from soak.plan import Fault, draw_plan

__all__ = ('Outcome', 'RunSize', 'run_seed')

#: Time after the last fault in which the fleet must serve again, in seconds.
RECOVERY_S = 10.0
#: Time before the first fault.
WARM_UP_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a run has shown."""

    seed: int
    requests: int
    served: int
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunSize:
    """How long faults come, in seconds, and how many hosts there are."""

    length_s: float = 12.0
    hosts: int = 3


def run_seed(seed: int, size: RunSize, folder: pathlib.Path) -> Outcome:
    """Play a seed; logs of the hosts stay in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(play(seed, size, folder))


async def play(seed: int, size: RunSize, folder: pathlib.Path) -> Outcome:
    """Play the faults of a seed beside the callers."""
    fleet = SoakFleet(folder, seed, size.hosts)
    plan = draw_plan(seed, size.length_s)
    record = fleet.record
    try:
        await play_plan(fleet, plan)
    finally:
        await fleet.close()
    violations = check(record)
    violations += [
        Violation('shutdown', f'{name} outlived the grace')
        for name in fleet.overdue
    ]
    served = sum(row.status == 200 for row in record.asked.values())
    return Outcome(
        seed,
        len(record.asked),
        served,
        tuple(row.kind.value for row in plan),
        tuple(violations),
    )


async def play_plan(fleet: SoakFleet, plan: Sequence[Fault]) -> None:
    """Start the fleet, let the faults happen, wait for the recovery."""
    await fleet.open()
    await asyncio.sleep(WARM_UP_S)
    started_at = fleet.clock.time()
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            due_at = started_at + fault.at
            await asyncio.sleep(due_at - fleet.clock.time())
            group.create_task(fleet.play(fault))
    fleet.record.calm_from = fleet.clock.time()
    await asyncio.sleep(RECOVERY_S)
