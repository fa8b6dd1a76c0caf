"""Base class of the commands: output, error reports and exit status."""

import pathlib
from collections.abc import Iterable

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from result import Err, Ok, Result

from egretmill.cli.client import AgentClient
from egretmill.errors import ErrorKind, Failure
from egretmill.settings import Problem

__all__ = (
    'AGENT_OPTION',
    'EXIT_INVALID',
    'EXIT_OK',
    'EXIT_REFUSED',
    'OperatorCommand',
    'read_file',
)

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_INVALID = 2
#: Failures that are caused by the input, not by the state of the system.
INVALID_INPUT_KINDS = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.INVALID_DOCUMENT,
    ),
)

AGENT_OPTION: Option = option(
    'agent',
    description='Base URL of an operations port; several are tried in order.',
    flag=False,
    multiple=True,
)


class OperatorCommand(Command):
    """A command with an example and plain, unstyled output."""

    #: Shown by ``--help``.
    example = ''

    def __init__(self) -> None:
        """Add the example to the help text."""
        self.help = f'<b>Example</b>\n  {self.example}'
        super().__init__()

    def print_stdout(self, text: str, end: str = '\n') -> None:
        """Write text to standard output without interpreting markup."""
        self.io.output.write(text + end, type=Type.RAW)

    def print_stderr(self, text: str) -> None:
        """Write a line to standard error without interpreting markup."""
        self.io.error_output.write(f'{text}\n', type=Type.RAW)

    def report_problems(self, problems: Iterable[Problem]) -> int:
        """Report problems of the input, one per line; return the status."""
        for problem in problems:
            self.print_stderr(str(problem))
        return EXIT_INVALID

    def report_failure(self, failure: Failure) -> int:
        """Report a failure and return its exit status."""
        self.print_stderr(f'{failure.kind}: {failure.detail}')
        if failure.kind in INVALID_INPUT_KINDS:
            return EXIT_INVALID
        return EXIT_REFUSED

    def make_client(self) -> Result[AgentClient, list[Problem]]:
        """Return a client for the agents given by the options."""
        urls = self.option('agent')
        if not urls:
            missing = Problem('--agent', '$', '(missing)', 'name an agent')
            return Err([missing])
        return AgentClient.from_urls(urls)


def read_file(name: str) -> Result[bytes, list[Problem]]:
    """Return the bytes of a file, or why it cannot be read."""
    try:
        return Ok(pathlib.Path(name).read_bytes())
    except OSError as error:
        reason = error.strerror or str(error)
        return Err([Problem(name, '$', '(file)', reason)])
