"""``egretmill retire``: state that a host is gone."""

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
        """Ask an agent to end the lease."""
        client = self.client()
        if isinstance(client, Err):
            return self.invalid(client.err_value)
        answer = client.ok_value.post_json(
            '/v1/retire',
            {'host': self.argument('host')},
            RetiredBody,
        )
        if isinstance(answer, Err):
            return self.refused(answer.err_value)
        self.emit(f'{answer.ok_value.retired} is retired')
        return EXIT_OK
