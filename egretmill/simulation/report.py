"""Runs simulations and reports them as a table or a plot."""

import dataclasses
import operator
import pathlib
import statistics
from collections.abc import Callable, Iterable, Mapping, Sequence

from result import Err, Ok, Result

from egretmill.simulation.model import simulate
from egretmill.simulation.outcomes import PhaseOutcomes
from egretmill.simulation.policies import POLICIES
from egretmill.simulation.workload import WORKLOADS

__all__ = ('RunKey', 'RunResult', 'format_table', 'run_all', 'write_plot')

#: Computes a fraction of 1 from the outcomes of a phase.
Measure = Callable[[PhaseOutcomes], float]


@dataclasses.dataclass(frozen=True, slots=True)
class RunKey:
    """One run: names of a workload and a policy, and the seed."""

    workload: str
    policy: str
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Outcomes of one run, by phase."""

    key: RunKey
    phases: list[PhaseOutcomes]


def run_all(
    keys: Iterable[RunKey], loads: Sequence[float], phase_s: float
) -> list[RunResult]:
    """Run the simulations one after the other."""
    return [
        RunResult(
            key,
            simulate(
                WORKLOADS[key.workload],
                POLICIES[key.policy],
                loads,
                phase_s,
                key.seed,
            ),
        )
        for key in keys
    ]


def format_table(results: Sequence[RunResult], loads: Sequence[float]) -> str:
    """Return a table with the means over the seeds, fractions of 1."""
    names = ''.join(f'  {name}' for name in MEASURES)
    lines = [f'{"policy":<16}  load{names}']
    for policy in _policies(results):
        for phase, load in enumerate(loads):
            phases = [
                result.phases[phase]
                for result in results
                if result.key.policy == policy
            ]
            lines.append(_format_row(policy, load, phases))
    return '\n'.join(lines)


def write_plot(
    results: Sequence[RunResult], loads: Sequence[float], path: pathlib.Path
) -> Result[None, str]:
    """Plot the worth by load, one line per policy."""
    try:
        from matplotlib import figure  # noqa: PLC0415, WPS433
    except ImportError:
        return Err('matplotlib is not installed; use "egretmill[plots]"')
    canvas = figure.Figure()
    axes = canvas.add_subplot()
    for policy in _policies(results):
        worth = [
            statistics.fmean(
                result.phases[phase].total.worth
                for result in results
                if result.key.policy == policy
            )
            for phase in range(len(loads))
        ]
        axes.plot(loads, worth, marker='o', label=policy)
    axes.set_xlabel('load, relative to the usual rate')
    axes.set_ylabel('worth earned, fraction')
    axes.legend()
    try:
        canvas.savefig(path)
    except (OSError, ValueError) as error:
        return Err(str(error))
    return Ok(None)


def _policies(results: Iterable[RunResult]) -> list[str]:
    return list(dict.fromkeys(result.key.policy for result in results))


def _format_row(
    policy: str, load: float, phases: Sequence[PhaseOutcomes]
) -> str:
    measures = [
        statistics.fmean(map(measure, phases)) for measure in MEASURES.values()
    ]
    columns = ''.join(
        f'{measure:>{len(name) + 2}.3f}'
        for name, measure in zip(MEASURES, measures, strict=True)
    )
    return f'{policy:<16}{load:>6.1f}{columns}'


def _fraction_of_asked(count: str) -> Measure:
    def measure(phase: PhaseOutcomes) -> float:  # noqa: WPS430
        return getattr(phase.total, count) / max(phase.total.asked, 1)

    return measure


#: Columns of the table.
MEASURES: Mapping[str, Measure] = {
    'worth': operator.attrgetter('total.worth'),
    'in target': _fraction_of_asked('in_target'),
    ' late': _fraction_of_asked('late'),
    'refused': _fraction_of_asked('refused'),
    ' warm': operator.attrgetter('total.warm_fraction'),
    'worst route': operator.attrgetter('worst_route_worth'),
    'worst region': operator.attrgetter('worst_region_worth'),
}
