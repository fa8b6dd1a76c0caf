"""A small fleet of real processes for one test."""

import os
import pathlib

import pytest

from tests.fleet.small import SmallFleet


@pytest.fixture
async def fleet(tmp_path: pathlib.Path):
    """Start three hosts in three failure domains; end all processes."""
    net = 16 + os.getpid() % 200
    small = SmallFleet(tmp_path, net)
    try:
        await small.start()
        yield small
    finally:
        small.fleet.stop()
