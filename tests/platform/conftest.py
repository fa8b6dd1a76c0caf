"""Puts the adapter on the import path, as ``platform/start.py`` does."""

import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).parents[2] / 'platform'))
