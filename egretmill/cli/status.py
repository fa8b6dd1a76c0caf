"""``egretmill status``: show the version and state of each host."""

import msgspec
from cleo.helpers import option
from result import Err

from egretmill.agent.operations import HostStatus, StatusReport
from egretmill.cli.base import AGENT_OPTION, EXIT_OK, OperatorCommand

__all__ = ('StatusCommand', 'render_report')

HEADINGS = ['host', 'version', 'confirmed', 'slot', 'incarnation', 'state']


class StatusCommand(OperatorCommand):
    """Shows the hosts as one agent sees them."""

    name = 'status'
    description = 'Show the version in force and the state of all hosts.'
    example = 'egretmill status --agent http://10.0.0.1:8092'
    options = [
        AGENT_OPTION,
        option('json', description='Print the JSON answer of the agent.'),
    ]

    def handle(self) -> int:
        """Fetch the report and print it."""
        client = self.make_client()
        if isinstance(client, Err):
            return self.report_problems(client.err_value)
        answer = client.ok_value.get_json('/v1/status', StatusReport)
        if isinstance(answer, Err):
            return self.report_failure(answer.err_value)
        report = answer.ok_value
        if self.option('json'):
            self.print_stdout(
                msgspec.json.format(msgspec.json.encode(report)).decode()
            )
        else:
            self.print_stdout(render_report(report))
        return EXIT_OK


def render_report(report: StatusReport) -> str:
    """Return the report as a table with aligned columns."""
    rows = [HEADINGS, *(table_row(host) for host in report.hosts)]
    widths = [max(len(cell) for cell in column) for column in zip(*rows)]
    lines = [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths)
        ).rstrip()
        for row in rows
    ]
    digest = report.digest or 'no document'
    head = f'{report.host} has version {report.version}, {digest}'
    return '\n'.join((head, '', *lines))


def table_row(host: HostStatus) -> list[str]:
    """Return the row of a host, one cell for each heading."""
    age = host.confirmation_age_s
    return [
        host.name,
        str(host.version),
        '-' if age is None else f'{age:.1f} s ago',
        '-' if host.slot is None else str(host.slot),
        str(host.incarnation),
        describe_state(host),
    ]


def describe_state(host: HostStatus) -> str:
    """Return the state of a host for the table."""
    if host.leaving or host.state == 'leaving':
        return 'leaving'
    if not host.reachable:
        return 'not reachable'
    return 'ready' if host.ready else 'not ready'
