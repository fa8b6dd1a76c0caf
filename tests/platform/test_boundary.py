"""Separation of the platform adapter from the product."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    'Egretmill-(Request|Deadline|Target|Tenant|Not|Server|Cold|Response)'
    '|egretmill-(request-id|deadline-ms|target-instance|tenant-id)'
    '|rows-(tx|get|feed|parts)|blob-(put|get)|EGRETMILL_CONFIG'
    '|ColdRemaining|RatePerS|ApiKeys|PathPrefix|HomeRegions|[Tt]enant'
    '|/egretmill/(resolve|readiness)',
    re.ASCII,
)
MAX_ADAPTER_SHARE = 0.1


def test_product_does_not_use_platform_names():
    """Guards against names of the platform's protocol inside the product."""
    found = [
        f'{path.name}: {match.group()}'
        for path in (ROOT / 'egretmill').rglob('*.py')
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert found == []


def test_adapter_stays_small():
    """Guards against product logic that moves into the adapter."""
    adapter = count_lines(ROOT / 'platform')
    product = count_lines(ROOT / 'egretmill')
    assert adapter < MAX_ADAPTER_SHARE * product


def count_lines(folder):
    """Return the number of lines of the Python files below a folder."""
    return sum(
        len(path.read_text().splitlines()) for path in folder.rglob('*.py')
    )
