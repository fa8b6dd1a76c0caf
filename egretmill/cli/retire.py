"""``egretmill retire``: declare that a host will not come back."""

import msgspec
from cleo.helpers import argument
from result import Err

from egretmill.cli.base import AGENT_OPTION, EXIT_OK, OperatorCommand

__all__ = ('RetireCommand',)


class RetiredBody(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/retire``."""

    retired: str


class RetireCommand(OperatorCommand):
    """Frees the share slot of a host that will not come back."""

    name = 'retire'
    description = (
        'Free the share slot of a host that is gone. If the host still runs, '
        'its client accounts can get more than their rate until its lease '
        'ends.'
    )
    example = 'egretmill retire eh-3 --agent http://10.0.0.1:8092'
    arguments = [argument('host', 'Name of the host.')]
    options = [AGENT_OPTION]

    def handle(self) -> int:
        """Ask an agent to free the share slot."""
        client = self.make_client()
        if isinstance(client, Err):
            return self.report_problems(client.err_value)
        answer = client.ok_value.post_json(
            '/v1/retire',
            {'host': self.argument('host')},
            RetiredBody,
        )
        if isinstance(answer, Err):
            return self.report_failure(answer.err_value)
        self.print_stdout(f'{answer.ok_value.retired} is retired')
        return EXIT_OK
