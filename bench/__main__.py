"""Runs the named benchmarks; by default all measurements of the docs.

``python -m bench entry_path ledger`` runs two of them in sequence.
"""

import argparse
import runpy
import sys

#: Measurements in the order of the docs; each can also be run directly.
MEASUREMENTS = (
    'entry_path',
    'ledger',
    'lookups',
    'membership',
    'routing',
    'shares',
)
MATRICES = (
    'ledger_matrix',
    'membership_matrix',
    'promotion_matrix',
    'quota_matrix',
    'request_matrix',
    'routing_matrix',
)


def main() -> None:
    """Run the measurements and fault matrices named by the arguments."""
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    parser.add_argument('names', nargs='*', choices=[*MEASUREMENTS, *MATRICES])
    names = parser.parse_args().names or MEASUREMENTS
    for name in names:
        print(f'== {name}', flush=True)
        sys.argv = [f'bench.{name}']
        try:
            runpy.run_module(f'bench.{name}', run_name='__main__')
        except SystemExit as error:
            if error.code:
                raise


if __name__ == '__main__':
    main()
