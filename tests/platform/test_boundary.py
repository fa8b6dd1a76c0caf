"""The platform's words stay in its folder."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
WORDS = re.compile(
    'Egretmill-(Request|Deadline|Target|Tenant|Not|Server|Cold|Response)'
    '|egretmill-(request-id|deadline-ms|target-instance|tenant-id)'
    '|rows-(tx|get|feed|parts)|blob-(put|get)|EGRETMILL_CONFIG'
    '|ColdRemaining|RatePerS|ApiKeys|PathPrefix|HomeRegions|[Tt]enant'
    '|/egretmill/(resolve|readiness)',
    re.ASCII,
)
FOLDER_PART = 0.1


def test_product_does_not_know_the_platforms_names():
    """Guards against wire names that spread through the product."""
    found = [
        f'{path.name}: {match.group()}'
        for path in (ROOT / 'egretmill').rglob('*.py')
        for match in WORDS.finditer(path.read_text())
    ]
    assert found == []


def test_folder_stays_small():
    """Guards against decisions that move into the adapter."""
    adapter = count_lines(ROOT / 'platform')
    product = count_lines(ROOT / 'egretmill')
    assert adapter < FOLDER_PART * product


def count_lines(folder):
    """Return the lines of code below a folder."""
    return sum(
        len(path.read_text().splitlines()) for path in folder.rglob('*.py')
    )
