"""Start and stop of the long-running programs."""

import argparse
import asyncio
import logging
import pathlib
import signal
import sys
from collections.abc import Callable, Coroutine, Sequence

from result import Err

from egretmill import __version__, logs
from egretmill.settings import HostSettings, Problem, load_settings

__all__ = (
    'EXIT_FAILED',
    'EXIT_INVALID',
    'EXIT_OK',
    'Serve',
    'StopSignals',
    'make_parser',
    'run_program',
)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID = 2


class StopSignals:
    """Receives SIGTERM and SIGINT of one program.

    The first signal requests a graceful shutdown, the second one ends it
    at once.
    """

    def __init__(self) -> None:
        """Start without a signal."""
        self.requested = asyncio.Event()
        self.forced = asyncio.Event()

    @classmethod
    def install(cls) -> 'StopSignals':
        """Handle the signals in the running loop."""
        signals = cls()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signals.handle_signal)
        return signals

    def handle_signal(self) -> None:
        """Request the shutdown, or force its end if already requested."""
        if self.requested.is_set():
            self.forced.set()
        self.requested.set()

    async def run_shutdown(
        self,
        work: Coroutine[None, None, None],
        limit_s: float,
    ) -> bool:
        """Run the work of a graceful shutdown.

        :param work: cancelled at the second signal or the time limit.
        :param limit_s: time limit of the work.
        :returns: whether the work ended by itself.
        """
        ending = asyncio.ensure_future(work)
        forced = asyncio.ensure_future(self.forced.wait())
        await asyncio.wait(
            (ending, forced),
            timeout=limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        complete = ending.done()
        forced.cancel()
        ending.cancel()
        await asyncio.gather(ending, forced, return_exceptions=True)
        if complete:
            ending.result()
        return complete


#: Runs a program until its shutdown ends and returns the exit status.
Serve = Callable[[HostSettings, StopSignals], Coroutine[None, None, int]]


def make_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return the parser of the arguments that all programs share."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument(
        '--config',
        type=pathlib.Path,
        required=True,
        metavar='HOST.toml',
        help='host settings file',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings file and exit',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'{program} {__version__}',
    )
    return parser


def run_program(
    program: str,
    description: str,
    serve: Serve,
    argv: Sequence[str] | None = None,
) -> int:
    """Parse arguments, load the settings and run the program.

    Invalid settings are reported on standard error, one line each with
    file, path, value and rule, and nothing is started.

    :returns: the exit status; 2 for invalid arguments or settings.
    """
    arguments = make_parser(program, description).parse_args(argv)
    loaded = load_settings(arguments.config)
    if isinstance(loaded, Err):
        report_problems(program, loaded.err_value)
        return EXIT_INVALID
    if arguments.check:
        print(f'{arguments.config}: valid')
        return EXIT_OK
    settings = loaded.ok_value
    logs.configure(settings.log.level, settings.log.format)
    omit_unused_log_fields()
    return asyncio.run(run_with_signals(settings, serve))


def omit_unused_log_fields() -> None:
    """Omit caller, thread and process from log records.

    No format uses them, and finding the caller walks the stack for each
    line. The manual of :mod:`logging` lists these switches under
    "Optimization".
    """
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None  # noqa: WPS437  # documented, without other way


def report_problems(program: str, problems: Sequence[Problem]) -> None:
    """Print one line per broken rule on standard error."""
    for problem in problems:
        sys.stderr.write(f'{program}: {problem}\n')


async def run_with_signals(settings: HostSettings, serve: Serve) -> int:
    """Install the signal handlers before the program listens."""
    return await serve(settings, StopSignals.install())
