"""``egretmill key new`` and ``egretmill key digest``: API keys."""

import sys

from cleo.helpers import option

from egretmill.accounts import digest_key, new_key
from egretmill.cli.base import EXIT_INVALID, EXIT_OK, OperatorCommand

__all__ = ('KeyDigestCommand', 'KeyNewCommand')

MAX_LABEL_CHARACTERS = 64


class KeyNewCommand(OperatorCommand):
    """Creates a key without storing it."""

    name = 'key new'
    description = 'Print a new API key once, and the line for the document.'
    example = 'egretmill key new --label "night shift terminal"'
    options = [
        option('label', description='Label for operators.', flag=False),
    ]

    def handle(self) -> int:
        """Print the key and the TOML line with its digest."""
        label = self.option('label') or ''
        if not needs_no_escapes(label):
            self.print_stderr(
                f'--label: {label!r}: at most {MAX_LABEL_CHARACTERS} '
                'printable characters without quotes or backslashes',
            )
            return EXIT_INVALID
        key = new_key()
        self.print_stdout(key)
        self.print_stdout(
            f'{{ digest = "{digest_key(key)}", label = "{label}" }},'
        )
        return EXIT_OK


class KeyDigestCommand(OperatorCommand):
    """Prints the digest of a key from standard input."""

    name = 'key digest'
    description = 'Print the digest of the key on standard input.'
    example = 'egretmill key digest < key.txt'

    def handle(self) -> int:
        """Print the digest of the key.

        The key is read from standard input, as other users of the machine
        can read the options of a process.
        """
        try:
            key = sys.stdin.readline().strip()
        except UnicodeDecodeError:
            key = ''
        if not (key and key.isascii() and key.isprintable()):
            # The text is not shown: it may be a key with a typo.
            self.print_stderr(
                'standard input: $ = (hidden): give a key of printable '
                'ASCII characters',
            )
            return EXIT_INVALID
        self.print_stdout(digest_key(key))
        return EXIT_OK


def needs_no_escapes(label: str) -> bool:
    """Return whether a label needs no escapes in TOML."""
    if len(label) > MAX_LABEL_CHARACTERS or not label.isprintable():
        return False
    return not set(label) & {'"', '\\'}
