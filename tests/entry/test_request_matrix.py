"""Compares the fault matrix of requests with its expected outcomes."""

import asyncio
import itertools
import logging
import pathlib

import pytest

from bench.request_matrix import FAULTS, KINDS, STEPS, run_all_cells

EXPECTED = pathlib.Path(__file__).with_name('request_matrix.txt')


def expected_rows():
    """Return the expected columns of a row by fault and step."""
    lines = [line.split(' | ') for line in EXPECTED.read_text().splitlines()]
    return {(fault, step): columns for fault, step, *columns in lines[1:]}


@pytest.fixture(scope='module')
def cells():
    """Run all cells once, many of them concurrently."""
    logging.disable(logging.CRITICAL)
    try:
        return asyncio.run(run_all_cells())
    finally:
        logging.disable(logging.NOTSET)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('step', STEPS)
@pytest.mark.parametrize('fault', FAULTS)
def test_cell(cells, fault, step, kind):
    """Guards against double executions, false outcomes and leaked slots."""
    cell = cells[step, fault, kind]
    expected = expected_rows()[fault, step][list(KINDS).index(kind)]
    assert cell.problems == ()
    assert cell.outcome == expected


def test_every_expected_row_is_checked():
    """Guards against rows of expected outcomes that no cell checks."""
    rows = expected_rows()
    assert set(rows) == set(itertools.product(FAULTS, STEPS))
    assert all(len(columns) == len(KINDS) for columns in rows.values())
