"""Command line of ``egretmill-entry``."""

import sys

from egretmill.entry.program import serve
from egretmill.programs import run_program

__all__ = ('main',)


def main() -> None:
    """Run the program and exit with its status."""
    description = 'Serves callers through upstreams.'
    sys.exit(run_program('egretmill-entry', description, serve))


if __name__ == '__main__':
    main()
