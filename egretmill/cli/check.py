"""``egretmill check``: validate files without calling an agent."""

import pathlib

from cleo.helpers import argument, option
from result import Err, Result

from egretmill.cli.base import EXIT_INVALID, EXIT_OK, OperatorCommand
from egretmill.document import load_document
from egretmill.settings import Problem, load_settings

__all__ = ('CheckCommand',)


class CheckCommand(OperatorCommand):
    """Checks environment documents or host settings."""

    name = 'check'
    description = 'Check environment documents or host settings files.'
    example = 'egretmill check environment.toml'
    arguments = [
        argument('files', 'Files to check.', multiple=True),
    ]
    options = [
        option('host', description='The files are host settings.'),
    ]

    def handle(self) -> int:
        """Check all files and report all problems."""
        status = EXIT_OK
        for name in self.argument('files'):
            match self.load(pathlib.Path(name)):
                case Err(problems):
                    self.report_problems(problems)
                    status = EXIT_INVALID
                case _:
                    self.print_stdout(f'{name}: valid')
        return status

    def load(self, path: pathlib.Path) -> Result[object, list[Problem]]:
        """Load a document, or host settings if the option says so."""
        if self.option('host'):
            return load_settings(path)
        return load_document(path)
