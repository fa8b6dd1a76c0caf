"""``egretmill simulate``: compare placement policies under load."""

import pathlib

from cleo.helpers import option
from result import Err, Ok, Result

from egretmill.cli.base import EXIT_INVALID, EXIT_OK, OperatorCommand
from egretmill.simulation import POLICIES, WORKLOADS
from egretmill.simulation.report import (
    RunKey,
    RunResult,
    format_table,
    run_all,
    write_plot,
)

__all__ = ('SimulateCommand',)

DEFAULT_LOADS = ('1', '2', '3')
DEFAULT_SEEDS = ('1', '2')
DEFAULT_PHASE_S = 8.0
MIN_LOAD = 0.1
MAX_LOAD = 20.0


class SimulateCommand(OperatorCommand):
    """Runs the placement code in virtual time, without any host."""

    name = 'simulate'
    description = 'Compare placement policies in a simulation of a service.'
    example = (
        'egretmill simulate --workload uneven-regions --policy current '
        '--policy equal-waits --load 1 --load 3 --plot worth.png'
    )
    options = [
        option(
            'workload',
            description=f'One of: {", ".join(WORKLOADS)}.',
            flag=False,
            default='uneven-regions',
        ),
        option(
            'policy',
            description=f'Of: {", ".join(POLICIES)}; all by default.',
            flag=False,
            multiple=True,
        ),
        option(
            'load',
            description='Factor on the usual rates; one phase for each.',
            flag=False,
            multiple=True,
        ),
        option('seed', description='Integer.', flag=False, multiple=True),
        option(
            'plot',
            description='Image file to write; needs matplotlib.',
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Run all combinations and print a table."""
        keys = self.parse_keys()
        if isinstance(keys, Err):
            self.print_stderr(keys.err_value)
            return EXIT_INVALID
        loads = tuple(float(load) for load in self.loads())
        results = run_all(keys.ok_value, loads, DEFAULT_PHASE_S)
        self.print_stdout(format_table(results, loads))
        return self.write_plot(results, loads)

    def parse_keys(self) -> Result[list[RunKey], str]:
        """Return the combinations to run, or what is wrong."""
        workload = self.option('workload')
        if workload not in WORKLOADS:
            return Err(f'--workload: use one of {", ".join(WORKLOADS)}')
        policies = self.option('policy') or list(POLICIES)
        if not set(policies) <= POLICIES.keys():
            return Err(f'--policy: use {", ".join(POLICIES)}')
        for load in self.loads():
            if not _is_number_between(load, MIN_LOAD, MAX_LOAD):
                return Err(f'--load: use {MIN_LOAD} to {MAX_LOAD}')
        seeds = self.option('seed') or DEFAULT_SEEDS
        if not all(seed.isdecimal() for seed in seeds):
            return Err('--seed: use an integer of 0 or more')
        return Ok(
            [
                RunKey(workload, policy, int(seed))
                for policy in policies
                for seed in seeds
            ]
        )

    def loads(self) -> list[str]:
        """Return the loads as given, or the default ones."""
        return self.option('load') or list(DEFAULT_LOADS)

    def write_plot(
        self, results: list[RunResult], loads: tuple[float, ...]
    ) -> int:
        """Write the plot if one was asked for."""
        path = self.option('plot')
        if not path:
            return EXIT_OK
        written = write_plot(results, loads, pathlib.Path(path))
        if isinstance(written, Err):
            self.print_stderr(f'--plot: {written.err_value}')
            return EXIT_INVALID
        return EXIT_OK


def _is_number_between(text: str, low: float, high: float) -> bool:
    try:
        return low <= float(text) <= high
    except ValueError:
        return False
