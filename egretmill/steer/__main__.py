"""Command line of the steer program."""

import sys

from egretmill.programs import run_program
from egretmill.steer.program import PROGRAM, serve

__all__ = ('main',)

DESCRIPTION = 'Answers which entry hosts a caller should use.'


def main() -> int:
    """Run the program and return its exit status."""
    return run_program(PROGRAM, DESCRIPTION, serve)


if __name__ == '__main__':
    sys.exit(main())
