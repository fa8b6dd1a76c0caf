"""``egretmill promote``: put a document in force."""

import getpass
import re
import time
import uuid
from urllib.parse import urlencode

from cleo.helpers import argument, option
from result import Err, Ok, Result

from egretmill.agent.operations import (
    OPERATOR_PATTERN,
    TOML_TYPE,
    VERSION_PATTERN,
    HostStatus,
    StatusReport,
)
from egretmill.cli.base import (
    AGENT_OPTION,
    EXIT_OK,
    EXIT_REFUSED,
    OperatorCommand,
    read_file,
)
from egretmill.cli.client import AgentClient, decode_answer
from egretmill.document import Environment
from egretmill.document.promotion import Promoted
from egretmill.errors import ErrorKind, Failure
from egretmill.settings import Problem

__all__ = ('PromoteCommand', 'lagging_hosts')

POLL_S = 0.25
SECONDS_PATTERN = re.compile(r'[0-9]{1,5}(\.[0-9]{1,3})?')
MAX_SHOWN_CHARACTERS = 40


class PromoteCommand(OperatorCommand):
    """Promotes a document through an agent."""

    name = 'promote'
    description = 'Put an environment document in force.'
    example = (
        'egretmill promote environment.toml '
        '--agent http://10.0.0.1:8092 --replaces 7 --wait 18'
    )
    arguments = [argument('file', 'The environment document.')]
    options = [
        AGENT_OPTION,
        option(
            'replaces',
            description='Version that the document replaces, 0 for none.',
            flag=False,
        ),
        option(
            'attempt',
            description='Attempt id of an earlier call with unknown outcome.',
            flag=False,
        ),
        option(
            'wait',
            description='Wait up to this many seconds for all live hosts.',
            flag=False,
        ),
        option(
            'operator',
            description='Name to record; the login name by default.',
            flag=False,
        ),
    ]

    @property
    def operator(self) -> str:
        """Return the name to record with the promotion."""
        return self.option('operator') or login_name()

    def handle(self) -> int:
        """Check the arguments and promote the file."""
        replaces = self.option('replaces') or ''
        wait = self.option('wait') or '0'
        problems = number_problems(replaces, wait)
        problems.extend(operator_problems(self.operator))
        client = self.make_client()
        body = read_file(self.argument('file'))
        for result in (client, body):
            problems.extend(result.err() or [])
        if problems:
            return self.report_problems(problems)
        return self.promote(
            client.unwrap(),
            body.unwrap(),
            int(replaces),
            float(wait),
        )

    def promote(
        self,
        client: AgentClient,
        body: bytes,
        replaces: int,
        wait_s: float,
    ) -> int:
        """Validate a document, promote it and wait for the hosts."""
        checked = Environment.from_bytes(body, self.argument('file'))
        if isinstance(checked, Err):
            return self.report_problems(checked.err_value)
        attempt = self.option('attempt') or uuid.uuid4().hex
        # Printed first, for a retry in case this process is interrupted.
        self.print_stderr(f'attempt {attempt}')
        query = urlencode(
            {
                'replaces': replaces,
                'attempt': attempt,
                'operator': self.operator,
            },
        )
        answer = client.post(f'/v1/promote?{query}', body, TOML_TYPE)
        promoted = answer.and_then(
            lambda response: decode_answer(response, Promoted)
        )
        if isinstance(promoted, Ok):
            version = promoted.ok_value.version
            self.print_stdout(
                f'promoted as version {version}, {promoted.ok_value.digest}',
            )
            return self.wait_for_hosts(client, version, wait_s)
        status = self.report_failure(promoted.unwrap_err())
        if client.has_unknown_outcome:
            self.print_stderr(
                'unknown whether it took effect: run promote again with '
                f'--attempt {attempt} --replaces {replaces}',
            )
        return status

    def wait_for_hosts(
        self,
        client: AgentClient,
        version: int,
        wait_s: float,
    ) -> int:
        """Wait until all live hosts have a version; report those without."""
        if not wait_s:
            return EXIT_OK
        deadline = time.monotonic() + wait_s
        lagging = fetch_lagging_hosts(client, version)
        while lagging != Ok([]) and time.monotonic() < deadline:
            time.sleep(POLL_S)
            lagging = fetch_lagging_hosts(client, version)
        if isinstance(lagging, Err):
            return self.report_failure(lagging.err_value)
        for host in lagging.ok_value:
            suffix = '' if host.reachable else ', not reachable'
            self.print_stderr(f'{host.name} has version {host.version}{suffix}')
        if lagging.ok_value:
            return EXIT_REFUSED
        self.print_stdout(f'all live hosts have version {version}')
        return EXIT_OK


def fetch_lagging_hosts(
    client: AgentClient,
    version: int,
) -> Result[list[HostStatus], Failure]:
    """Return the live hosts without a version, as an agent sees them."""
    report = client.get_json('/v1/status', StatusReport)
    if report.is_ok() and not report.unwrap().hosts:
        detail = 'the agent has no host list yet'
        return Err(Failure(ErrorKind.NOT_READY, detail))
    return report.map(lambda status: lagging_hosts(status, version))


def lagging_hosts(report: StatusReport, version: int) -> list[HostStatus]:
    """Return the live hosts that are not known to have a version."""
    return [
        host
        for host in report.hosts
        if host.state == 'live'
        and not host.leaving
        and (host.version < version or not host.reachable)
    ]


def login_name() -> str:
    """Return the login name, empty when the system knows none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


def operator_problems(operator: str) -> list[Problem]:
    """Return the problems of the operator's name."""
    if OPERATOR_PATTERN.fullmatch(operator):
        return []
    rule = f'must match {OPERATOR_PATTERN.pattern}'
    return [Problem('--operator', '$', operator or '(missing)', rule)]


def number_problems(replaces: str, wait: str) -> list[Problem]:
    """Return the problems of the options that are numbers."""
    problems = []
    if not VERSION_PATTERN.fullmatch(replaces):
        shown = replaces[:MAX_SHOWN_CHARACTERS] or '(missing)'
        rule = 'must be the number of the version that is replaced'
        problems.append(Problem('--replaces', '$', shown, rule))
    if not SECONDS_PATTERN.fullmatch(wait):
        rule = 'must be seconds, at most five digits'
        problems.append(
            Problem('--wait', '$', wait[:MAX_SHOWN_CHARACTERS], rule)
        )
    return problems
