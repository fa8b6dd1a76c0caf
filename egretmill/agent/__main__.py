"""Command line of ``egretmill-agent``."""

import sys

from egretmill.agent.program import serve
from egretmill.programs import run_program

__all__ = ('main',)


def main() -> None:
    """Run the program and exit with its status."""
    description = 'Keeps a host in step with the fleet and the platform.'
    sys.exit(run_program('egretmill-agent', description, serve))


if __name__ == '__main__':
    main()
