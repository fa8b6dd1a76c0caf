"""The ``egretmill`` program: its commands and exit status."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from egretmill import __version__
from egretmill.cli.base import EXIT_INVALID, EXIT_REFUSED, OperatorCommand
from egretmill.cli.check import CheckCommand
from egretmill.cli.diff import DiffCommand
from egretmill.cli.drain import DrainCommand
from egretmill.cli.explain import ExplainCommand
from egretmill.cli.key import KeyDigestCommand, KeyNewCommand
from egretmill.cli.promote import PromoteCommand
from egretmill.cli.retire import RetireCommand
from egretmill.cli.simulate import SimulateCommand
from egretmill.cli.status import StatusCommand

__all__ = ('COMMANDS', 'build_application', 'main')

#: All commands, in the order of their documentation.
COMMANDS: tuple[type[OperatorCommand], ...] = (
    CheckCommand,
    DiffCommand,
    PromoteCommand,
    StatusCommand,
    ExplainCommand,
    KeyNewCommand,
    KeyDigestCommand,
    DrainCommand,
    RetireCommand,
    SimulateCommand,
)


def build_application() -> Application:
    """Return the application with all commands."""
    application = Application('egretmill', __version__)
    application.auto_exits(auto_exits=False)
    application.catch_exceptions(catch_exceptions=False)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command given by the arguments.

    :returns: 0 for success, 1 for refused or unreachable, 2 for invalid
        input, which includes wrong arguments.
    """
    try:
        return build_application().run()
    except CleoError as error:
        print(f'egretmill: {error}', file=sys.stderr)
        return EXIT_INVALID
    except KeyboardInterrupt:
        print('egretmill: interrupted', file=sys.stderr)
        return EXIT_REFUSED


if __name__ == '__main__':
    sys.exit(main())
