"""Runs measurements by name; without names the ones of the docs.

``python -m bench entry_path ledger`` runs two of them one after the other.
"""

import argparse
import runpy
import sys

#: Measurements in the order of the docs; each also runs on its own.
MEASUREMENTS = (
    'entry_path',
    'ledger',
    'lookups',
    'membership',
    'placing',
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
    """Run the measurements that the arguments name."""
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    parser.add_argument('names', nargs='*', choices=[*MEASUREMENTS, *MATRICES])
    names = parser.parse_args().names or MEASUREMENTS
    for name in names:
        print(f'== {name}', flush=True)
        sys.argv = [f'bench.{name}']
        try:
            runpy.run_module(f'bench.{name}', run_name='__main__')
        except SystemExit as ended:
            if ended.code:
                raise


if __name__ == '__main__':
    main()
