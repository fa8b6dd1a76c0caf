"""``egretmill drain``: add or remove a drain in a document's text."""

import pathlib
import sys

import msgspec
from cleo.helpers import argument, option
from result import Err

from egretmill.cli.base import EXIT_INVALID, EXIT_OK, OperatorCommand, read_file
from egretmill.document import Drain
from egretmill.document.edit import add_drain, remove_drain
from egretmill.settings import Problem

__all__ = ('DrainCommand',)


class DrainCommand(OperatorCommand):
    """Edits a document; promoting it puts the drain in force."""

    name = 'drain'
    description = 'Add a drain to a document, or remove it with --undo.'
    example = 'egretmill drain environment.toml site tb2 --in-place'
    arguments = [
        argument('file', 'The environment document.'),
        argument('kind', 'site, upstream or host.'),
        argument('target', 'Name of what is drained.'),
    ]
    options = [
        option('undo', description='Remove the drain.'),
        option('in-place', description='Write the file instead of printing.'),
    ]

    def handle(self) -> int:
        """Edit the text and print or write the result."""
        name = self.argument('file')
        body = read_file(name)
        if isinstance(body, Err):
            return self.report_problems(body.err_value)
        try:
            drain = msgspec.convert(
                {
                    'kind': self.argument('kind'),
                    'name': self.argument('target'),
                },
                Drain,
            )
        except msgspec.ValidationError as error:
            self.print_stderr(f'arguments: {error}')
            return EXIT_INVALID
        edit = remove_drain if self.option('undo') else add_drain
        edited = edit(body.ok_value, drain, name)
        if isinstance(edited, Err):
            return self.report_problems(edited.err_value)
        return self.write_result(edited.ok_value)

    def write_result(self, body: bytes) -> int:
        """Print the edited text, or replace the file atomically."""
        if not self.option('in-place'):
            sys.stdout.buffer.write(body)
            return EXIT_OK
        path = pathlib.Path(self.argument('file'))
        temporary = path.with_name(f'{path.name}.new')
        try:
            replace_file(path, temporary, body)
        except OSError as error:
            reason = error.strerror or str(error)
            return self.report_problems(
                [Problem(str(temporary), '$', '(file)', reason)]
            )
        return EXIT_OK


def replace_file(
    path: pathlib.Path, temporary: pathlib.Path, body: bytes
) -> None:
    """Write a temporary file with the mode of the old one and rename it."""
    temporary.write_bytes(body)
    temporary.chmod(path.stat().st_mode)
    temporary.replace(path)
