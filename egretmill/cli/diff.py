"""``egretmill diff``: show what a promotion would change."""

from cleo.helpers import argument
from result import Err, Result

from egretmill.cli.base import (
    AGENT_OPTION,
    EXIT_OK,
    EXIT_REFUSED,
    OperatorCommand,
    read_file,
)
from egretmill.document import Document, Environment
from egretmill.document.diff import difference_lines
from egretmill.document.transition import transition_violations
from egretmill.errors import Failure
from egretmill.settings import Problem

__all__ = ('DiffCommand',)

CURRENT = 'current'


class DiffCommand(OperatorCommand):
    """Compares two documents and checks the transition rules."""

    name = 'diff'
    description = (
        'Show the differences of two documents, and whether the second may '
        'follow the first.'
    )
    example = (
        'egretmill diff current environment.toml --agent http://10.0.0.1:8092'
    )
    arguments = [
        argument('old', 'A file, or "current" for the document in force.'),
        argument('new', 'A file, or "current" for the document in force.'),
    ]
    options = [AGENT_OPTION]

    def handle(self) -> int:
        """Load both documents and compare them."""
        old = self.load(self.argument('old'))
        if isinstance(old, Err):
            return self.report_load_error(old.err_value)
        new = self.load(self.argument('new'))
        if isinstance(new, Err):
            return self.report_load_error(new.err_value)
        return self.compare(old.ok_value.document, new.ok_value.document)

    def load(
        self,
        name: str,
    ) -> Result[Environment, list[Problem] | Failure]:
        """Load a file, or the document in force from an agent."""
        if name != CURRENT:
            body = read_file(name)
            return body.and_then(
                lambda text: Environment.from_bytes(text, name),
            )
        client = self.make_client()
        if isinstance(client, Err):
            return client
        answer = client.ok_value.get('/v1/document')
        return answer.and_then(
            lambda response: Environment.from_bytes(response.body, name),
        )

    def report_load_error(self, reason: list[Problem] | Failure) -> int:
        """Report why a document could not be loaded."""
        if isinstance(reason, Failure):
            return self.report_failure(reason)
        return self.report_problems(reason)

    def compare(self, old: Document, new: Document) -> int:
        """Print the differences and the violations of transition rules."""
        for line in difference_lines(old, new):
            self.print_stdout(line)
        status = EXIT_OK
        for path, value, rule in transition_violations(old, new):
            self.print_stderr(f'refused: {path} = {value}: {rule}')
            status = EXIT_REFUSED
        return status
