"""Command line: ``python -m soak --seeds 1-50 --jobs 3``."""

import argparse
import pathlib
import random
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed

from soak.run import Outcome, RunSize, run_seed

__all__ = ('main',)


def parse_seeds(text: str) -> list[int]:
    """Parse a seed, a range like ``1-50`` or ``fresh:5`` for random seeds."""
    if text.startswith('fresh:'):
        rng = random.SystemRandom()
        return [rng.randrange(1 << 32) for _ in range(int(text[6:]))]
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


def report(outcome: Outcome) -> None:
    """Print a line for a run and one for each of its first violations."""
    print(
        f'seed {outcome.seed}: {outcome.served} of {outcome.requests} served, '
        f'{len(outcome.faults)} faults, {len(outcome.violations)} violations',
        flush=True,
    )
    for violation in outcome.violations[:10]:
        print(f'  {violation.invariant}: {violation.detail}', flush=True)


def report_end(seed: int, run: Future[Outcome]) -> bool:
    """Report a run; return whether it raised or violated an invariant."""
    error = run.exception()
    if error is not None:
        print(f'seed {seed}: did not end: {error!r}', flush=True)
        return True
    report(run.result())
    return bool(run.result().violations)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run seeds; the exit status is 1 when a run failed."""
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument('--seeds', type=parse_seeds, default='fresh:3')
    parser.add_argument('--seconds', type=float, default=RunSize().duration_s)
    parser.add_argument('--hosts', type=int, default=RunSize().hosts)
    parser.add_argument('--jobs', type=int, default=1)
    parser.add_argument('--logs', type=pathlib.Path)
    options = parser.parse_args(arguments)
    folder = options.logs or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    print(f'logs of the hosts: {folder}')
    size = RunSize(options.seconds, options.hosts)
    with ProcessPoolExecutor(options.jobs) as pool:
        runs = {
            pool.submit(run_seed, seed, size, folder / str(seed)): seed
            for seed in options.seeds
        }
        failed = sum(report_end(runs[run], run) for run in as_completed(runs))
    print(f'{len(runs) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
