"""``egretmill explain``: show how a request would be decided."""

import re

import msgspec
from cleo.helpers import argument, option
from result import Err

from egretmill.cli.base import (
    AGENT_OPTION,
    EXIT_INVALID,
    EXIT_OK,
    OperatorCommand,
)

__all__ = ('ExplainCommand',)

DIGEST_PATTERN = re.compile('(sha256:[0-9a-f]{64})?')


class ExplanationBody(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/explain``."""

    lines: tuple[str, ...]


class ExplainCommand(OperatorCommand):
    """Asks a host how it would decide a request, which is not sent."""

    name = 'explain'
    description = 'Show step by step how a request would be decided.'
    example = (
        'egretmill explain GET /rota/7 --key-digest sha256:4c7f... '
        '--agent http://10.0.0.1:8092'
    )
    arguments = [
        argument('method', 'Method of the request.'),
        argument('path', 'Path of the request.'),
    ]
    options = [
        AGENT_OPTION,
        option('key-digest', description='Digest of the key.', flag=False),
    ]

    def handle(self) -> int:
        """Ask an agent and print one line for each step."""
        client = self.make_client()
        if isinstance(client, Err):
            return self.report_problems(client.err_value)
        request = {
            'method': self.argument('method'),
            'path': self.argument('path'),
            'key_digest': self.option('key-digest') or '',
        }
        if not DIGEST_PATTERN.fullmatch(request['key_digest']):
            # The text is not shown: it may be the key itself.
            self.print_stderr(
                '--key-digest: give what "egretmill key digest" says'
            )
            return EXIT_INVALID
        answer = client.ok_value.post_json(
            '/v1/explain',
            request,
            ExplanationBody,
        )
        if isinstance(answer, Err):
            return self.report_failure(answer.err_value)
        for line in answer.ok_value.lines:
            self.print_stdout(line)
        return EXIT_OK
